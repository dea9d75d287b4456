"""Remember who asked about flows that are not known here.

An instance that asks an earlier home about a flow is its home by a newer view
or configuration, and will decide for the flow if nobody knows it.  Packets may
still come to an earlier home that has not heard of the change and holds itself
to be the home; it sends them to whoever asked.

Referrals live for one to two turns and are bounded in number.
"""

from typing import Final, final

__all__ = ('Referrals', 'find_referral', 'note_referral', 'turn_referrals')

TURN_SECONDS: Final = 15.0
HIGHEST_REFERRALS: Final = 20_000


@final
class Referrals:
    """Hold the names by digest, in two generations.

    `turn_at` is the monotonic time at which the older ones are dropped.
    """

    __slots__ = ('newer', 'older', 'turn_at')

    def __init__(self) -> None:
        """Start without referrals."""
        self.newer: dict[int, str] = {}
        self.older: dict[int, str] = {}
        self.turn_at: float = 0


def note_referral(referrals: Referrals, digest: int, name: str) -> None:
    """Remember who asked about a flow, if there is room."""
    if len(referrals.newer) < HIGHEST_REFERRALS:
        referrals.newer[digest] = name


def find_referral(referrals: Referrals, digest: int) -> str | None:
    """Return who asked about a flow."""
    return referrals.newer.get(digest) or referrals.older.get(digest)


def turn_referrals(referrals: Referrals, now: float) -> None:
    """Drop the older referrals when their time is over."""
    if now >= referrals.turn_at:
        referrals.older = referrals.newer
        referrals.newer = {}
        referrals.turn_at = now + TURN_SECONDS
