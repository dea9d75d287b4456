"""Compute when a new request would complete at each candidate upstream.

Designed for requests of unlike cost and for upstreams of unlike speed: a count
of requests in progress tells neither how long the queue takes nor how long the
request itself takes at an upstream.
"""

from typing import Final, final

from marlbend.steering.placement.outstanding_work import total_work
from marlbend.steering.placement.service_times import expected_seconds
from marlbend.steering.placement.speeds import find_slowdown
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
)

# A cold upstream takes about 1.6 times as long for each request.
COLD_SLOWDOWN: Final = 1.6
# The way to another failure domain and back.
REMOTE_SECONDS: Final = 0.0028
# The share of its time in which an open flow has a request in progress, until
# `find_idle_share` of `outstanding_work` measures it for each service.
IDLE_SHARE: Final = 0.05
# Reported slowdowns are used up to this age.
SLOWDOWN_MAX_AGE_SECONDS: Final = 3.0


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
    candidate.slowdown = _find_slowdown(upstream, steering.now)
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
        (backlog + cost_seconds) * _find_slowdown(upstream, steering.now),
        is_cold=upstream.cold_until > steering.now,
        is_remote=_is_remote(steering, upstream),
    )


def find_idle_seconds(steering: Steering, service: str) -> float:
    """Return the work that one idle flow of a service is worth, in seconds.

    It is the share of its time in which a flow has a request in progress, of
    the mean service time of the routes that lead to the service.
    """
    times = steering.estimates.service_times
    seconds = [
        expected_seconds(times, endpoint)
        for endpoint, route in steering.routes.by_endpoint.items()
        if service in route.services
    ]
    return IDLE_SHARE * sum(seconds) / len(seconds) if seconds else 0


def _add_delays(seconds: float, *, is_cold: bool, is_remote: bool) -> float:
    if is_cold:
        seconds *= COLD_SLOWDOWN
    return seconds + REMOTE_SECONDS if is_remote else seconds


def _find_slowdown(upstream: Upstream, now: float) -> float:
    # Reports without a sample would not change the result.
    reports = [
        (report.slowdown, report.samples)
        for report in upstream.report_by_member.values()
        if report.samples
        and now - report.received_at <= SLOWDOWN_MAX_AGE_SECONDS
    ]
    return find_slowdown(upstream.work.speed, reports, now)


def _is_remote(steering: Steering, upstream: Upstream) -> bool:
    return upstream.entry.domain != steering.local_instance.domain
