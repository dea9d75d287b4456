"""Track the known upstreams by name, by cookie and by service.

A cookie is a digest of an upstream's name, so every instance derives the same
one and no table of flows has to be shared.  If two upstreams have the same
cookie, only the one that started first gets flows.
"""

import zlib
from collections.abc import Iterable
from typing import Final, final

from marlbend.steering.documents import UpstreamEntry
from marlbend.steering.placement.speeds import Speed
from marlbend.steering.reports import NO_REPORT, PeerReports

__all__ = (
    'HeldEntry',
    'Request',
    'Upstream',
    'UpstreamPool',
    'UpstreamWork',
    'backdate_missing',
    'derive_cookie',
)

# A removed registration is still used for this long, since it may have expired
# in an outage of the platform: live upstreams register again within two seconds
# of the end of the outage.
MISSING_SECONDS: Final = 2.2
# After the store came back from a copy, upstreams and operators write again
# what it lacks, and registrations of dead upstreams expire, within this time.
REWRITE_SECONDS: Final = 10.0


@final
class Liveness:
    """Hold the evidence of whether an upstream is alive.

    `last_alive_at` is the latest proof of liveness, and `last_observed_at` the
    latest that this instance saw itself.  `unanswered` is the number of
    unanswered packets since `last_alive_at`: the oldest was sent at
    `unanswered_since`, and the latest was found to be unanswered at
    `last_unanswered_at`.
    `next_probe_at` is when a new flow may probe the upstream again, and
    `recovered_at` when it last responded after several unanswered packets.
    """

    __slots__ = (
        'last_alive_at',
        'last_observed_at',
        'last_unanswered_at',
        'next_probe_at',
        'recovered_at',
        'unanswered',
        'unanswered_since',
    )

    def __init__(self) -> None:
        """Initialize without evidence."""
        self.last_alive_at: float = 0
        self.last_observed_at: float = 0
        self.unanswered = 0
        self.unanswered_since: float = 0
        self.last_unanswered_at: float = 0
        self.next_probe_at: float = 0
        self.recovered_at: float = 0


@final
class OutlierState:
    """Hold the response counts and the ejection state of an upstream.

    `responses` counts recent responses to the flows of this instance, and
    `short_responses` those that look like errors; both decay exponentially and
    are valid as of `decayed_at`.  The upstream gets no new flow before
    `ejected_until`; `ejections` is the number of recent ejections.
    """

    __slots__ = (
        'decayed_at',
        'ejected_until',
        'ejections',
        'responses',
        'short_responses',
    )

    def __init__(self, now: float) -> None:
        """Initialize without a response."""
        self.responses: float = 0
        self.short_responses: float = 0
        self.decayed_at = now
        self.ejections = 0
        self.ejected_until: float = 0


@final
class Request:
    """Hold the route and the start of one request in progress.

    `endpoint` is the address and port of the route, and `started_at` in steady
    seconds, infinite while only the SYN of its flow was seen.  `follows_idle`
    is set if its flow had been open without a request before.
    """

    __slots__ = ('endpoint', 'follows_idle', 'started_at')

    def __init__(self, endpoint: bytes, started_at: float) -> None:
        """Set both; the request is taken for the first one of its flow."""
        self.endpoint = endpoint
        self.started_at = started_at
        self.follows_idle = False


@final
class UpstreamWork:
    """Hold what this instance sees of the work of an upstream.

    `requests` holds its requests in progress, and `speed` how fast the upstream
    served those that are complete.  `slowdown` is the multiple of the usual
    time that its requests take, by what all instances saw; it is refreshed
    twice a second.
    """

    __slots__ = ('requests', 'slowdown', 'speed')

    def __init__(self) -> None:
        """Initialize without a request."""
        # An empty dictionary takes a third of the memory of an empty set.
        self.requests: dict[Request, None] = {}
        self.speed = Speed()
        self.slowdown: float = 1


@final
class Upstream:
    """Hold the registration and the observed state of one upstream.

    `entry` is its latest registration.  All times are steady seconds.  The
    upstream is cold before `cold_until`; `last_new_flow_at` is when this
    instance last sent a new flow to it, cold or warm.  `missing_since` and
    `ended_at` are zero while it is registered.  `busy` counts requests in
    progress and `flows` open flows, both as seen by this instance;
    `reports` holds what other instances see.  `domain_report` is
    the latest total of its domain, reported by an instance there, if that is a
    remote one.  `work` is what this instance sees of its work.  A `shadowed`
    upstream shares its cookie with another and gets no new flow.
    """

    __slots__ = (
        'busy',
        'cold_until',
        'cookie',
        'domain_report',
        'ended_at',
        'entry',
        'flows',
        'last_new_flow_at',
        'liveness',
        'missing_since',
        'name',
        'outlier_state',
        'reports',
        'shadowed',
        'work',
    )

    def __init__(self, entry: UpstreamEntry, now: float) -> None:
        """Initialize without flows."""
        self.name = entry.name
        self.entry = entry
        self.cookie = derive_cookie(entry.name)
        self.cold_until = now + entry.cold_seconds
        self.last_new_flow_at: float = 0
        self.shadowed = False
        self.missing_since: float = 0
        self.ended_at: float = 0
        self.liveness = Liveness()
        self.outlier_state = OutlierState(now)
        self.work = UpstreamWork()
        self.busy = 0
        self.flows = 0
        self.reports = PeerReports()
        self.domain_report = NO_REPORT


