"""End upstreams whose registration stays missing, and forget them later."""

from collections.abc import Iterator
from typing import Final

from marlbend.steering.upstreams import (
    MISSING_SECONDS,
    REWRITE_SECONDS,
    Upstream,
    UpstreamPool,
    end_upstream,
    remove_upstream,
)

__all__ = ('ENDED_SECONDS', 'expire_upstreams')

# The cookie of an ended upstream is kept for this long; no flow is older than a
# minute.
ENDED_SECONDS: Final = 65.0
# Reports of other instances older than this are not used in any decision.
REPORT_EXPIRY_SECONDS: Final = 10.0


def expire_upstreams(
    pool: UpstreamPool,
    now: float,
    confirmed: tuple[float, float],
) -> Iterator[Upstream]:
    """End upstreams that stay missing, and remove those that ended long ago.

    `confirmed` is the interval in which the platform is known to have answered.
    A registration that expired in an outage returns after the outage, so only
    time within this interval counts.
    """
    for known in tuple(pool.by_name.values()):
        _expire_reports(known, now)
        if known.ended_at:
            if now - known.ended_at > ENDED_SECONDS:
                remove_upstream(pool, known)
        elif _has_stayed_missing(pool, known, confirmed):
            end_upstream(pool, known.name, now)
            yield known


def _has_stayed_missing(
    pool: UpstreamPool, known: Upstream, confirmed: tuple[float, float]
) -> bool:
    held = pool.held_by_name.get(known.name)
    is_in_store = held is not None and held.entry.born == known.entry.born
    if not known.missing_since or is_in_store:
        return False
    since, until = confirmed
    missing_seconds = until - max(known.missing_since, since)
    limit = REWRITE_SECONDS if known.name in pool.lost else MISSING_SECONDS
    return missing_seconds > limit


def _expire_reports(known: Upstream, now: float) -> None:
    for member, report in tuple(known.report_by_member.items()):
        if now - report.received_at > REPORT_EXPIRY_SECONDS:
            known.report_by_member.pop(member)
