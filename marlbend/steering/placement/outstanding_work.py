"""Estimate the seconds of work that each upstream still has to do.

Designed for requests of unlike cost, which a count of requests hides, and for
many instances that know of each other's requests from heartbeats only.

Requests are tracked only while estimates are kept, and up to a number for
each upstream.  The setting may change at run time, too, so a flow may be busy
without a tracked request; it counts as a whole request of its service.
"""

from collections import Counter
from typing import Final

from marlbend.steering.failure_detection import count_busy
from marlbend.steering.placement.method import keeps_estimates
from marlbend.steering.placement.service_loads import (
    DEFAULT_IDLE_SHARE,
    ServiceLoad,
    compute_idle_share,
    record_busy_time,
    record_idle_time,
    record_request_cost,
)
from marlbend.steering.placement.service_times import (
    DEFAULT_SERVICE_SECONDS,
    expected_seconds,
    remaining_seconds,
)
from marlbend.steering.reports import OBSERVATION_MAX_AGE_SECONDS, sum_work
from marlbend.steering.state import Flow, Steering
from marlbend.steering.upstreams import Request, Upstream

__all__ = (
    'MAX_REQUESTS',
    'NOT_STARTED',
    'begin_request',
    'end_request',
    'find_idle_share',
    'find_request_seconds',
    'move_request',
    'own_work',
    'record_idle_flows',
    'restart_request',
    'total_work',
)

# The start of the request of a flow of which only the SYN was seen.
NOT_STARTED: Final = float('inf')
# How many requests are tracked for an upstream.
MAX_REQUESTS: Final = 128


def own_work(steering: Steering, upstream: Upstream) -> float:
    """Return the remaining seconds of this instance's requests in progress.

    What a request may have waited in the queue of the upstream is no part of
    its age.  In an overload it would otherwise count as one of the heavy tail.
    """
    requests = upstream.work.requests
    if not requests and not upstream.busy:
        return 0
    request_seconds = find_request_seconds(steering, upstream.entry.service)
    work = max(upstream.busy - len(requests), 0) * request_seconds
    times = steering.estimates.service_times
    waited = _count_queued(upstream, steering.now) * request_seconds
    for request in requests:
        age = steering.now - request.started_at - waited
        work += remaining_seconds(
            times, request.endpoint, age if age > 0 else 0
        )
    return work


def total_work(steering: Steering, upstream: Upstream) -> float:
    """Return the remaining seconds of all known requests in progress.

    An older report weighs less, as its requests may be complete.  What was
    heard is not scaled up to the instances that were not heard from: that adds
    noise to the order of the candidates, and leaves the best at zero.
    """
    now = steering.now
    work = own_work(steering, upstream)
    reported, counted = sum_work(upstream.reports, now)
    work += reported
    service = upstream.entry.service
    if counted:
        work += counted * find_request_seconds(steering, service)
    domain_report = upstream.domain_report
    if now - domain_report.received_at < OBSERVATION_MAX_AGE_SECONDS:
        domain_work = domain_report.work_seconds
        if domain_work is None:
            seconds = find_request_seconds(steering, service)
            domain_work = domain_report.busy * seconds
        return max(work, domain_work)
    return work


def find_request_seconds(steering: Steering, service: str) -> float:
    """Return the expected time of the routes, weighted by their requests."""
    load = steering.estimates.load_by_service.get(service)
    return load.request_seconds if load else DEFAULT_SERVICE_SECONDS


def find_idle_share(steering: Steering, service: str) -> float:
    """Return the share of its time in which an idle flow gets busy."""
    load = steering.estimates.load_by_service.get(service)
    return compute_idle_share(load) if load else DEFAULT_IDLE_SHARE


def begin_request(
    steering: Steering, flow: Flow, endpoint: bytes, started_at: float
) -> None:
    """Track the request that a SYN or data of a flow begins.

    Data of a request that has started changes nothing.
    """
    request = flow.request
    requests = flow.upstream.work.requests
    if request is not None:
        request.started_at = min(request.started_at, started_at)
    elif keeps_estimates(steering) and len(requests) < MAX_REQUESTS:
        request = Request(endpoint, started_at)
        request.follows_idle = not flow.is_before_data
        flow.request = request
        requests[request] = None
        record_request_cost(
            _service_load(steering, flow.upstream),
            expected_seconds(steering.estimates.service_times, endpoint),
        )


def restart_request(steering: Steering, flow: Flow) -> None:
    """Track the next request of a flow, sent along with an acknowledgement."""
    if flow.request is not None:
        _record_duration(steering, flow.upstream, flow.request)
        flow.request.started_at = steering.now


def end_request(steering: Steering, flow: Flow) -> None:
    """Stop tracking the request of a flow, if there is one."""
    request = flow.request
    if request is not None:
        flow.request = None
        flow.upstream.work.requests.pop(request, None)
        _record_duration(steering, flow.upstream, request)


def move_request(flow: Flow, upstream: Upstream) -> None:
    """Track the request of a flow at the upstream that it moves to."""
    if flow.request is None:
        return
    flow.upstream.work.requests.pop(flow.request, None)
    if len(upstream.work.requests) < MAX_REQUESTS:
        upstream.work.requests[flow.request] = None
    else:
        flow.request = None


def record_idle_flows(steering: Steering) -> None:
    """Add the time since the last call to that of the idle flows."""
    load_by_service = steering.estimates.load_by_service
    idle_by_service: Counter[str] = Counter()
    for upstream in steering.pool.by_name.values():
        idle = max(upstream.flows - upstream.busy, 0)
        idle_by_service[upstream.entry.service] += idle
    for service, load in load_by_service.items():
        record_idle_time(load, idle_by_service[service], steering.now)


def _record_duration(
    steering: Steering, upstream: Upstream, request: Request
) -> None:
    if request.follows_idle:
        record_busy_time(
            _service_load(steering, upstream),
            steering.now - request.started_at,
        )


def _count_queued(upstream: Upstream, now: float) -> float:
    """Return how many requests wait for each slot, as far as is known."""
    slots = upstream.entry.slots
    return max(count_busy(upstream, now) - slots, 0) / slots


def _service_load(steering: Steering, upstream: Upstream) -> ServiceLoad:
    load_by_service = steering.estimates.load_by_service
    service = upstream.entry.service
    if service not in load_by_service:
        load_by_service[service] = ServiceLoad(steering.now)
    return load_by_service[service]
