"""Reject new flows whose request would miss its target latency.

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

__all__ = ('has_free_slot', 'is_overloaded', 'record_service_time')

# The share of the target latency that the requests queued at an upstream may
# take.  At this share most requests meet the target; a smaller one would reject
# flows in short bursts, which a queue absorbs.
QUEUE_SHARE: Final = 0.8
# An upstream with fewer requests per slot is never overloaded.
MIN_OVERLOAD_PER_SLOT: Final = 1.25
# Each step of priority above the lowest of the service raises the limit by
# this share.
PRIORITY_SHARE: Final = 0.5
# Estimates from fewer requests are not used.
MIN_REQUESTS: Final = 8


def is_overloaded(
    steering: Steering,
    spec: RouteSpec,
    upstream: Upstream,
) -> bool:
    """Return whether a request of a route would miss its target latency.

    Routes of the same priority share one limit per service.  With a limit for
    each route, the route with the lowest one would be starved by the others
    for as long as the overload lasts.
    """
    service = upstream.entry.service
    request_times = steering.estimates.request_times_by_service.get(service)
    if request_times is None or request_times.requests < MIN_REQUESTS:
        return False
    lowest = steering.routes.lowest_priority_by_service.get(service, 0)
    priority_steps = max(lowest - spec.priority, 0)
    queue_share = QUEUE_SHARE * (1 + PRIORITY_SHARE * priority_steps)
    limit_per_slot = max(
        queue_share
        * request_times.target_seconds
        / request_times.service_seconds,
        MIN_OVERLOAD_PER_SLOT,
    )
    busy = count_busy(upstream, steering.now)
    return busy >= limit_per_slot * upstream.entry.slots


def has_free_slot(upstream: Upstream, now: float) -> bool:
    """Return whether an upstream serves its latest request without queueing."""
    return count_busy(upstream, now) <= upstream.entry.slots


def record_service_time(
    steering: Steering,
    spec: RouteSpec,
    service: str,
    seconds: float,
) -> None:
    """Update the estimates with a request that did not wait in a queue.

    Both estimates are medians: of the service times, and of the target
    latencies of the requests that arrive.
    """
    if not spec.target_seconds:
        return
    request_times = steering.estimates.request_times_by_service.setdefault(
        service, RequestTimes()
    )
    request_times.requests += 1
    if request_times.requests == 1:
        request_times.service_seconds = seconds
        request_times.target_seconds = spec.target_seconds
    request_times.service_seconds = update_median(
        request_times.service_seconds, seconds
    )
    request_times.target_seconds = update_median(
        request_times.target_seconds, spec.target_seconds
    )
