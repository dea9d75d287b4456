"""Estimate what the open flows of each service bring.

Designed for long flows with pauses, whose idle flows bring requests at a rate
that differs by service, and for a former release, which reports its requests
without their routes.
"""

from math import exp2
from typing import Final, final

from marlbend.steering.placement.queue_waits import QueueWait
from marlbend.steering.placement.service_times import DEFAULT_SERVICE_SECONDS

__all__ = (
    'DEFAULT_IDLE_SHARE',
    'ServiceLoad',
    'compute_idle_share',
    'record_busy_time',
    'record_idle_time',
    'record_request_cost',
)

# Equal to `IDLE_FLOW_LOAD` of `choice`, which cannot be imported here.
DEFAULT_IDLE_SHARE: Final = 0.05
MAX_IDLE_SHARE: Final = 0.5
# The default counts as much as this time of one flow.
DEFAULT_WEIGHT_SECONDS: Final = 10.0
HALF_LIFE_SECONDS: Final = 30.0
# Idle time is added twice a second.  A longer interval is a pause, in which
# the flows were not observed.
MAX_INTERVAL_SECONDS: Final = 2.0
# The mean cost follows about this many of the latest requests.
COST_REQUESTS: Final = 64


@final
class ServiceLoad:
    """Hold how much of their time the flows of a service are busy.

    `idle_seconds` is the time of flows between two requests, and `busy_seconds`
    that of requests on flows that were idle before; both decay as of
    `decayed_at`.  A flow's first request is in neither: it is not brought by an
    idle flow.  `request_seconds` is the mean expected time of recent
    `requests`, and `queue_wait` what they wait at the upstreams.
    """

    __slots__ = (
        'busy_seconds',
        'decayed_at',
        'idle_seconds',
        'queue_wait',
        'request_seconds',
        'requests',
    )

    def __init__(self, now: float) -> None:
        """Initialize without a flow."""
        self.busy_seconds: float = 0
        self.idle_seconds: float = 0
        self.decayed_at = now
        self.request_seconds = DEFAULT_SERVICE_SECONDS
        self.requests = 0
        self.queue_wait = QueueWait()


def record_idle_time(load: ServiceLoad, flows: int, now: float) -> None:
    """Add the time since the last call for a number of idle flows."""
    seconds = min(max(now - load.decayed_at, 0), MAX_INTERVAL_SECONDS)
    load.decayed_at = now
    remaining = exp2(-seconds / HALF_LIFE_SECONDS)
    load.busy_seconds *= remaining
    load.idle_seconds = load.idle_seconds * remaining + flows * seconds


def record_busy_time(load: ServiceLoad, seconds: float) -> None:
    """Add the duration of a request on a flow that was idle before it."""
    load.busy_seconds += max(seconds, 0)


def record_request_cost(load: ServiceLoad, expected: float) -> None:
    """Add the expected time of a request that begins."""
    load.requests = min(load.requests + 1, COST_REQUESTS)
    load.request_seconds += (expected - load.request_seconds) / load.requests


def compute_idle_share(load: ServiceLoad) -> float:
    """Return the share of its time in which an idle flow gets busy."""
    busy = load.busy_seconds + DEFAULT_IDLE_SHARE * DEFAULT_WEIGHT_SECONDS
    total = load.busy_seconds + load.idle_seconds + DEFAULT_WEIGHT_SECONDS
    return min(busy / total, MAX_IDLE_SHARE)
