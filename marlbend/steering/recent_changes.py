"""Keep what has just changed, to tell other instances of it for a while.

Answers the load of thousands of upstreams: a list of all is a thousand times as
long as what changed.
"""

from collections import deque
from collections.abc import Iterator
from typing import Final, final

from marlbend.wire.heartbeats import TopicChanges

__all__ = ('RecentChanges', 'list_changes', 'list_since', 'record_changes')

# Changes are told for two beats beside the one that goes out at once; twelve
# copies from each instance that hears of them reach all but a few.
TOLD_SECONDS: Final = 0.5
# What a datagram of 9 kB has to spare beside members and upstreams.
TOLD_BYTES: Final = 3_000
# What is kept for those who ask: a minute in which one of thousands of
# upstreams changes ten times a second.
KEPT_BYTES: Final = 64_000

Kept = tuple[float, TopicChanges]


@final
class RecentChanges:
    """Hold the latest changes, each with when it was learned.

    `size` is the bytes of them all.
    """

    __slots__ = ('kept', 'size')

    def __init__(self) -> None:
        """Start without a change."""
        self.kept: deque[Kept] = deque()
        self.size = 0


def record_changes(
    recent: RecentChanges,
    changes: TopicChanges,
    now: float,
) -> None:
    """Keep changes, if there are any, and forget the oldest ones."""
    if changes.since >= changes.until:
        return
    recent.kept.append((now, changes))
    recent.size += len(changes.body)
    while recent.size > KEPT_BYTES:
        _, oldest = recent.kept.popleft()
        recent.size -= len(oldest.body)


def list_changes(recent: RecentChanges, now: float) -> Iterator[TopicChanges]:
    """Yield the changes of just now, as many as a datagram holds."""
    left = TOLD_BYTES
    for learned, changes in recent.kept:
        if now - learned < TOLD_SECONDS:
            left -= len(changes.body)
            if left >= 0:
                yield changes


def list_since(
    recent: RecentChanges,
    topic: int,
    since: int,
    until: int,
) -> tuple[TopicChanges, ...]:
    """Return the changes of a topic from one revision to another.

    Return nothing if some of them are not kept.
    """
    found: list[TopicChanges] = []
    reached = since
    for _, changes in recent.kept:
        if changes.topic == topic and changes.since <= reached < changes.until:
            found.append(changes)
            reached = changes.until
    return tuple(found) if reached == until else ()
