"""Follow the objects of one kind in the platform's store.

Answers the load of a store that is down, slow, partitioned or turns this
instance away, and of watches that fall silent: each watch has a time limit of
its own, failures pause with jitter, and a history that is gone means to list
anew.
"""

import asyncio
import time
from collections.abc import Callable
from random import Random
from typing import Final, TypeVar, final

import msgspec

from marlbend import messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.platform.objects import StoredObject, read_changes, read_page
from marlbend.platform.store import StoreAnswer, StoreConnection

__all__ = ('Feed', 'Takers', 'follow_kind')

_Decoded = TypeVar("_Decoded")

# A watch that fell silent is noticed within their sum, which stays below the
# 4 s after which the platform expects changes to be in force again.
WATCH_SECONDS: Final = 3.0
WATCH_GRACE_SECONDS: Final = 0.8
LIST_SECONDS: Final = 2.0
# Changes that follow each other closely are fetched with one call.
GATHER_SECONDS: Final = 0.3
FIRST_PAUSE_SECONDS: Final = 0.1
LONGEST_PAUSE_SECONDS: Final = 1.0

_OK: Final = 200
_GONE: Final = 410
_MILLISECONDS: Final = 1000


@final
class Takers:
    """Hold what becomes of objects: `replace` takes a whole list.

    `change` takes one object and whether it was deleted.  Both are told
    whether the store had been out of reach just before.
    """

    __slots__ = ('change', 'replace')

    def __init__(
        self,
        replace: Callable[[list[StoredObject]], None],
        change: Callable[[StoredObject, bool], None],
    ) -> None:
        """Keep the two."""
        self.replace = replace
        self.change = change


@final
class Feed:
    """Hold how far one kind has been followed.

    `revision` is zero while the kind has to be listed.  `heard_at` is when the
    store answered last, in monotonic seconds, and `lost` tells that the latest
    call failed.
    """

    __slots__ = (
        'connection',
        'heard_at',
        'kind',
        'lost',
        'pause',
        'random',
        'revision',
        'takers',
    )

    def __init__(
        self,
        kind: str,
        connection: StoreConnection,
        takers: Takers,
        random: Random,
    ) -> None:
        """Start before the first list."""
        self.kind = kind
        self.connection = connection
        self.takers = takers
        self.random = random
        self.revision = 0
        self.heard_at: float = 0
        self.lost = False
        self.pause: float = 0


async def follow_kind(feed: Feed) -> None:
    """Hand every object of the kind to the takers, until cancelled."""
    while True:
        try:
            await _step(feed)
        except MarlbendError as error:
            _note_loss(feed, error)
            pause = feed.pause * feed.random.uniform(0.5, 1)
            await asyncio.sleep(pause)


async def _step(feed: Feed) -> None:
    if not feed.revision:
        await _list_all(feed)
        return
    if await _watch(feed):
        await asyncio.sleep(GATHER_SECONDS)


async def _list_all(feed: Feed) -> None:
    found: list[StoredObject] = []
    path = first = f'/api/objects/{feed.kind}'
    revision = 0
    more = True
    while more:
        answer = await _call(feed, path, LIST_SECONDS)
        objects, at, more = _decode(answer, read_page)
        found.extend(objects)
        # Changes since the first page are watched from its revision.
        revision = revision or at
        if objects:
            path = f'{first}?after={objects[-1].meta.name}'
    feed.takers.replace(found)
    feed.revision = revision


async def _watch(feed: Feed) -> bool:
    """Wait for changes; tell if there were any."""
    wait = int(WATCH_SECONDS * _MILLISECONDS)
    path = f'/api/objects/{feed.kind}?watch={feed.revision}&wait_ms={wait}'
    answer = await _call(feed, path, WATCH_SECONDS + WATCH_GRACE_SECONDS)
    if answer.status == _GONE:
        feed.revision = 0
        return False
    changes, revision = _decode(answer, read_changes)
    for stored, deleted in changes:
        feed.takers.change(stored, deleted)
    feed.revision = max(feed.revision, revision)
    return bool(changes)


async def _call(feed: Feed, path: str, seconds: float) -> StoreAnswer:
    answer = await feed.connection.call('GET', path, seconds)
    if answer.status not in {_OK, _GONE}:
        raise MarlbendError(
            ErrorKind.PLATFORM_REFUSED,
            messages.PLATFORM_REFUSED.format(status=answer.status, url=path),
        )
    feed.heard_at = time.monotonic()
    if feed.lost:
        emit(Event.PLATFORM_BACK, kind=feed.kind)
    feed.lost = False
    feed.pause = 0
    return answer


def _decode(
    answer: StoreAnswer,
    read: Callable[[bytes], _Decoded],
) -> _Decoded:
    try:
        return read(answer.body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise MarlbendError(
            ErrorKind.MESSAGE_MALFORMED,
            messages.MESSAGE_MALFORMED.format(name='objects', reason=error),
        ) from None


def _note_loss(feed: Feed, error: MarlbendError) -> None:
    if not feed.lost:
        emit(Event.PLATFORM_LOST, kind=feed.kind, error=error)
    feed.lost = True
    longer = max(feed.pause * 2, FIRST_PAUSE_SECONDS)
    feed.pause = min(longer, LONGEST_PAUSE_SECONDS)
