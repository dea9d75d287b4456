"""Stand in for the platform's store: objects, lists and watches over HTTP.

It serves the read calls of the users' pages.  The operator and the hosts are
stand-ins in the same process, and write with `put` and `remove`.
"""

import asyncio
import json
from contextlib import suppress
from types import MappingProxyType
from typing import Any, Final
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_OBJECTS: Final = 500
IDLE_SECONDS: Final = 60.0
MILLISECONDS: Final = 1000
REASONS: Final = MappingProxyType({200: 'OK', 404: 'Not Found', 410: 'Gone'})
_OK: Final = 200
_NOT_FOUND: Final = 404
_GONE: Final = 410

Document = dict[str, Any]
Reply = tuple[int, Document]


class Store:
    """Hold the objects by kind and name, and the history of changes.

    An entry of the history is the revision, the kind and the event.
    """

    __slots__ = ('changed', 'history', 'object_by_path', 'revision')

    def __init__(self) -> None:
        """Start empty, at a revision above zero."""
        self.object_by_path: dict[tuple[str, str], Document] = {}
        self.history: list[tuple[int, str, Document]] = []
        self.revision = 1
        self.changed = asyncio.Condition()


async def put(store: Store, kind: str, name: str, spec: Document) -> None:
    """Write an object; when this returns, the write is acknowledged."""
    store.revision += 1
    known = store.object_by_path.get((kind, name))
    meta = {
        'name': name,
        'rev': store.revision,
        'create_revision': store.revision,
        'finalizers': [],
        'deleting': False,
    }
    if known is not None:
        meta['create_revision'] = known['meta']['create_revision']
    stored = {'meta': meta, 'spec': spec, 'status': None}
    store.object_by_path[kind, name] = stored
    await _add_event(store, kind, {'object': stored, 'deleted': False})


async def remove(store: Store, kind: str, name: str) -> None:
    """Remove an object."""
    store.revision += 1
    stored = store.object_by_path.pop((kind, name))
    await _add_event(store, kind, {'object': stored, 'deleted': True})


async def serve_store(store: Store, address: str, port: int) -> asyncio.Server:
    """Serve the store at an address."""

    async def serve_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                await _serve_request(store, reader, writer)
        except (OSError, EOFError, TimeoutError):
            return
        finally:
            writer.close()

    return await asyncio.start_server(serve_connection, address, port)


async def _add_event(store: Store, kind: str, event: Document) -> None:
    store.history.append((store.revision, kind, event))
    async with store.changed:
        store.changed.notify_all()


async def _serve_request(
    store: Store, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    async with asyncio.timeout(IDLE_SECONDS):
        head = await reader.readuntil(b'\r\n\r\n')
    target = head.split(b' ', 2)[1].decode()
    status, document = await _answer(store, target)
    body = json.dumps(document).encode()
    head_lines = (
        f'HTTP/1.1 {status} {REASONS[status]}',
        'Content-Type: application/json',
        'Store-Era: 1',
        f'Content-Length: {len(body)}\r\n\r\n',
    )
    writer.write('\r\n'.join(head_lines).encode() + body)
    await writer.drain()


async def _answer(store: Store, target: str) -> Reply:
    parts = urlsplit(target)
    query = {name: each[0] for name, each in parse_qs(parts.query).items()}
    kind, _, name = parts.path.removeprefix('/api/objects/').partition('/')
    if name:
        stored = store.object_by_path.get((kind, unquote(name)))
        return (_OK, stored) if stored else (_NOT_FOUND, {})
    if 'watch' in query:
        return await _watch(store, kind, query)
    return _list(store, kind, query.get('after', ''))


def _list(store: Store, kind: str, after: str) -> Reply:
    matching = [
        store.object_by_path[path]
        for path in sorted(store.object_by_path)
        if path[0] == kind and path[1] > after
    ]
    return _OK, {
        'items': matching[:PAGE_OBJECTS],
        'has_more': len(matching) > PAGE_OBJECTS,
        'store_revision': store.revision,
    }


async def _watch(store: Store, kind: str, query: dict[str, str]) -> Reply:
    after = int(query['watch'])
    if after > store.revision:
        return _GONE, {}
    wait_seconds = int(query.get('wait_ms', '0')) / MILLISECONDS

    def find_events() -> list[Document]:
        return [
            event
            for revision, event_kind, event in store.history
            if event_kind == kind and revision > after
        ]

    with suppress(TimeoutError):
        async with asyncio.timeout(wait_seconds), store.changed:
            await store.changed.wait_for(find_events)
    events = find_events()
    return _OK, {'events': events, 'store_revision': store.revision}
