"""Estimate the work that a flow of a route brings.

Designed for admission control in an overload, when the measured service times
include waits in queues, see `marlbend.steering.placement.queue_waits`.
"""

from typing import Final

from marlbend.steering.placement.flow_lengths import requests_per_flow
from marlbend.steering.placement.queue_waits import record_excess
from marlbend.steering.placement.service_times import (
    expected_seconds,
    is_measured,
    seconds_by_quantile,
)
from marlbend.steering.state import Steering

__all__ = ('find_flow_seconds', 'record_wait')

# The quickest requests of a route hardly wait, also where most others do.
QUICK_QUANTILE: Final = 0.1


def find_flow_seconds(
    steering: Steering, endpoint: bytes, service: str
) -> float:
    """Return the expected time of all requests of a flow, without waits."""
    estimates = steering.estimates
    seconds = expected_seconds(estimates.service_times, endpoint)
    load = estimates.load_by_service.get(service)
    if load is not None and load.queue_wait.seconds:
        recorded = load.queue_wait.excess_by_endpoint.get(endpoint)
        excess = recorded[0] if recorded else _find_excess(steering, endpoint)
        seconds -= min(excess, load.queue_wait.seconds)
    return seconds * requests_per_flow(estimates.flow_lengths, endpoint)


def record_wait(steering: Steering, endpoint: bytes, service: str) -> None:
    """Update the wait of a service after a request of a route was measured."""
    estimates = steering.estimates
    load = estimates.load_by_service.get(service)
    if load is not None and is_measured(estimates.service_times, endpoint):
        excess = _find_excess(steering, endpoint)
        record_excess(load.queue_wait, endpoint, excess, steering.now)


def _find_excess(steering: Steering, endpoint: bytes) -> float:
    """Return by how much the mean exceeds the quick requests of a route."""
    times = steering.estimates.service_times
    quick = seconds_by_quantile(times, endpoint, (QUICK_QUANTILE,))
    seconds = expected_seconds(times, endpoint)
    return max(seconds - quick.get(QUICK_QUANTILE, seconds), 0)
