"""Record which instance looked up a flow that is unknown here.

An instance that looks a flow up at a previous owner is the owner by a newer
membership view or configuration, and selects the upstream if no instance has
the flow.  Packets of the flow may still reach a previous owner that does not
have the change yet and considers itself the owner.  It relays them to the
instance that sent the lookup.

Hints expire after one to two rotation periods and are bounded in number.
"""

from typing import Final, final

__all__ = ('OwnerHints', 'find_hint', 'record_hint', 'rotate_hints')

# Equal to `PREVIOUS_OWNER_LOOKUP_SECONDS`, the period in which flows are looked
# up at previous owners after a change.
ROTATION_SECONDS: Final = 15.0
MAX_HINTS: Final = 20_000


@final
class OwnerHints:
    """Map digests to names of instances, in two generations.

    `rotate_at` is the monotonic time at which the older generation is dropped.
    """

    __slots__ = ('newer', 'older', 'rotate_at')

    def __init__(self) -> None:
        """Start without hints."""
        self.newer: dict[int, str] = {}
        self.older: dict[int, str] = {}
        self.rotate_at: float = 0


def record_hint(hints: OwnerHints, digest: int, name: str) -> None:
    """Record which instance looked up a flow, unless the limit is reached."""
    if len(hints.newer) < MAX_HINTS:
        hints.newer[digest] = name


def find_hint(hints: OwnerHints, digest: int) -> str | None:
    """Return the name of the instance that looked up a flow."""
    return hints.newer.get(digest) or hints.older.get(digest)


def rotate_hints(hints: OwnerHints, now: float) -> None:
    """Drop the older generation once its period has ended."""
    if now >= hints.rotate_at:
        hints.older = hints.newer
        hints.newer = {}
        hints.rotate_at = now + ROTATION_SECONDS
