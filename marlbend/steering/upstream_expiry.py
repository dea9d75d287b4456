"""End upstreams whose registration stays missing, and forget them later."""

from collections.abc import Iterator
from typing import Final

from marlbend.steering.reports import expire_reports
from marlbend.steering.upstreams import (
    MISSING_SECONDS,
    REWRITE_SECONDS,
    Upstream,
    UpstreamPool,
    end_upstream,
    remove_upstream,
)

__all__ = ('ENDED_SECONDS', 'expire_upstreams', 'needs_confirmation')

# While more than this share of all registrations is missing, they may have
# expired in an outage of the platform that nobody noticed.
MAX_MISSING_SHARE: Final = 0.5
# The cookie of an ended upstream is kept for this long; no flow is older than a
# minute.
ENDED_SECONDS: Final = 65.0


def expire_upstreams(
    pool: UpstreamPool,
    now: float,
    confirmed: tuple[float, float],
) -> Iterator[Upstream]:
    """End upstreams that stay missing, and remove those that ended long ago.

    `confirmed` is the interval in which the platform is known to have answered.
    A registration that expired in an outage returns after the outage, so only
    time within this interval counts.  For any other, all time counts, also if
    the instance that reads the platform for the others is lost meanwhile.
    """
    latest = _find_latest(pool, now, confirmed)
    for known in tuple(pool.by_name.values()):
        expire_reports(known.reports, now)
        if known.ended_at:
            if now - known.ended_at > ENDED_SECONDS:
                remove_upstream(pool, known)
        elif _has_stayed_missing(pool, known, confirmed, latest):
            end_upstream(pool, known.name, now)
            yield known


def needs_confirmation(
    pool: UpstreamPool, now: float, confirmed: tuple[float, float]
) -> bool:
    """Return whether an upstream would end if the platform answered now.

    `confirmed` is as in `expire_upstreams`.
    """
    missing = [
        known
        for known in pool.by_name.values()
        if known.missing_since and not known.ended_at
    ]
    if not missing:
        return False
    latest = _find_latest(pool, now, confirmed)
    heard_now = (confirmed[0], now)
    return any(
        _has_stayed_missing(pool, known, heard_now, now)
        and not _has_stayed_missing(pool, known, confirmed, latest)
        for known in missing
    )


def _find_latest(
    pool: UpstreamPool, now: float, confirmed: tuple[float, float]
) -> float:
    """Return up to when time counts without an outage."""
    return confirmed[1] if _are_most_missing(pool) else now


def _has_stayed_missing(
    pool: UpstreamPool,
    known: Upstream,
    confirmed: tuple[float, float],
    latest: float,
) -> bool:
    """Return whether a registration has been missing for too long.

    Time counts up to `latest` if the registration did not expire in an outage.
    """
    held = pool.held_by_name.get(known.name)
    is_in_store = held is not None and held.entry.born == known.entry.born
    if not known.missing_since or is_in_store:
        return False
    recovered_at, heard_until = confirmed
    is_outage = _is_after_outage(pool, known, recovered_at)
    until = heard_until if is_outage else latest
    missing_seconds = until - max(known.missing_since, recovered_at)
    limit = REWRITE_SECONDS if known.name in pool.lost else MISSING_SECONDS
    return missing_seconds > limit


def _are_most_missing(pool: UpstreamPool) -> bool:
    used = [known for known in pool.by_name.values() if not known.ended_at]
    missing = sum(bool(known.missing_since) for known in used)
    return missing > MAX_MISSING_SHARE * len(used)


def _is_after_outage(
    pool: UpstreamPool, known: Upstream, recovered_at: float
) -> bool:
    """Return whether a registration may be missing because of an outage."""
    is_soon_after = known.missing_since - recovered_at < REWRITE_SECONDS
    return is_soon_after or known.name in pool.lost
