"""Stand in for the platform's store: lists and watches of objects over HTTP.

Operator and hosts write through functions, and instances read.
"""

import asyncio
import json
import time
from urllib.parse import parse_qsl

HISTORY_SECONDS = 20
PAGE_ITEMS = 500
ANSWER_SECONDS = 0.004
FIRST_REVISION = 100
OK = 200
NOT_FOUND = 404
GONE = 410
MILLISECONDS = 1000
KIND_PART = 2
_HEAD = (
    'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
    'Store-Era: 1\r\nContent-Length: {size}\r\n\r\n'
)


class Event:
    """Hold a change: when, which revision, of which kind, and the object."""

    __slots__ = ('at', 'change', 'kind', 'revision')

    def __init__(self, revision, kind, change):
        """Set the fields; it happens now."""
        self.at = time.monotonic()
        self.revision = revision
        self.kind = kind
        self.change = change


class Store:
    """Hold the objects by kind and name, and the latest changes.

    `last_reader` is the label of the caller that made the latest call.
    """

    __slots__ = ('by_kind', 'changed', 'events', 'last_reader', 'revision')

    def __init__(self):
        """Start without objects."""
        self.revision = FIRST_REVISION
        self.by_kind = {}
        self.events = []
        self.changed = asyncio.Event()
        self.last_reader = None


async def start_store(store, address, port, label):
    """Serve calls at an address; `label` names the callers there."""

    async def serve(reader, writer):
        try:
            await _serve(store, label, reader, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            writer.close()

    await asyncio.start_server(serve, address, port)


def put_object(store, kind, name, spec):
    """Write an object; do nothing if that changes nothing."""
    known_by_name = store.by_kind.setdefault(kind, {})
    known = known_by_name.get(name)
    if known is not None and known['spec'] == spec:
        return
    store.revision += 1
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
    known_by_name[name] = stored
    _record(store, kind, {'deleted': False, 'object': stored})


def delete_object(store, kind, name):
    """Remove an object if it exists."""
    known = store.by_kind.get(kind, {}).pop(name, None)
    if known is not None:
        store.revision += 1
        _record(store, kind, {'deleted': True, 'object': known})


def _record(store, kind, change):
    event = Event(store.revision, kind, change)
    oldest = event.at - HISTORY_SECONDS
    store.events = [each for each in store.events if each.at > oldest]
    store.events.append(event)
    waiting = store.changed
    store.changed = asyncio.Event()
    waiting.set()


async def _serve(store, label, reader, writer):
    line = await reader.readline()
    while line:
        await _skip_headers(reader)
        _, target, _ = line.decode().split()
        store.last_reader = label
        await asyncio.sleep(ANSWER_SECONDS)
        status, answer = await _answer(store, target)
        raw = json.dumps(answer).encode()
        head = _HEAD.format(status=status, size=len(raw))
        writer.write(head.encode() + raw)
        await writer.drain()
        line = await reader.readline()
    writer.close()


async def _skip_headers(reader):
    # The system only reads here, so there is no body.
    header = await reader.readline()
    while header.strip():
        header = await reader.readline()


async def _answer(store, target):
    path, _, query = target.partition('?')
    options = dict(parse_qsl(query))
    parts = path.strip('/').split('/')
    if parts[:KIND_PART] != ['api', 'objects']:
        return NOT_FOUND, {}
    kind = parts[KIND_PART]
    if 'watch' in options:
        return await _watch(store, kind, options)
    return OK, _list(store, kind, options.get('after', ''))


def _list(store, kind, after):
    known_by_name = store.by_kind.get(kind, {})
    names = sorted(name for name in known_by_name if name > after)
    return {
        'items': [known_by_name[name] for name in names[:PAGE_ITEMS]],
        'has_more': len(names) > PAGE_ITEMS,
        'store_revision': store.revision,
    }


async def _watch(store, kind, options):
    since = int(options['watch'])
    wait_seconds = int(options.get('wait_ms', 0)) / MILLISECONDS
    until = time.monotonic() + wait_seconds
    changes = _find_changes(store, kind, since)
    while not changes and time.monotonic() < until:
        await _wait_for_change(store, until - time.monotonic())
        changes = _find_changes(store, kind, since)
    if since > store.revision or _is_forgotten(store, since):
        return GONE, {}
    return OK, {'events': changes, 'store_revision': store.revision}


async def _wait_for_change(store, seconds):
    waiting = asyncio.ensure_future(store.changed.wait())
    await asyncio.wait([waiting], timeout=max(seconds, 0))
    waiting.cancel()


def _find_changes(store, kind, since):
    return [
        event.change
        for event in store.events
        if event.revision > since and event.kind == kind
    ]


def _is_forgotten(store, since):
    oldest = store.events[0].revision if store.events else store.revision
    return since < oldest - 1 and since < store.revision
