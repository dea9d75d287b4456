"""Serve the platform's store over HTTP, as far as instances call it.

They only list kinds and watch them.  The objects are those of `bench.store`.
"""

import asyncio
import json
from contextlib import AsyncExitStack, suppress
from typing import Any, Final, final
from urllib.parse import parse_qs, urlsplit

import msgspec

from bench.store import Store, find_events, put_object

__all__ = ('StoreServer', 'delete', 'put', 'start_store')

_MILLISECONDS: Final = 1000
_PATH_START: Final = '/api/objects/'
_HEAD: Final = (
    'HTTP/1.1 {status} OK\r\nContent-Type: application/json\r\n'
    'Store-Era: {era}\r\nContent-Length: {size}\r\nConnection: close\r\n\r\n'
)
_OK: Final = 200
_GONE: Final = 410
_NOT_FOUND: Final = 404


@final
class StoreServer:
    """Hold the store and its server."""

    __slots__ = ('server', 'store')

    def __init__(self) -> None:
        """Initialize with an empty store."""
        self.store = Store()
        self.server: asyncio.Server | None = None


async def start_store(endpoint: tuple[str, int]) -> StoreServer:
    """Serve an empty store on an endpoint."""
    served = StoreServer()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        async with AsyncExitStack() as stack:
            stack.callback(writer.close)
            with suppress(OSError, EOFError):
                head = await reader.readuntil(b'\r\n\r\n')
                writer.write(await _respond(served.store, head))
                await writer.drain()

    served.server = await asyncio.start_server(accept, *endpoint)
    return served


async def put(served: StoreServer, kind: str, name: str, spec: Any) -> None:
    """Write an object; the return is the store's acknowledgement."""
    await put_object(served.store, (kind, name), json.dumps(spec).encode())


async def delete(served: StoreServer, kind: str, name: str) -> None:
    """Remove an object."""
    await put_object(served.store, (kind, name), None)


async def _respond(store: Store, head: bytes) -> bytes:
    target = urlsplit(head.split(b' ')[1].decode())
    kind = target.path.removeprefix(_PATH_START)
    query = {name: each[0] for name, each in parse_qs(target.query).items()}
    status, document = _NOT_FOUND, {}
    if '/' not in kind:
        if 'watch' in query:
            status, document = await _watch(store, kind, query)
        else:
            status, document = _OK, _list_objects(store, kind)
    body = msgspec.json.encode(document)
    head_text = _HEAD.format(status=status, era=store.era, size=len(body))
    return head_text.encode() + body


def _list_objects(store: Store, kind: str) -> dict[str, Any]:
    return {
        'items': [
            store.object_by_path[path]
            for path in sorted(store.object_by_path)
            if path[0] == kind
        ],
        'has_more': False,
        'store_revision': store.revision,
    }


async def _watch(
    store: Store, kind: str, query: dict[str, str]
) -> tuple[int, dict[str, Any]]:
    after = int(query['watch'])
    if after > store.revision:
        return _GONE, {}
    wait_seconds = int(query.get('wait_ms', 0)) / _MILLISECONDS

    def is_ready() -> bool:
        return any(find_events(store, kind, after))

    with suppress(TimeoutError):
        async with asyncio.timeout(wait_seconds), store.changed:
            await store.changed.wait_for(is_ready)
    events = [
        {'object': event.object, 'deleted': event.deleted}
        for event in find_events(store, kind, after)
    ]
    return _OK, {'events': events, 'store_revision': store.revision}
