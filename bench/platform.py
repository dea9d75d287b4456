"""Simulate the platform's store: objects, conditional writes, watches, faults.

    GET /api/objects/KIND                     list a page of objects
    GET ...?watch=REVISION&wait_ms=N          wait for changes after a revision
    GET /api/objects/KIND/NAME                read an object
    POST /api/objects/KIND                    create an object
    PUT /api/objects/KIND/NAME                replace; `rev` must match unless 0
    DELETE /api/objects/KIND/NAME             remove an object
    PUT /faults                               set the faults in `Faults`
    GET /calls                                count the requests so far

The store keeps all objects in memory.  It can run as a process of its own.
Each response has the header `Store-Era`, which rises when the store comes back
from a copy.
"""

import argparse
import asyncio
from contextlib import suppress
from typing import Final

import msgspec
from aiohttp import web

from bench.store import (
    Faults,
    Store,
    StoredObject,
    find_events,
    put_object,
    set_faults,
)

__all__ = ('STORE_KEY', 'make_application')

FAULTS_PATH: Final = '/faults'
# The platform's limit on the size of a value is 1 MiB.
MAX_OBJECT_BYTES: Final = 1_048_576
MAX_PAGE_OBJECTS: Final = 500
STORE_KEY: Final = web.AppKey['Store']('store')
# Longer than any client waits for a response.
HANG_SECONDS: Final = 60.0

ERA_HEADER: Final = 'Store-Era'
_CREATED: Final = 201
_MILLISECONDS_PER_SECOND: Final = 1000
_JSON: Final = 'application/json'


def make_application() -> web.Application:
    """Return a web application with an empty store."""
    application = web.Application(client_max_size=MAX_OBJECT_BYTES)
    application[STORE_KEY] = Store()
    application.on_response_prepare.append(_add_era)
    kind = '/api/objects/{kind}'
    path = f'{kind}/{{name}}'
    application.router.add_get(kind, _list_objects)
    application.router.add_post(kind, _create_object)
    application.router.add_get(path, _get_object)
    application.router.add_put(path, _replace_object)
    application.router.add_delete(path, _delete_object)
    application.router.add_put(FAULTS_PATH, _set_faults)
    application.router.add_get('/calls', _get_request_count)
    return application


def run() -> None:
    """Serve on the address from the command line until the process is ended."""
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


async def _list_objects(request: web.Request) -> web.Response:
    store = await _begin_request(request)
    kind = request.match_info['kind']
    if 'watch' in request.query:
        return await _watch(store, kind, request)
    after = request.query.get('after', '')
    matching = [
        store.object_by_path[path]
        for path in sorted(store.object_by_path)
        if path[0] == kind and path[1] > after
    ]
    page = {
        'items': matching[:MAX_PAGE_OBJECTS],
        'has_more': len(matching) > MAX_PAGE_OBJECTS,
        'store_revision': store.revision,
    }
    return _json_response(page)


async def _watch(
    store: Store,
    kind: str,
    request: web.Request,
) -> web.Response:
    after_revision = int(request.query['watch'])
    wait_seconds = (
        int(request.query.get('wait_ms', 0)) / _MILLISECONDS_PER_SECOND
    )
    if store.faults.silent_watches:
        await asyncio.sleep(HANG_SECONDS)

    def is_gone() -> bool:
        is_compacted = after_revision < store.compacted_revision
        return is_compacted or after_revision > store.revision

    def is_ready() -> bool:
        must_fail = store.faults.down or is_gone() or store.era != era
        return must_fail or any(find_events(store, kind, after_revision))

    era = store.era

    # Without a change, the response has no events.
    with suppress(TimeoutError):
        async with asyncio.timeout(wait_seconds), store.changed:
            await store.changed.wait_for(is_ready)
    if store.faults.down:
        raise web.HTTPServiceUnavailable
    if store.era != era:
        # A watch that waits while the store comes back from a copy is cut.
        raise web.HTTPServiceUnavailable
    if is_gone():
        raise web.HTTPGone
    events = [
        {'object': event.object, 'deleted': event.deleted}
        for event in find_events(store, kind, after_revision)
    ]
    return _json_response({'events': events, 'store_revision': store.revision})


async def _get_object(request: web.Request) -> web.Response:
    store = await _begin_request(request)
    path = _object_path(request)
    versions = store.object_by_path
    if store.faults.stale and path in store.previous_object_by_path:
        versions = store.previous_object_by_path
    stored = versions.get(path)
    if stored is None:
        raise web.HTTPNotFound
    return _json_response(stored)


async def _create_object(request: web.Request) -> web.Response:
    store = await _begin_request(request)
    new_object = msgspec.json.decode(await request.read(), type=StoredObject)
    path = (request.match_info['kind'], new_object.meta.name)
    existing = store.object_by_path.get(path)
    if existing is not None:
        return _json_response(existing, web.HTTPConflict.status_code)
    return await _write_object(request, path, new_object, _CREATED)


async def _replace_object(request: web.Request) -> web.Response:
    store = await _begin_request(request)
    new_object = msgspec.json.decode(await request.read(), type=StoredObject)
    path = _object_path(request)
    existing = store.object_by_path.get(path)
    if existing is None:
        raise web.HTTPNotFound
    if new_object.meta.rev and new_object.meta.rev != existing.meta.rev:
        return _json_response(existing, web.HTTPConflict.status_code)
    return await _write_object(request, path, new_object)


async def _delete_object(request: web.Request) -> web.Response:
    store = await _begin_request(request)
    path = _object_path(request)
    if path not in store.object_by_path:
        raise web.HTTPNotFound
    await put_object(store, path, None)
    return _json_response({})


async def _write_object(
    request: web.Request,
    path: tuple[str, str],
    new_object: StoredObject,
    status: int = web.HTTPOk.status_code,
) -> web.Response:
    store = _get_store(request)
    await put_object(store, path, bytes(new_object.spec))
    if store.faults.lose_answers:
        _drop_response(store, request)
    return _json_response(store.object_by_path[path], status)


async def _set_faults(request: web.Request) -> web.Response:
    faults = msgspec.json.decode(await request.read(), type=Faults)
    await set_faults(_get_store(request), faults)
    return web.Response()


async def _get_request_count(request: web.Request) -> web.Response:
    return web.Response(text=str(_get_store(request).request_count))


async def _add_era(request: web.Request, response: web.StreamResponse) -> None:
    response.headers[ERA_HEADER] = str(_get_store(request).era)


async def _begin_request(request: web.Request) -> Store:
    """Count a request, apply the active faults to it, and return the store."""
    store = _get_store(request)
    store.request_count += 1
    if store.faults.down:
        raise web.HTTPServiceUnavailable
    if store.faults.busy:
        raise web.HTTPTooManyRequests
    if store.faults.silent:
        await asyncio.sleep(HANG_SECONDS)
    await asyncio.sleep(store.faults.delay_seconds)
    return store


def _get_store(request: web.Request) -> Store:
    return request.app[STORE_KEY]


def _object_path(request: web.Request) -> tuple[str, str]:
    return request.match_info['kind'], request.match_info['name']


def _drop_response(store: Store, request: web.Request) -> None:
    store.faults = msgspec.structs.replace(
        store.faults, lose_answers=store.faults.lose_answers - 1
    )
    if request.transport is not None:
        request.transport.abort()


def _json_response(document: object, status: int = 200) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(document),
        content_type=_JSON,
    )


if __name__ == '__main__':
    run()
