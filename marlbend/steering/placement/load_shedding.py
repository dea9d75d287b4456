"""Refuse new flows whose request would miss its target latency.

Designed for overload, where callers request more than the capacity of the
upstreams.  Where even the least loaded upstream has so many requests in
progress that another one would miss its target, a new flow is reset at once,
before any packet of it was forwarded: the caller may retry, and the flows that
are accepted are served in time.  Routes of a higher priority are accepted up
to a higher load; callers are treated alike otherwise.
"""

from typing import Final

from marlbend.steering.documents import RouteSpec
from marlbend.steering.failure_detection import count_busy
from marlbend.steering.medians import update_median
from marlbend.steering.state import RequestTimes, Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('is_overloaded', 'is_unqueued', 'record_service_time')

# The share of the target latency that it may take to serve all requests in
# progress at an upstream, the queued ones included.  At this share most of them
# meet the target; a smaller one would refuse flows in short bursts, which a
# queue absorbs.
TARGET_SHARE: Final = 0.8
# An upstream with fewer requests per slot is never overloaded.
MIN_OVERLOAD_PER_SLOT: Final = 1.25
# Each step of priority above the lowest of the service raises the limit by
# this share.
PRIORITY_SHARE: Final = 0.5
# A request and its response may be read in one batch, which has one time; with
# a median of zero, limits could not be computed.
MIN_SERVICE_SECONDS: Final = 0.001
# Estimates from fewer requests are not used.
MIN_REQUESTS: Final = 8


def is_overloaded(
    steering: Steering,
    spec: RouteSpec,
    upstream: Upstream,
) -> bool:
    """Return whether an upstream exceeds its service's limit for a priority.

    Above the limit, a further request would probably miss the median target
    latency of the service.  Routes of the same priority share one limit per
    service, also those without a target latency of their own; without any
    target in the service there is no limit.  With a limit for each route, the
    route with the lowest one would be starved by the others for as long as the
    overload lasts.
    """
    service = upstream.entry.service
    request_times = steering.estimates.request_times_by_service.get(service)
    if request_times is None or request_times.requests < MIN_REQUESTS:
        return False
    lowest = steering.routes.lowest_priority_by_service.get(service, 0)
    priority_steps = max(lowest - spec.priority, 0)
    target_share = TARGET_SHARE * (1 + PRIORITY_SHARE * priority_steps)
    limit_per_slot = max(
        target_share
        * request_times.target_seconds
        / request_times.service_seconds,
        MIN_OVERLOAD_PER_SLOT,
    )
    busy = count_busy(upstream, steering.now)
    return busy >= limit_per_slot * upstream.entry.slots


def is_unqueued(upstream: Upstream, now: float) -> bool:
    """Return whether an upstream serves its latest request without queueing.

    That request is among those counted as in progress.
    """
    return count_busy(upstream, now) <= upstream.entry.slots


def record_service_time(
    steering: Steering,
    spec: RouteSpec,
    service: str,
    seconds: float,
) -> None:
    """Update the estimates with a request that did not wait in a queue.

    Both estimates are medians: of the service times, and of the target
    latencies.  Requests of a route without a target latency are not measured.
    """
    if not spec.target_seconds:
        return
    request_times = steering.estimates.request_times_by_service.setdefault(
        service, RequestTimes()
    )
    request_times.requests += 1
    seconds = max(seconds, MIN_SERVICE_SECONDS)
    if request_times.requests == 1:
        request_times.service_seconds = seconds
        request_times.target_seconds = spec.target_seconds
    request_times.service_seconds = update_median(
        request_times.service_seconds, seconds
    )
    request_times.target_seconds = update_median(
        request_times.target_seconds, spec.target_seconds
    )
