"""Estimate how long requests wait in the queues of a service's upstreams.

Designed for an overload that no instance sees as a whole: it measures requests
as served without queueing while others have filled the slots.  The wait is the
same for all routes, so that a request of 5 ms seems to take half as long as one
of 55 ms, and too few of the cheap ones are admitted.
"""

from typing import Final, final

__all__ = ('QueueWait', 'record_excess')

MAX_ROUTES: Final = 64
# A route whose requests were measured earlier tells nothing of the wait now.
RECENT_SECONDS: Final = 5.0


@final
class QueueWait:
    """Hold how long the requests of a service wait, in `seconds`.

    `excess_by_endpoint` is by how much the mean time of a route exceeds that of
    its quick requests, and when this was recorded; the latest one is last.
    """

    __slots__ = ('excess_by_endpoint', 'seconds')

    def __init__(self) -> None:
        """Initialize without a route."""
        self.excess_by_endpoint: dict[bytes, tuple[float, float]] = {}
        self.seconds: float = 0


def record_excess(
    wait: QueueWait, endpoint: bytes, excess: float, now: float
) -> None:
    """Update the wait: the lowest excess of the routes in use.

    The excess of a route consists of the wait and of how its own times vary.
    """
    by_endpoint = wait.excess_by_endpoint
    by_endpoint.pop(endpoint, None)
    by_endpoint[endpoint] = (excess, now)
    if len(by_endpoint) > MAX_ROUTES:
        by_endpoint.pop(next(iter(by_endpoint)))
    wait.seconds = min(
        seconds
        for seconds, recorded_at in by_endpoint.values()
        if now - recorded_at <= RECENT_SECONDS
    )
