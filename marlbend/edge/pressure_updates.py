"""Exchange the pressures of services in contention with other instances."""

from collections.abc import Iterable

from marlbend.steering.placement.method import keeps_estimates
from marlbend.steering.placement.pressures import (
    describe_pressures,
    merge_pressure,
)
from marlbend.steering.state import Steering
from marlbend.wire.heartbeats import PressureUpdate

__all__ = ('list_pressures', 'merge_pressures')


def list_pressures(
    steering: Steering, now: float
) -> tuple[PressureUpdate, ...]:
    """Return the pressures for a heartbeat, none unless estimates are kept."""
    if not keeps_estimates(steering):
        return ()
    return tuple(describe_pressures(steering.estimates.admission, now))


def merge_pressures(
    steering: Steering, updates: Iterable[PressureUpdate], now: float
) -> None:
    """Merge the pressures of a heartbeat, none unless estimates are kept."""
    if keeps_estimates(steering):
        for update in updates:
            merge_pressure(steering.estimates.admission, update, now)
