"""Remember when a flow of each route was last admitted.

Designed for a service whose routes have different targets: the routes with
longer ones would fill the queues up to theirs, and starve the others.
"""

import math
from typing import Final, final

__all__ = ('RouteActivity', 'record_admitted_route', 'was_route_admitted')

# Above this number the route without a flow for the longest time is removed.
MAX_ROUTES: Final = 256
ADMITTED_SECONDS: Final = 1.0


@final
class RouteActivity:
    """Hold when a flow of each route was last admitted, the latest one last."""

    __slots__ = ('admitted_at_by_endpoint',)

    def __init__(self) -> None:
        """Initialize without a route."""
        self.admitted_at_by_endpoint: dict[bytes, float] = {}


def record_admitted_route(
    activity: RouteActivity, endpoint: bytes, now: float
) -> None:
    """Record that a flow of a route was admitted."""
    by_endpoint = activity.admitted_at_by_endpoint
    by_endpoint.pop(endpoint, None)
    by_endpoint[endpoint] = now
    if len(by_endpoint) > MAX_ROUTES:
        by_endpoint.pop(next(iter(by_endpoint)))


def was_route_admitted(
    activity: RouteActivity, endpoint: bytes, now: float
) -> bool:
    """Return whether a flow of a route was admitted within the last second."""
    admitted_at = activity.admitted_at_by_endpoint.get(endpoint, -math.inf)
    return now - admitted_at < ADMITTED_SECONDS
