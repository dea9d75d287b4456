"""Refuse new flows whose request would come too late.

Answers the load of a crowd that asks for more than the upstreams bear.  Where
each of them has so much to do that another request would miss its target, a
new flow is reset at once, before any upstream has heard of it: the caller may
come back, and those that are let in are served in time.  Routes of a higher
priority are let in for longer; nothing else tells callers apart.
"""

from typing import Final

from marlbend.steering.documents import RouteSpec
from marlbend.steering.failure_detection import count_busy
from marlbend.steering.medians import follow_median
from marlbend.steering.state import RequestTimes, Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('is_crowded', 'note_work', 'starts_at_once')

# A request waits for those before it.  A queue that takes this share of the
# target keeps most of them inside it; less refuses in short bursts, which a
# queue outlasts.
QUEUE_SHARE: Final = 0.8
# An upstream with less to do for each of its slots is not crowded.
FEWEST_A_SLOT: Final = 1.25
# Each step of priority above the lowest of the service lets in so much more.
PRIORITY_SHARE: Final = 0.5
# Fewer requests say nothing of a service.
KNOWN_REQUESTS: Final = 8


def is_crowded(
    steering: Steering,
    spec: RouteSpec,
    upstream: Upstream,
) -> bool:
    """Tell whether a request of a route would be late at an upstream.

    The bound is one for all routes of a service: the one whose own were the
    lowest would give way to the others for as long as the crowd lasts.
    """
    service = upstream.entry.service
    pace = steering.estimates.request_times_by_service.get(service)
    if pace is None or pace.requests < KNOWN_REQUESTS:
        return False
    lowest = steering.routes.lowest_by_service.get(service, 0)
    steps = max(lowest - spec.priority, 0)
    share = QUEUE_SHARE * (1 + PRIORITY_SHARE * steps)
    bound = max(
        share * pace.target_seconds / pace.service_seconds, FEWEST_A_SLOT
    )
    busy = count_busy(upstream, steering.now)
    return busy >= bound * upstream.entry.slots


def starts_at_once(upstream: Upstream, now: float) -> bool:
    """Tell whether an upstream has a slot free, so that nothing waits."""
    return count_busy(upstream, now) <= upstream.entry.slots


def note_work(
    steering: Steering,
    spec: RouteSpec,
    service: str,
    seconds: float,
) -> None:
    """Take the time of a request that did not wait into the estimates.

    Both are medians, the target that of the requests that come.
    """
    if not spec.target_seconds:
        return
    pace = steering.estimates.request_times_by_service.setdefault(
        service, RequestTimes()
    )
    pace.requests += 1
    if pace.requests == 1:
        pace.service_seconds = seconds
        pace.target_seconds = spec.target_seconds
    pace.service_seconds = follow_median(pace.service_seconds, seconds)
    pace.target_seconds = follow_median(
        pace.target_seconds, spec.target_seconds
    )
