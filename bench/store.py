"""Hold the objects and faults of the simulated platform store."""

import asyncio
from collections.abc import Iterator
from typing import final

import msgspec

__all__ = (
    'Faults',
    'Meta',
    'Store',
    'StoreCopy',
    'StoredObject',
    'copy_store',
    'find_events',
    'put_object',
    'restore_copy',
    'set_faults',
)


class Faults(msgspec.Struct, frozen=True):
    """Describe the faults to inject.

    `down` fails every request with status 503, `busy` with 429.  `silent`
    leaves every request without a response, `silent_watches` only watches.
    `delay_seconds` delays each response.  `lose_answers` is the number of
    writes that take effect but whose responses are dropped.  `stale` responds
    to reads of one object with the version before the current one.  `forget`
    compacts the history once.
    """

    down: bool = False
    busy: bool = False
    silent: bool = False
    silent_watches: bool = False
    delay_seconds: float = 0
    lose_answers: int = 0
    stale: bool = False
    forget: bool = False


class Meta(msgspec.Struct, frozen=True):
    """Hold the metadata of an object; `rev` is the revision of its version."""

    name: str
    rev: int = 0
    create_revision: int = 0
    finalizers: tuple[str, ...] = ()
    deleting: bool = False


class StoredObject(msgspec.Struct, frozen=True):
    """Hold one version of an object."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class Event(msgspec.Struct, frozen=True):
    """Record a change of an object; watches don't send `revision`."""

    kind: str
    revision: int
    object: StoredObject
    deleted: bool


@final
class Store:
    """Hold the objects and the active faults.

    `previous_object_by_path` holds the versions before the current ones.
    `request_count` counts requests, a pending watch as one.  Watches from
    before `compacted_revision` fail, as after a compaction of the history.
    `era` counts how often the store has come back from a copy.
    """

    __slots__ = (
        'changed',
        'compacted_revision',
        'era',
        'faults',
        'history',
        'object_by_path',
        'previous_object_by_path',
        'request_count',
        'revision',
    )

    def __init__(self) -> None:
        """Initialize without objects and faults."""
        self.object_by_path: dict[tuple[str, str], StoredObject] = {}
        self.previous_object_by_path: dict[tuple[str, str], StoredObject] = {}
        self.history: list[Event] = []
        self.revision = 1
        self.era = 1
        self.compacted_revision = 0
        self.faults = Faults()
        self.changed = asyncio.Condition()
        self.request_count = 0


class StoreCopy(msgspec.Struct, frozen=True):
    """Hold what a store had at the time of the copy."""

    object_by_path: dict[tuple[str, str], StoredObject]
    history: list[Event]
    revision: int


def copy_store(store: Store) -> StoreCopy:
    """Return a copy to which the store can go back."""
    return StoreCopy(
        dict(store.object_by_path), list(store.history), store.revision
    )


async def restore_copy(store: Store, copy: StoreCopy) -> None:
    """Go back to a copy: what was written since is lost, with its revisions.

    This starts a new era.
    """
    store.object_by_path = dict(copy.object_by_path)
    store.previous_object_by_path = {}
    store.history = list(copy.history)
    store.revision = copy.revision
    store.era += 1
    await _notify(store)


async def put_object(
    store: Store,
    path: tuple[str, str],
    spec: bytes | None,
) -> None:
    """Write an object, or remove it if `spec` is None."""
    existing = store.object_by_path.get(path)
    store.revision += 1
    created_revision = (
        existing.meta.create_revision if existing else store.revision
    )
    meta = Meta(path[1], store.revision, created_revision)
    if existing is not None:
        store.previous_object_by_path[path] = existing
    if spec is None:
        written = store.object_by_path.pop(path)
    else:
        written = StoredObject(meta, msgspec.Raw(spec))
        store.object_by_path[path] = written
    store.history.append(
        Event(path[0], store.revision, written, deleted=spec is None)
    )
    await _notify(store)


async def set_faults(store: Store, faults: Faults) -> None:
    """Replace the active faults and wake pending watches."""
    store.faults = faults
    if faults.forget:
        store.compacted_revision = store.revision
    await _notify(store)


def find_events(
    store: Store, kind: str, after_revision: int
) -> Iterator[Event]:
    """Yield the changes of a kind that follow a revision."""
    for event in store.history:
        if event.kind == kind and event.revision > after_revision:
            yield event


async def _notify(store: Store) -> None:
    async with store.changed:
        store.changed.notify_all()
