"""Keep what has just changed, to tell other instances of it for a while.

Answers the load of thousands of upstreams: a list of all is a thousand times as
long as what changed.
"""

from collections import deque
from collections.abc import Iterator
from typing import Final, final

from marlbend.wire.beats import ChangesNews

__all__ = ('RecentChanges', 'keep_changes', 'list_changes')

# Changes are told for two beats beside the one that goes out at once; twelve
# copies from each instance that hears of them reach all but a few.
TOLD_SECONDS: Final = 0.5
# What a datagram of 9 kB has to spare beside members and upstreams.
CHANGES_BYTES: Final = 3_000
CHANGES_KEPT: Final = 16

Kept = tuple[float, ChangesNews]


@final
class RecentChanges:
    """Hold the latest changes, each with when it was learned."""

    __slots__ = ('kept',)

    def __init__(self) -> None:
        """Start without a change."""
        self.kept: deque[Kept] = deque(maxlen=CHANGES_KEPT)


def keep_changes(
    recent: RecentChanges,
    changes: ChangesNews,
    now: float,
) -> None:
    """Keep changes, unless they are none or too long for a datagram.

    Whoever needs those fetches the whole topic.
    """
    if changes.since < changes.until and len(changes.body) <= CHANGES_BYTES:
        recent.kept.append((now, changes))


def list_changes(recent: RecentChanges, now: float) -> Iterator[ChangesNews]:
    """Yield the changes of just now, as many as a datagram holds."""
    left = CHANGES_BYTES
    for learned, changes in recent.kept:
        if now - learned < TOLD_SECONDS:
            left -= len(changes.body)
            if left >= 0:
                yield changes
