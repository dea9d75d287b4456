"""Estimate how many requests a flow of each route brings.

Designed for an overload in which some routes bring one request a flow and
others many: a flow that is admitted cannot be refused later, so admission
control has to know what it is going to bring.

A flow is counted with its first request that this instance sees.  If its record
was lost meanwhile, it counts as two shorter flows, so the estimate is rather
too low than too high.
"""

from math import exp2
from typing import Final, final

__all__ = (
    'MAX_REQUESTS_PER_FLOW',
    'MAX_ROUTES',
    'MIN_FLOWS',
    'FlowLength',
    'FlowLengths',
    'record_flow',
    'record_request',
    'requests_per_flow',
)

MAX_ROUTES: Final = 256
# With fewer flows, a flow of the route counts as one request.
MIN_FLOWS: Final = 8
MAX_REQUESTS_PER_FLOW: Final = 64
COUNT_HALF_LIFE_SECONDS: Final = 30.0
# Decay leaves the counts the weight of this many flows, so that the estimate
# outlasts a pause, and requests of flows that never end are still counted.
KEPT_FLOWS: Final = 16


@final
class FlowLength:
    """Hold the decayed numbers of flows and requests, as of `updated_at`."""

    __slots__ = ('flows', 'requests', 'updated_at')

    def __init__(self, now: float) -> None:
        """Initialize without a flow."""
        self.flows: float = 0
        self.requests: float = 0
        self.updated_at = now


@final
class FlowLengths:
    """Hold the counts of each route; the route with the latest flow is last."""

    __slots__ = ('by_endpoint',)

    def __init__(self) -> None:
        """Initialize without a route."""
        self.by_endpoint: dict[bytes, FlowLength] = {}


def record_flow(lengths: FlowLengths, endpoint: bytes, now: float) -> None:
    """Count a flow; its first request is recorded apart."""
    length = lengths.by_endpoint.pop(endpoint, None)
    if length is None:
        length = FlowLength(now)
        if len(lengths.by_endpoint) >= MAX_ROUTES:
            lengths.by_endpoint.pop(next(iter(lengths.by_endpoint)))
    lengths.by_endpoint[endpoint] = length
    _decay(length, now)
    length.flows += 1


def record_request(lengths: FlowLengths, endpoint: bytes, now: float) -> None:
    """Count a request; ignore it if the route was evicted since its flow."""
    length = lengths.by_endpoint.get(endpoint)
    if length is not None:
        _decay(length, now)
        length.requests = min(
            length.requests + 1, length.flows * MAX_REQUESTS_PER_FLOW
        )


def requests_per_flow(lengths: FlowLengths, endpoint: bytes) -> float:
    """Return the mean number of requests that a flow of a route brings.

    Flows and requests decay alike, so the result does not depend on the time.
    """
    length = lengths.by_endpoint.get(endpoint)
    if length is None or length.flows < MIN_FLOWS:
        return 1
    return min(max(length.requests / length.flows, 1), MAX_REQUESTS_PER_FLOW)


def _decay(length: FlowLength, now: float) -> None:
    seconds = max(now - length.updated_at, 0)
    length.updated_at = max(now, length.updated_at)
    if length.flows > KEPT_FLOWS:
        remaining = max(
            exp2(-seconds / COUNT_HALF_LIFE_SECONDS), KEPT_FLOWS / length.flows
        )
        length.flows *= remaining
        length.requests *= remaining
