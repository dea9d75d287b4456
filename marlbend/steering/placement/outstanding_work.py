"""Estimate the seconds of work that each upstream still has to do.

Designed for requests of unlike cost, which a count of requests hides, and for
many instances that know of each other's requests from heartbeats only.
"""

from marlbend.steering.failure_detection import count_busy
from marlbend.steering.placement.service_times import DEFAULT_SERVICE_SECONDS
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('own_work', 'total_work')


def own_work(steering: Steering, upstream: Upstream) -> float:
    """Return the remaining seconds of this instance's requests in progress."""
    return upstream.busy * DEFAULT_SERVICE_SECONDS


def total_work(steering: Steering, upstream: Upstream) -> float:
    """Return the remaining seconds of all known requests in progress."""
    return count_busy(upstream, steering.now) * DEFAULT_SERVICE_SECONDS
