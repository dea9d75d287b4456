"""Share the capacity of a service equally among its callers.

Designed for callers that compete for too little capacity, a few of which
request many times as much as the others.  A caller is an address, so more
flows or other ports do not enlarge its share.

The work of each caller decays exponentially.  All sums decay alike, so the
total is kept as one number, and no decision reads more than its own caller.
"""

import math
from collections.abc import Sequence
from typing import Final, final

__all__ = (
    'MAX_CALLERS',
    'CallerShare',
    'CallerShares',
    'find_relative_work',
    'is_over_share',
    'limit_callers',
    'record_admitted',
    'record_refused',
    'was_refused',
)

# Above this number the least recent caller is removed.  They take 0.5 MB.
MAX_CALLERS: Final = 2_048
# The admitted work halves in this time.
HALF_LIFE_SECONDS: Final = 5.0
# A caller without a flow admitted or refused for this long is removed.
ACTIVE_SECONDS: Final = 5.0
# A caller may have this multiple of the mean work of the active callers.
SHARE_OF_MEAN: Final = 1.5
# A refusal gives precedence for this long.  A refused caller returns at once.
PRECEDENCE_SECONDS: Final = 2.0
# Each update removes at most this many inactive callers, so that an update
# after a pause takes no longer than others.
MAX_REMOVED_AT_ONCE: Final = 4


@final
class CallerShare:
    """Hold the recent work of one caller, in seconds as of `active_at`.

    That is when a flow was last admitted or refused; `refused_at` is when one
    was last refused.  `refusals` counts those whose precedence is unused.
    """

    __slots__ = ('active_at', 'refusals', 'refused_at', 'work')

    def __init__(self, now: float) -> None:
        """Initialize without work."""
        self.work: float = 0
        self.active_at = now
        self.refusals = 0
        self.refused_at = now


@final
class CallerShares:
    """Hold the active callers, the least recent first, and their total work.

    The total is in seconds as of `totalled_at`.
    """

    __slots__ = ('by_caller', 'total', 'totalled_at')

    def __init__(self) -> None:
        """Initialize without callers."""
        self.by_caller: dict[bytes, CallerShare] = {}
        self.total: float = 0
        self.totalled_at: float = 0


def record_admitted(
    shares: CallerShares, caller: bytes, seconds: float, now: float
) -> None:
    """Add the work of an admitted flow; use up the precedence of a refusal."""
    share = _touch(shares, caller, now)
    if was_refused(shares, caller, now):
        share.refusals -= 1
    share.work += seconds
    shares.total = _decay(shares.total, shares.totalled_at, now) + seconds
    shares.totalled_at = now


def record_refused(shares: CallerShares, caller: bytes, now: float) -> None:
    """Give a caller precedence for one flow."""
    share = _touch(shares, caller, now)
    if not was_refused(shares, caller, now):
        share.refusals = 0
    share.refusals += 1
    share.refused_at = now


def was_refused(shares: CallerShares, caller: bytes, now: float) -> bool:
    """Return whether a recent refusal gives precedence to the next flow."""
    share = shares.by_caller.get(caller)
    if share is None or not share.refusals:
        return False
    return now - share.refused_at < PRECEDENCE_SECONDS


def is_over_share(shares: CallerShares, caller: bytes, now: float) -> bool:
    """Return whether a caller has far more work than the mean of the active."""
    return find_relative_work(shares, caller, now) > SHARE_OF_MEAN


def find_relative_work(
    shares: CallerShares, caller: bytes, now: float
) -> float:
    """Return the work of a caller as a multiple of the mean."""
    share = shares.by_caller.get(caller)
    total = _decay(shares.total, shares.totalled_at, now)
    if share is None or not total:
        return 0
    mean = total / len(shares.by_caller)
    return _decay(share.work, share.active_at, now) / mean


def limit_callers(tables: Sequence[CallerShares], now: float) -> None:
    """Make room for one more caller in all tables together.

    The largest table gives up its least recent caller.
    """
    if sum(len(shares.by_caller) for shares in tables) >= MAX_CALLERS:
        largest = max(tables, key=lambda shares: len(shares.by_caller))
        _remove_least_recent(largest, now)


def _touch(shares: CallerShares, caller: bytes, now: float) -> CallerShare:
    """Return the record of a caller, as the most recent one."""
    share = shares.by_caller.pop(caller, None)
    _remove_inactive(shares, now)
    if share is None:
        share = CallerShare(now)
    share.work = _decay(share.work, share.active_at, now)
    share.active_at = now
    shares.by_caller[caller] = share
    return share


def _remove_inactive(shares: CallerShares, now: float) -> None:
    for _ in range(MAX_REMOVED_AT_ONCE):
        caller = next(iter(shares.by_caller), None)
        if caller is None:
            return
        is_active = now - shares.by_caller[caller].active_at < ACTIVE_SECONDS
        if is_active and len(shares.by_caller) < MAX_CALLERS:
            return
        _remove_least_recent(shares, now)


def _remove_least_recent(shares: CallerShares, now: float) -> None:
    """Remove the caller that was inactive for the longest time, if any."""
    caller = next(iter(shares.by_caller), None)
    if caller is not None:
        share = shares.by_caller.pop(caller)
        total = _decay(shares.total, shares.totalled_at, now)
        work = _decay(share.work, share.active_at, now)
        # Rounding must not leave a negative total.
        shares.total = max(total - work, 0)
        shares.totalled_at = now


def _decay(work: float, since: float, now: float) -> float:
    return work * math.exp2(-max(now - since, 0) / HALF_LIFE_SECONDS)
