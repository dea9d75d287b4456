"""Hold the objects of the platform's stand-in, and its faults."""

import asyncio
from collections.abc import Iterator
from typing import final

import msgspec

__all__ = (
    'Faults',
    'Meta',
    'Store',
    'Stored',
    'find_events',
    'put_object',
    'set_faults',
)


class Faults(msgspec.Struct, frozen=True):
    """Say how the platform misbehaves.

    `down` refuses every call with 503, `busy` with 429, `delay_seconds` slows
    each one, `silent` answers none, `silent_watches` no watch that waits,
    `lose_answers` drops the answers of so many writes after they took effect,
    `stale` answers reads of one object with the version before the current
    one, `forget` drops the history once.
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
    """Describe an object."""

    name: str
    rev: int = 0
    create_revision: int = 0
    finalizers: tuple[str, ...] = ()
    deleting: bool = False


class Stored(msgspec.Struct, frozen=True):
    """Hold one version of an object."""

    meta: Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class Event(msgspec.Struct, frozen=True):
    """Hold a change of one kind; `revision` is not told."""

    kind: str
    revision: int
    object: Stored
    deleted: bool


@final
class Store:
    """Hold the objects and the faults in force.

    `calls` counts each call, a waiting watch as one.  Changes up to
    `forgotten` are no longer in the history.
    """

    __slots__ = (
        'by_path',
        'calls',
        'changed',
        'faults',
        'forgotten',
        'history',
        'older_by_path',
        'revision',
    )

    def __init__(self) -> None:
        """Start empty and well."""
        self.by_path: dict[tuple[str, str], Stored] = {}
        self.older_by_path: dict[tuple[str, str], Stored] = {}
        self.history: list[Event] = []
        self.revision = 1
        self.forgotten = 0
        self.faults = Faults()
        self.changed = asyncio.Condition()
        self.calls = 0


async def put_object(
    store: Store,
    path: tuple[str, str],
    spec: bytes | None,
) -> None:
    """Write an object, or remove it where there is no spec."""
    known = store.by_path.get(path)
    store.revision += 1
    created = known.meta.create_revision if known else store.revision
    meta = Meta(path[1], store.revision, created)
    if known is not None:
        store.older_by_path[path] = known
    if spec is None:
        written = store.by_path.pop(path)
    else:
        written = Stored(meta, msgspec.Raw(spec))
        store.by_path[path] = written
    store.history.append(
        Event(path[0], store.revision, written, deleted=spec is None)
    )
    await _notify(store)


async def set_faults(store: Store, faults: Faults) -> None:
    """Put faults in force; calls that wait notice."""
    store.faults = faults
    if faults.forget:
        store.forgotten = store.revision
    await _notify(store)


def find_events(store: Store, kind: str, start: int) -> Iterator[Event]:
    """Yield the changes of a kind after a revision."""
    for event in store.history:
        if event.kind == kind and event.revision > start:
            yield event


async def _notify(store: Store) -> None:
    async with store.changed:
        store.changed.notify_all()
