"""Know the upstreams, by name and by cookie.

A cookie is a digest of an upstream's name, so every instance derives the same
one and none needs a table of flows.  Where two upstreams have the same cookie,
only the first of them by name gets new flows.
"""

import zlib
from collections.abc import Iterable, Iterator
from typing import Final, final

from marlbend.steering.documents import UpstreamEntry

__all__ = ('Upstream', 'UpstreamPool', 'derive_cookie')

# A registration that has gone is believed for this long, since it may have
# lapsed in an outage of the platform: upstreams that live register again within
# two seconds of its end.
MISSING_SECONDS: Final = 2.2
# A cookie that means an upstream that has ended is remembered for this long;
# no flow is older than a minute.
ENDED_SECONDS: Final = 65.0
# What another instance told is older than any decision asks for.
FORGOTTEN_SECONDS: Final = 10.0


@final
class PeerReport:
    """Hold what another instance of the domain told at `at` of an upstream.

    `unanswered_since` is by the clock of this instance, as `at` is.
    """

    __slots__ = (
        'busy',
        'received_at',
        'responses',
        'short_responses',
        'unanswered',
        'unanswered_since',
    )

    def __init__(self, received_at: float, busy: int) -> None:
        """Start with what is told of most upstreams: no silence."""
        self.received_at = received_at
        self.busy = busy
        self.responses = 0
        self.short_responses = 0
        self.unanswered = 0
        self.unanswered_since: float = 0


@final
class Signs:
    """Hold what this instance saw of an upstream being alive.

    `last_alive_at` is the latest sign of life.  `unanswered` counts the packets since
    of which nothing came, the oldest sent at `unanswered_since` and the latest
    given up at `last_unanswered_at`; `retry_at` is when a new flow may test it again.
    """

    __slots__ = (
        'last_alive_at',
        'last_unanswered_at',
        'retry_at',
        'unanswered',
        'unanswered_since',
    )

    def __init__(self) -> None:
        """Start without a sign."""
        self.last_alive_at: float = 0
        self.unanswered = 0
        self.unanswered_since: float = 0
        self.last_unanswered_at: float = 0
        self.retry_at: float = 0


@final
class Served:
    """Hold how well an upstream served the flows of this instance.

    `responses` counts recent ones and `short_responses` those that look like errors, both
    fading since `counted_at`.  `ejected_until` is when it gets new flows again
    after too many of them, `avoided_times` how often that was of late.
    """

    __slots__ = (
        'avoided_times',
        'counted_at',
        'ejected_until',
        'responses',
        'short_responses',
    )

    def __init__(self, now: float) -> None:
        """Start without an answer."""
        self.responses: float = 0
        self.short_responses: float = 0
        self.counted_at = now
        self.avoided_times = 0
        self.ejected_until: float = 0


@final
class Upstream:
    """Describe one upstream and what its flows have shown of it.

    `entry` is its latest registration.  All times are steady seconds:
    `cold_until`, `last_cold_flow_at` when its latest flow while cold was opened, and
    `missing_since` and `ended_at`, which are zero while it is registered.
    `busy` counts requests in progress and `flows` open flows, both as seen by
    this instance; `report_by_member` holds what others see.
    `domain_busy` is all that its own domain, if that is another one, knows it to
    work on, as told at `domain_busy_at`.  A
    `shadowed` upstream shares its cookie with another and gets no new flow.
    """

    __slots__ = (
        'busy',
        'cold_until',
        'cookie',
        'domain_busy',
        'domain_busy_at',
        'ended_at',
        'entry',
        'flows',
        'last_cold_flow_at',
        'liveness',
        'missing_since',
        'name',
        'outlier_state',
        'report_by_member',
        'shadowed',
    )

    def __init__(self, entry: UpstreamEntry, now: float) -> None:
        """Start as an upstream without flows."""
        self.name = entry.name
        self.entry = entry
        self.cookie = derive_cookie(entry.name)
        self.cold_until = now + entry.cold_seconds
        self.last_cold_flow_at: float = 0
        self.shadowed = False
        self.missing_since: float = 0
        self.ended_at: float = 0
        self.liveness = Signs()
        self.outlier_state = Served(now)
        self.busy = 0
        self.flows = 0
        self.report_by_member: dict[str, PeerReport] = {}
        self.domain_busy = 0
        self.domain_busy_at: float = 0


