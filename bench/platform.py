"""Stand in for the platform: versioned objects, conditions, watches, faults.

    GET /objects/KIND/NAME                 the object, or 404
    GET ...?after=VERSION&wait=SECONDS     wait for a later one, or 304
    PUT with If-Match or If-None-Match     write, or 412 with the current one
    PUT /faults                            set the faults described in `Faults`

It keeps everything in memory and is started as a process of its own.
"""

import argparse
import asyncio
from typing import Final, final

import msgspec
from aiohttp import web

__all__ = ('Faults', 'Store', 'make_application')

FAULTS_PATH: Final = '/faults'
# The platform holds values of up to a megabyte.
OBJECT_BYTES: Final = 1_048_576
STORE_KEY: Final = web.AppKey['Store']('store')

_NOT_MODIFIED: Final = 304
_NOT_FOUND: Final = 404
_CONFLICT: Final = 412


class Faults(msgspec.Struct, frozen=True):
    """Say how the platform misbehaves.

    `down` refuses every call, `delay_seconds` slows each one, `lose_answers`
    drops the answers of so many writes after they took effect, and `stale`
    answers reads with the version before the current one.
    """

    down: bool = False
    delay_seconds: float = 0
    lose_answers: int = 0
    stale: bool = False


class Entry(msgspec.Struct, frozen=True):
    """Hold one version of an object."""

    version: int
    body: msgspec.Raw


@final
class Store:
    """Hold the objects and the faults in force.

    `calls` counts each call, a waiting watch as one.
    """

    __slots__ = ('calls', 'changed', 'entry_by_path', 'faults', 'older_by_path')

    def __init__(self) -> None:
        """Start empty and well."""
        self.entry_by_path: dict[str, Entry] = {}
        self.older_by_path: dict[str, Entry] = {}
        self.faults = Faults()
        self.changed = asyncio.Condition()
        self.calls = 0


def make_application() -> web.Application:
    """Return the web application."""
    application = web.Application(client_max_size=OBJECT_BYTES)
    application[STORE_KEY] = Store()
    path = '/objects/{kind}/{name}'
    application.router.add_get(path, _read)
    application.router.add_put(path, _write)
    application.router.add_put(FAULTS_PATH, _set_faults)
    application.router.add_get('/calls', _tell_calls)
    return application


def run() -> None:
    """Serve on the address given until the process is ended."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--address', required=True)
    parser.add_argument('--port', type=int, required=True)
    arguments = parser.parse_args()
    web.run_app(
        make_application(),
        host=arguments.address,
        port=arguments.port,
        print=None,
        access_log=None,
    )


async def _read(request: web.Request) -> web.Response:
    store = request.app[STORE_KEY]
    await _suffer(store)
    path = request.path
    after = int(request.query.get('after', 0))
    wait = float(request.query.get('wait', 0))
    if wait and not store.faults.stale:
        await _wait_for_change(store, path, after, wait)
    if store.faults.down:
        raise web.HTTPServiceUnavailable
    chosen = store.entry_by_path
    if store.faults.stale and path in store.older_by_path:
        chosen = store.older_by_path
    entry = chosen.get(path)
    if entry is None:
        return web.Response(status=_NOT_FOUND)
    if wait and entry.version <= after and not store.faults.stale:
        return web.Response(status=_NOT_MODIFIED)
    return _answer(entry)


async def _write(request: web.Request) -> web.Response:
    store = request.app[STORE_KEY]
    await _suffer(store)
    body = await request.read()
    entry = store.entry_by_path.get(request.path)
    if not _condition_holds(request, entry):
        return _answer(entry or Entry(0, msgspec.Raw(b'null')), _CONFLICT)
    version = entry.version + 1 if entry else 1
    if entry is not None:
        store.older_by_path[request.path] = entry
    written = Entry(version, msgspec.Raw(body))
    store.entry_by_path[request.path] = written
    async with store.changed:
        store.changed.notify_all()
    if store.faults.lose_answers:
        _lose_answer(store, request)
    return _answer(written)


async def _set_faults(request: web.Request) -> web.Response:
    store = request.app[STORE_KEY]
    store.faults = msgspec.json.decode(await request.read(), type=Faults)
    async with store.changed:
        store.changed.notify_all()
    return web.Response()


async def _tell_calls(request: web.Request) -> web.Response:
    return web.Response(text=str(request.app[STORE_KEY].calls))


async def _suffer(store: Store) -> None:
    store.calls += 1
    if store.faults.down:
        raise web.HTTPServiceUnavailable
    await asyncio.sleep(store.faults.delay_seconds)


async def _wait_for_change(
    store: Store,
    path: str,
    after: int,
    wait: float,
) -> None:
    def is_due() -> bool:
        entry = store.entry_by_path.get(path)
        later = entry is not None and entry.version > after
        return later or store.faults.down

    try:
        async with asyncio.timeout(wait), store.changed:
            await store.changed.wait_for(is_due)
    except TimeoutError:
        return


def _condition_holds(request: web.Request, entry: Entry | None) -> bool:
    if request.headers.get('If-None-Match') == '*':
        return entry is None
    expected = request.headers.get('If-Match')
    return entry is not None and expected == f'"{entry.version}"'


def _lose_answer(store: Store, request: web.Request) -> None:
    store.faults = msgspec.structs.replace(
        store.faults, lose_answers=store.faults.lose_answers - 1
    )
    if request.transport is not None:
        request.transport.abort()


def _answer(entry: Entry, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(entry),
        content_type='application/json',
    )


if __name__ == '__main__':
    run()
