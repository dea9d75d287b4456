"""Hold the state of reading one topic, and follow the failures of its calls.

Designed for a store that is down, or rejects this instance alone: failed calls
are retried after a delay that grows, and the next reader is told of the first.
"""

from collections.abc import Callable
from random import Random
from typing import Final, final

from marlbend.clock import steady_seconds
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.http import Connection
from marlbend.steering.budgets import TokenBucket
from marlbend.steering.gossip import GossipState, list_live_members
from marlbend.steering.state import Steering
from marlbend.topics.knowledge import Topic, record_recovery
from marlbend.wire.heartbeats import TopicChanges

__all__ = (
    'TopicWatcher',
    'end_failure',
    'find_change_delay',
    'find_retry_delay',
    'no_changes',
    'record_failure',
)

# The delay after a failed call doubles from the first value up to the second.
INITIAL_RETRY_SECONDS: Final = 0.1
MAX_RETRY_SECONDS: Final = 1.0
# While the store is away, all instances together retry this often for each
# topic.  One that succeeds tells the others.
FLEET_RETRIES_PER_SECOND: Final = 50.0
# A response to a watch that takes longer has waited for its changes.
IMMEDIATE_SECONDS: Final = 0.2
# Calls for one topic: more than a storm of changes makes, and less than a loop
# without a pause.  If 300 instances read all topics at once, they make 3,600 of
# the 6,000 calls that the platform allows them in a second.
CALLS_PER_SECOND: Final = 4.0
CALLS_AT_ONCE: Final = 8.0


@final
class TopicWatcher:
    """Hold the state of reading one topic.

    `watch_from_revision` is the revision after which the next watch starts.  It
    is zero until a list has been read here or another instance has reported a
    revision by gossip; in the latter case no list is read first.
    `list_needed` is set if the store no longer has the changes since then, or
    if the last response held more changes than the topic has objects, so that a
    list would have been shorter.  `failed_at` is when calls began to fail, zero
    while they succeed, and `retry_delay` is the delay after the last failure,
    in seconds.  `announce` is called with the changes that the platform
    reported, or with no changes after a list or when calls begin to fail.
    `era` is the era of the store that `watch_from_revision` belongs to.
    `calls` limits the calls.
    """

    __slots__ = (
        'announce',
        'calls',
        'connection',
        'era',
        'failed_at',
        'gossip',
        'list_needed',
        'random',
        'retry_delay',
        'steering',
        'topic',
        'watch_from_revision',
    )

    def __init__(
        self,
        topic: Topic,
        connection: Connection,
        steering: Steering,
        gossip: GossipState,
        announce: Callable[[TopicChanges], None],
    ) -> None:
        """Start without a list."""
        self.topic = topic
        self.connection = connection
        self.steering = steering
        self.gossip = gossip
        self.announce = announce
        self.random: Random = steering.random
        self.watch_from_revision = 0
        self.era = 0
        self.calls = TokenBucket(CALLS_PER_SECOND, CALLS_AT_ONCE)
        self.list_needed = False
        self.failed_at: float = 0
        self.retry_delay: float = 0


def find_retry_delay(watcher: TopicWatcher) -> float:
    """Return the delay after a failed call, in seconds.

    It grows with the instances that this one hears from, since each of them
    retries as well.  An instance that hears from nobody relies on itself.
    """
    live = sum(1 for _ in list_live_members(watcher.gossip, steady_seconds()))
    return max(watcher.retry_delay, live / FLEET_RETRIES_PER_SECOND)


def record_failure(watcher: TopicWatcher, error: MarlbendError) -> None:
    """Note that a call failed, and tell the others of the first one."""
    if not watcher.failed_at:
        kind = watcher.topic.name.lower()
        emit(Event.PLATFORM_UNAVAILABLE, kind=kind, error=error)
        watcher.failed_at = steady_seconds()
    if watcher.gossip.myself.can_read:
        watcher.gossip.myself.can_read = False
        # Heartbeats sent now make another instance the reader sooner.
        revision = watcher.gossip.revision_by_topic[watcher.topic]
        watcher.announce(no_changes(watcher, revision))
    next_delay = max(watcher.retry_delay * 2, INITIAL_RETRY_SECONDS)
    watcher.retry_delay = min(next_delay, MAX_RETRY_SECONDS)


def end_failure(watcher: TopicWatcher, now: float) -> None:
    """Record that calls succeed again, and whether the platform was out."""
    gossip = watcher.gossip
    topic = watcher.topic
    heard_at = gossip.confirmed_at_by_topic[topic]
    was_out = heard_at < watcher.failed_at and record_recovery(
        gossip, topic, now
    )
    emit(
        Event.PLATFORM_RECOVERED,
        kind=topic.name.lower(),
        unheard=round(now - heard_at, 2) if heard_at > 0 else -1,
        outage=was_out,
    )
    watcher.failed_at = 0
    watcher.retry_delay = 0


def find_change_delay(
    watcher: TopicWatcher, requested_at: float, received_at: float
) -> float:
    """Return for how many seconds changes may have been in force when read.

    The store responds to a watch at once if there are changes already.  These
    came after the platform was last heard, perhaps by a reader that was lost
    before it told anybody.  Time in which the platform was out does not count.
    """
    heard_at = watcher.gossip.confirmed_at_by_topic[watcher.topic]
    has_waited = received_at - requested_at > IMMEDIATE_SECONDS
    if has_waited or heard_at == float('-inf') or heard_at < watcher.failed_at:
        return 0
    return max(received_at - heard_at, 0)


def no_changes(watcher: TopicWatcher, revision: int) -> TopicChanges:
    """Return changes that lead nowhere, for heartbeats without any."""
    return TopicChanges(watcher.topic, revision, revision, b'')