@final
class UpstreamPool:
    """Keep the upstreams that are registered, and those that have ended."""

    __slots__ = ('by_cookie', 'by_name', 'by_service')

    def __init__(self) -> None:
        """Start empty."""
        self.by_name: dict[str, Upstream] = {}
        self.by_cookie: dict[int, Upstream] = {}
        self.by_service: dict[str, dict[str, Upstream]] = {}


def derive_cookie(name: str) -> int:
    """Return the 32-bit cookie of an upstream, never zero."""
    return zlib.crc32(name.encode()) or 1


def register_upstream(
    pool: UpstreamPool,
    entry: UpstreamEntry,
    now: float,
) -> bool:
    """Take a registration; tell if it is of an upstream that was not in use."""
    known = pool.by_name.get(entry.name)
    if known is None or known.entry.born != entry.born:
        _forget(pool, known)
        _add(pool, Upstream(entry, now))
        return True
    returns = known.ended_at > 0
    pool.by_service[known.entry.service].pop(entry.name, None)
    # One that was taken for ended had left its service.
    pool.by_service.setdefault(entry.service, {})[entry.name] = known
    known.entry = entry
    known.missing_since = 0
    known.ended_at = 0
    known.cold_until = now + entry.cold_seconds
    return returns


def mark_missing(pool: UpstreamPool, name: str, now: float) -> bool:
    """Note that a registration has gone; tell if that is new."""
    known = pool.by_name.get(name)
    if known is None or known.missing_since:
        return False
    known.missing_since = now
    return True


def has_missing(pool: UpstreamPool) -> bool:
    """Tell whether a registration is missing and still waited for."""
    return any(
        known.missing_since and not known.ended_at
        for known in pool.by_name.values()
    )


def end_upstream(pool: UpstreamPool, name: str, now: float) -> bool:
    """Take an upstream out for good; tell if it was there."""
    known = pool.by_name.get(name)
    if known is None or known.ended_at:
        return False
    known.ended_at = now
    pool.by_service[known.entry.service].pop(name, None)
    return True


def expire_upstreams(
    pool: UpstreamPool,
    now: float,
    confirmed: tuple[float, float],
) -> Iterator[Upstream]:
    """End upstreams that stayed missing, and forget what is long over.

    `confirmed` is from when to when the platform is known to have answered: a
    registration that lapsed while it was away comes back after its return, so
    only the time in which it answers counts.
    """
    for known in tuple(pool.by_name.values()):
        _forget_told(known, now)
        if known.ended_at:
            if now - known.ended_at > ENDED_SECONDS:
                _forget(pool, known)
        elif _stays_missing(known, confirmed):
            end_upstream(pool, known.name, now)
            yield known


def _stays_missing(known: Upstream, confirmed: tuple[float, float]) -> bool:
    since, until = confirmed
    waited = until - max(known.missing_since, since)
    return known.missing_since > 0 and waited > MISSING_SECONDS


def registered_names_except(
    pool: UpstreamPool, present: Iterable[str]
) -> set[str]:
    """Return the names of registered upstreams that are not in `present`."""
    registered = {
        name for name, known in pool.by_name.items() if not known.ended_at
    }
    return registered.difference(present)


def _add(pool: UpstreamPool, upstream: Upstream) -> None:
    rival = pool.by_cookie.get(upstream.cookie)
    if rival is not None and not rival.ended_at and rival is not upstream:
        first, second = sorted((rival, upstream), key=_name_of)
        second.shadowed = True
        pool.by_cookie[upstream.cookie] = first
    else:
        pool.by_cookie[upstream.cookie] = upstream
    pool.by_name[upstream.name] = upstream
    same_service = pool.by_service.setdefault(upstream.entry.service, {})
    same_service[upstream.name] = upstream


def _forget_told(known: Upstream, now: float) -> None:
    for member, told in tuple(known.report_by_member.items()):
        if now - told.received_at > FORGOTTEN_SECONDS:
            known.report_by_member.pop(member)


def _name_of(upstream: Upstream) -> str:
    return upstream.name


def _forget(pool: UpstreamPool, known: Upstream | None) -> None:
    if known is None:
        return
    pool.by_name.pop(known.name, None)
    if pool.by_cookie.get(known.cookie) is known:
        pool.by_cookie.pop(known.cookie)
    pool.by_service[known.entry.service].pop(known.name, None)
