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
# Enough for the changes of the last minute at ten changes of an upstream per
# second, for instances that fetch them.
HISTORY_BYTES: Final = 64_000

TimedChanges = tuple[float, TopicChanges]


@final
class RecentChanges:
    """Hold the latest changes, each with the time when it was received.

    `size` is the total size of their bodies, in bytes.
    """

    __slots__ = ('history', 'size')

    def __init__(self) -> None:
        """Start without changes."""
        self.history: deque[TimedChanges] = deque()
        self.size = 0


def record_changes(
    recent: RecentChanges,
    changes: TopicChanges,
    now: float,
) -> None:
    """Add changes, if there are any, and evict the oldest ones."""
    if changes.since >= changes.until:
        return
    recent.history.append((now, changes))
    recent.size += len(changes.body)
    while recent.size > HISTORY_BYTES:
        _, oldest = recent.history.popleft()
        recent.size -= len(oldest.body)


def list_fresh_changes(
    recent: RecentChanges,
    now: float,
) -> Iterator[TopicChanges]:
    """Yield the changes for the next heartbeat, as many as fit into it."""
    bytes_left = FRESH_BYTES
    for received_at, changes in recent.history:
        if now - received_at < FRESH_SECONDS:
            bytes_left -= len(changes.body)
            if bytes_left >= 0:
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
    for _, changes in recent.history:
        if changes.topic == topic and changes.since <= reached < changes.until:
            found.append(changes)
            reached = changes.until
    return tuple(found) if reached == until else ()
