"""Compute when a new request would complete at each candidate upstream.

Designed for requests of unlike cost and for upstreams of unlike speed: a count
of requests in progress tells neither how long the queue takes nor how long the
request itself takes at an upstream.
"""

from typing import Final, final

from marlbend.steering.placement.outstanding_work import (
    find_idle_share,
    find_request_seconds,
    total_work,
)
from marlbend.steering.placement.speeds import (
    REPORT_MAX_AGE_SECONDS,
    find_slowdown,
    list_recent_reports,
)
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = (
    'COLD_SLOWDOWN',
    'REMOTE_SECONDS',
    'Candidate',
    'expected_completion',
    'find_completion',
    'find_idle_seconds',
    'make_candidate',
    'refresh_slowdowns',
)

# A cold upstream takes about 1.6 times as long for each request.
COLD_SLOWDOWN: Final = 1.6
# What the local domain may take longer, so that a flow stays in it.  The way to
# another domain and back takes 3 ms alone, but flows inside a domain survive a
# partition, and with 3 ms half of them leave it for waits that hardly differ.
REMOTE_SECONDS: Final = 0.03
# An upstream that seems less slow than this counts as usual.  A few requests in
# a heavy tail make it look so.
MIN_SLOWDOWN: Final = 1.3
# Older own samples have less than a thousandth of their weight.
OWN_SAMPLES_SECONDS: Final = 30.0


@final
class Candidate:
    """Hold what is known of an upstream that may get a new flow.

    `work_seconds` is its outstanding work, and `idle_load` what its idle open
    flows are expected to bring, both in seconds without the `slowdown`.
    """

    __slots__ = (
        'idle_load',
        'is_cold',
        'is_remote',
        'name',
        'slots',
        'slowdown',
        'work_seconds',
    )

    def __init__(self, name: str, slots: int) -> None:
        """Initialize as an idle warm upstream of the local domain."""
        self.name = name
        self.slots = slots
        self.work_seconds: float = 0
        self.idle_load: float = 0
        self.slowdown: float = 1
        self.is_cold = False
        self.is_remote = False


def make_candidate(
    steering: Steering, upstream: Upstream, idle_seconds: float
) -> Candidate:
    """Return what is known of an upstream now.

    `idle_seconds` is the work that one idle flow of the service is worth.
    """
    candidate = Candidate(upstream.name, upstream.entry.slots)
    candidate.work_seconds = total_work(steering, upstream)
    candidate.idle_load = max(upstream.flows - upstream.busy, 0) * idle_seconds
    candidate.slowdown = upstream.work.slowdown
    candidate.is_cold = upstream.cold_until > steering.now
    candidate.is_remote = _is_remote(steering, upstream)
    return candidate


def expected_completion(candidate: Candidate, cost_seconds: float) -> float:
    """Return the seconds until a request of some cost would be complete."""
    backlog = (candidate.work_seconds + candidate.idle_load) / candidate.slots
    return _add_delays(
        (backlog + cost_seconds) * candidate.slowdown,
        is_cold=candidate.is_cold,
        is_remote=candidate.is_remote,
    )


def find_completion(
    steering: Steering,
    upstream: Upstream,
    cost_seconds: float,
    idle_seconds: float,
) -> float:
    """Return the expected completion at an upstream without a `Candidate`.

    A choice compares all upstreams of a service, and building an object for
    each of them would take a tenth of its processor time.
    """
    idle = max(upstream.flows - upstream.busy, 0)
    work_seconds = total_work(steering, upstream) + idle * idle_seconds
    backlog = work_seconds / upstream.entry.slots
    return _add_delays(
        (backlog + cost_seconds) * upstream.work.slowdown,
        is_cold=upstream.cold_until > steering.now,
        is_remote=_is_remote(steering, upstream),
    )


def find_idle_seconds(steering: Steering, service: str) -> float:
    """Return the work that one idle flow of a service is worth, in seconds.

    It is the share of its time in which a flow has a request in progress, of
    the mean service time of the service's requests.
    """
    seconds = find_request_seconds(steering, service)
    return find_idle_share(steering, service) * seconds


def refresh_slowdowns(steering: Steering) -> None:
    """Compute how slow each upstream is, for the choices until the next call.

    It takes ten times as long as the rest of an estimate, so a choice does not.
    An upstream without recent samples is skipped: it takes 8 us with ten
    reports, and a fleet may have 110,000.
    """
    now = steering.now
    for upstream in steering.pool.by_name.values():
        if not _has_samples(upstream, now):
            upstream.work.slowdown = 1
            continue
        reports = list_recent_reports(upstream.reports.by_member.values(), now)
        slowdown = find_slowdown(upstream.work.speed, reports, now)
        upstream.work.slowdown = slowdown if slowdown > MIN_SLOWDOWN else 1


def _has_samples(upstream: Upstream, now: float) -> bool:
    if now - upstream.reports.sampled_at < REPORT_MAX_AGE_SECONDS:
        return True
    return now - upstream.work.speed.updated_at < OWN_SAMPLES_SECONDS


def _add_delays(seconds: float, *, is_cold: bool, is_remote: bool) -> float:
    if is_cold:
        seconds *= COLD_SLOWDOWN
    return seconds + REMOTE_SECONDS if is_remote else seconds


def _is_remote(steering: Steering, upstream: Upstream) -> bool:
    return upstream.entry.domain != steering.local_instance.domain
