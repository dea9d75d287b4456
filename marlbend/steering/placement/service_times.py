"""Estimate how long the requests of each route take to serve.

Designed for routes whose requests cost very different amounts of work, with a
heavy tail.
"""

from typing import Final, final

__all__ = (
    'DEFAULT_SERVICE_SECONDS',
    'MIN_REQUESTS',
    'ServiceTimes',
    'expected_seconds',
    'is_measured',
    'record_service_time',
    'remaining_seconds',
)

# The service time of a route without enough measured requests.
DEFAULT_SERVICE_SECONDS: Final = 0.05
MIN_REQUESTS: Final = 8


@final
class ServiceTimes:
    """Hold the distribution of the service times of each route."""

    __slots__ = ('by_endpoint',)

    def __init__(self) -> None:
        """Initialize without a measured request."""
        self.by_endpoint: dict[bytes, object] = {}


def record_service_time(
    times: ServiceTimes, endpoint: bytes, seconds: float, now: float
) -> None:
    """Add the duration of a request that was served without queueing."""


def is_measured(times: ServiceTimes, endpoint: bytes) -> bool:
    """Return whether enough requests of a route were measured."""
    return endpoint in times.by_endpoint


def expected_seconds(times: ServiceTimes, endpoint: bytes) -> float:
    """Return the mean service time of a route, in seconds."""
    return DEFAULT_SERVICE_SECONDS


def remaining_seconds(
    times: ServiceTimes, endpoint: bytes, age: float
) -> float:
    """Return the expected remaining seconds of a request of some age."""
    return max(DEFAULT_SERVICE_SECONDS - age, 0)
