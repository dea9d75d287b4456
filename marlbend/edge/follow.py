"""Follow one topic in the platform's store while this instance has to.

Answers the load of a store that is down, slow, partitioned or turns this
instance away, and of watches that fall silent: each watch has a time limit of
its own, failures pause with jitter, and a history that is gone means to list
anew.
"""

import asyncio
from collections.abc import Callable, Iterable
from random import Random
from typing import Final, TypeVar, final

import msgspec

from marlbend import messages
from marlbend.clock import steady_seconds
from marlbend.edge.beliefs import (
    take_changes,
    take_list,
)
from marlbend.edge.changes import encode_changes
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.http import ClientResponse, Connection
from marlbend.platform.client import expect_status
from marlbend.platform.objects import (
    ObjectChange,
    StoredObject,
    decode_changes,
    decode_page,
)
from marlbend.platform.paths import list_path, watch_path
from marlbend.steering.gossip import (
    GossipState,
    Topic,
    confirm_revision,
    record_recovery,
    should_read_platform,
)
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import has_missing
from marlbend.wire.heartbeats import TopicChanges

__all__ = ('Feed', 'follow_topic')

_Decoded = TypeVar('_Decoded')

# A watch waits for this share of the age at which others read for themselves;
# what is left is for the answer and the beats that spread it.
WATCH_SHARE: Final = 0.7
WATCH_GRACE_SECONDS: Final = 0.5
LIST_SECONDS: Final = 2.0
# An upstream that stays missing is noticed this much later at most.
CONFIRM_SECONDS: Final = 0.5
# Changes that follow each other closely are fetched with one call.
GATHER_SECONDS: Final = 0.3
FIRST_PAUSE_SECONDS: Final = 0.1
LONGEST_PAUSE_SECONDS: Final = 1.0
IDLE_SECONDS: Final = 0.1

_OK: Final = 200
_GONE: Final = 410


@final
class Feed:
    """Hold what following one topic needs.

    `position` is the revision to watch from, zero before the first list;
    `history_gone` asks for a list all the same.  `spread` is called with what
    changed when the platform told of it, with an empty body after a list.
    """

    __slots__ = (
        'connection',
        'gossip',
        'history_gone',
        'lost',
        'pause',
        'position',
        'random',
        'spread',
        'steering',
        'topic',
    )

    def __init__(
        self,
        topic: Topic,
        connection: Connection,
        steering: Steering,
        gossip: GossipState,
        spread: Callable[[TopicChanges], None],
    ) -> None:
        """Start before the first list."""
        self.topic = topic
        self.connection = connection
        self.steering = steering
        self.gossip = gossip
        self.spread = spread
        self.random: Random = steering.random
        self.position = 0
        self.history_gone = False
        self.lost = False
        self.pause: float = 0


async def follow_topic(feed: Feed) -> None:
    """Read the topic whenever this instance has to, until cancelled."""
    while True:
        if not should_read_platform(feed.gossip, feed.topic, steady_seconds()):
            await asyncio.sleep(IDLE_SECONDS)
            continue
        try:
            await _step(feed)
        except MarlbendError as error:
            _note_loss(feed, error)
            await asyncio.sleep(feed.pause * feed.random.uniform(0.5, 1))


async def _step(feed: Feed) -> None:
    known = feed.gossip.revision_by_topic[feed.topic]
    # Another instance may have told of later changes than were read here.
    feed.position = max(feed.position, known)
    if feed.history_gone or not feed.position:
        await _list_all(feed)
    elif await _watch(feed):
        await asyncio.sleep(GATHER_SECONDS)


async def _list_all(feed: Feed) -> None:
    found: list[StoredObject] = []
    revision = 0
    after = ''
    more = True
    while more:
        path = list_path(feed.topic, after)
        answer = await _call(feed, path, LIST_SECONDS)
        page, at, more = _decode(answer, decode_page)
        found.extend(page)
        # Changes since the first page are watched from its revision.
        revision = revision or at
        # A page of which nothing can be read leads no further.
        more = more and bool(page)
        after = page[-1].meta.name if page else ''
    known = feed.gossip.revision_by_topic[feed.topic]
    feed.history_gone = False
    if revision >= known:
        take_list(feed.steering, feed.topic, found)
        feed.position = revision
        _note_read(feed, revision)
        if revision > known:
            feed.spread(_describe(feed, revision, revision, ()))


async def _watch(feed: Feed) -> bool:
    """Wait for changes; tell if there were any."""
    wait = feed.gossip.staleness_limit_by_topic[feed.topic] * WATCH_SHARE
    if feed.topic is Topic.UPSTREAMS and has_missing(feed.steering.pool):
        # Whether a registration stays away is confirmed by answers.
        wait = min(wait, CONFIRM_SECONDS)
    since = feed.position
    path = watch_path(feed.topic, since, wait)
    answer = await _call(feed, path, wait + WATCH_GRACE_SECONDS)
    if answer.status == _GONE:
        feed.history_gone = True
        return False
    changes, revision = _decode(answer, decode_changes)
    known = feed.gossip.revision_by_topic[feed.topic]
    feed.position = max(feed.position, revision)
    if changes and revision > known:
        take_changes(feed.steering, feed.topic, changes)
        _note_read(feed, revision)
        feed.spread(_describe(feed, since, revision, changes))
    else:
        # What another instance told meanwhile is as new as the answer.
        _note_read(feed, known)
    return bool(changes)


def _note_read(feed: Feed, revision: int) -> None:
    gossip = feed.gossip
    confirm_revision(gossip, feed.topic, revision, steady_seconds())
    gossip.myself.can_read = True
    if feed.lost:
        record_recovery(gossip, feed.topic, steady_seconds())
        emit(Event.PLATFORM_BACK, kind=feed.topic.name.lower())
    feed.lost = False
    feed.pause = 0


def _describe(
    feed: Feed,
    since: int,
    until: int,
    changes: Iterable[ObjectChange],
) -> TopicChanges:
    body = encode_changes(feed.topic, changes)
    return TopicChanges(feed.topic, since, until, body)


async def _call(feed: Feed, path: str, seconds: float) -> ClientResponse:
    answer = await feed.connection.request('GET', path, seconds)
    return expect_status(answer, path, _OK, _GONE)


def _decode(
    answer: ClientResponse, read: Callable[[bytes], _Decoded]
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
        kind = feed.topic.name.lower()
        emit(Event.PLATFORM_LOST, kind=kind, error=error)
    feed.lost = True
    feed.gossip.myself.can_read = False
    longer = max(feed.pause * 2, FIRST_PAUSE_SECONDS)
    feed.pause = min(longer, LONGEST_PAUSE_SECONDS)