@final
class HeldEntry:
    """Hold a registration that is not used, and since when it is known."""

    __slots__ = ('entry', 'since')

    def __init__(self, entry: UpstreamEntry, since: float) -> None:
        """Set both."""
        self.entry = entry
        self.since = since


@final
class UpstreamPool:
    """Hold the registered upstreams, and those that ended recently.

    `held_by_name` holds registrations that only a copy of the store has, and
    `lost` the names of those that it lacks, with the time of its return.
    `returned_at` is when the store last came back from a copy.  See
    `marlbend.steering.upstreams_restored`.  `knows_ended` is set once it has
    all upstreams that may have open flows, even if the store lacks them.
    `unknown_cookie_since` maps each cookie of no known upstream to the time at
    which it was first seen in a packet.
    """

    __slots__ = (
        'by_cookie',
        'by_name',
        'by_service',
        'held_by_name',
        'knows_ended',
        'lost',
        'returned_at',
        'unknown_cookie_since',
    )

    def __init__(self) -> None:
        """Initialize as empty."""
        self.held_by_name: dict[str, HeldEntry] = {}
        self.lost: dict[str, float] = {}
        self.returned_at = float('-inf')
        self.knows_ended = False
        self.by_name: dict[str, Upstream] = {}
        self.by_cookie: dict[int, Upstream] = {}
        self.unknown_cookie_since: dict[int, float] = {}
        self.by_service: dict[str, dict[str, Upstream]] = {}


def derive_cookie(name: str) -> int:
    """Return the 32-bit cookie of an upstream, never zero."""
    return zlib.crc32(name.encode()) or 1


def register_upstream(
    pool: UpstreamPool,
    entry: UpstreamEntry,
    now: float,
) -> bool:
    """Add or update an upstream; return whether it was not in use before."""
    pool.lost.pop(entry.name, None)
    pool.held_by_name.pop(entry.name, None)
    known = pool.by_name.get(entry.name)
    if known is None or known.entry.born != entry.born:
        remove_upstream(pool, known)
        _add(pool, Upstream(entry, now))
        return True
    has_returned = known.ended_at > 0
    pool.by_service[known.entry.service].pop(entry.name, None)
    # An upstream that was considered ended is no longer listed by service.
    pool.by_service.setdefault(entry.service, {})[entry.name] = known
    known.entry = entry
    known.missing_since = 0
    known.ended_at = 0
    known.cold_until = now + entry.cold_seconds
    return has_returned


def mark_missing(pool: UpstreamPool, name: str, now: float) -> bool:
    """Mark a registration as missing; return whether it was not before."""
    known = pool.by_name.get(name)
    if known is None or known.missing_since:
        return False
    known.missing_since = now
    return True


def backdate_missing(
    pool: UpstreamPool, noticed_at: float, since: float
) -> None:
    """Let registrations count as missing since before that was noticed.

    `noticed_at` is when the update began that lacked them.  What a copy of the
    store lacks counts from its return.
    """
    since = max(since, noticed_at - REWRITE_SECONDS)
    for known in pool.by_name.values():
        if known.missing_since >= noticed_at and known.name not in pool.lost:
            known.missing_since = min(known.missing_since, since)


def has_missing(pool: UpstreamPool) -> bool:
    """Return whether any registration is missing but has not ended."""
    return any(
        known.missing_since and not known.ended_at
        for known in pool.by_name.values()
    )


def end_upstream(pool: UpstreamPool, name: str, now: float) -> bool:
    """Mark an upstream as ended; return whether it was in use."""
    known = pool.by_name.get(name)
    if known is None or known.ended_at:
        return False
    known.ended_at = now
    pool.lost.pop(name, None)
    pool.by_service[known.entry.service].pop(name, None)
    return True


def remove_upstream(pool: UpstreamPool, known: Upstream | None) -> None:
    """Remove an upstream and its cookie, if it is known."""
    if known is None:
        return
    pool.by_name.pop(known.name, None)
    if pool.by_cookie.get(known.cookie) is known:
        pool.by_cookie.pop(known.cookie)
    pool.by_service[known.entry.service].pop(known.name, None)


def registered_names_except(
    pool: UpstreamPool,
    present: Iterable[str],
) -> set[str]:
    """Return the names of registered upstreams that are not in `present`."""
    registered = {
        name for name, known in pool.by_name.items() if not known.ended_at
    }
    return registered.difference(present)


def _add(pool: UpstreamPool, upstream: Upstream) -> None:
    other = pool.by_cookie.get(upstream.cookie)
    if other is not None and not other.ended_at and other is not upstream:
        first, second = sorted((other, upstream), key=_find_precedence)
        second.shadowed = True
        pool.by_cookie[upstream.cookie] = first
    else:
        pool.by_cookie[upstream.cookie] = upstream
    pool.by_name[upstream.name] = upstream
    same_service = pool.by_service.setdefault(upstream.entry.service, {})
    same_service[upstream.name] = upstream


def _find_precedence(upstream: Upstream) -> tuple[int, str]:
    """Return the sort key of upstreams that have the same cookie.

    It is the same on all instances.  The upstream that started first may have
    open flows, which the cookie has to lead to.
    """
    return upstream.entry.born, upstream.name
