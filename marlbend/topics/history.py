"""Keep the latest changes, to pass them on to other instances for a while.

Designed for thousands of upstreams, where the list of all upstreams is a
thousand times as long as a change.
"""

from collections import deque
from collections.abc import Iterator
from typing import Final, final

from marlbend.wire.heartbeats import TopicChanges

__all__ = (
    'RecentChanges',
    'forget_changes',
    'list_fresh_changes',
    'list_since',
    'record_changes',
)

# Changes go into two periodic heartbeats after the one that is sent at once.
# With four targets each, the twelve messages from each instance that receives
# the changes reach all but a few instances.
FRESH_SECONDS: Final = 0.5
# The part of a datagram of 9 kB that members and upstreams do not need.
FRESH_BYTES: Final = 3_000
# For each topic, for instances that fetch changes: enough for those of the last
# minute at ten changes of an upstream per second.
HISTORY_BYTES: Final = 64_000

TimedChanges = tuple[float, TopicChanges]


@final
class RecentChanges:
    """Hold the latest changes, each with the time when it was received.

    Each topic has a history of its own, so that long changes of one do not
    evict those of another.  `bytes_by_topic` is the total size of the bodies.
    """

    __slots__ = ('bytes_by_topic', 'history_by_topic')

    def __init__(self) -> None:
        """Start without changes."""
        self.history_by_topic: dict[int, deque[TimedChanges]] = {}
        self.bytes_by_topic: dict[int, int] = {}


def record_changes(
    recent: RecentChanges,
    changes: TopicChanges,
    now: float,
) -> None:
    """Add changes, if there are any, and evict the oldest ones."""
    if changes.since >= changes.until:
        return
    topic = changes.topic
    history = recent.history_by_topic.setdefault(topic, deque())
    history.append((now, changes))
    size = recent.bytes_by_topic.get(topic, 0) + len(changes.body)
    while size > HISTORY_BYTES:
        _, oldest = history.popleft()
        size -= len(oldest.body)
    recent.bytes_by_topic[topic] = size


def forget_changes(recent: RecentChanges, topic: int) -> None:
    """Remove the changes of a topic, since their revisions no longer count."""
    recent.history_by_topic.pop(topic, None)
    recent.bytes_by_topic.pop(topic, None)


def list_fresh_changes(
    recent: RecentChanges,
    now: float,
) -> Iterator[TopicChanges]:
    """Yield the changes for the next heartbeat, as many as fit into it.

    Changes that do not fit hold back the later ones of their topic, which would
    not apply without them, but not those of other topics.
    """
    bytes_left = FRESH_BYTES
    for history in recent.history_by_topic.values():
        for changes in _select_fresh(history, now):
            if len(changes.body) > bytes_left:
                break
            bytes_left -= len(changes.body)
            yield changes


def _select_fresh(
    history: deque[TimedChanges], now: float
) -> Iterator[TopicChanges]:
    for received_at, changes in history:
        if now - received_at < FRESH_SECONDS:
            yield changes


def list_since(
    recent: RecentChanges,
    topic: int,
    since: int,
    until: int,
) -> tuple[TopicChanges, ...]:
    """Return the changes of a topic from one revision to another.

    Return nothing if some of them are no longer in the history.
    """
    found: list[TopicChanges] = []
    reached = since
    for _, changes in recent.history_by_topic.get(topic, ()):
        if changes.since <= reached < changes.until:
            found.append(changes)
            reached = changes.until
    return tuple(found) if reached == until else ()
