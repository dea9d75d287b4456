"""Estimate the median of a stream of values, with one number of state."""

from typing import Final

__all__ = ('update_median',)

# The share of the estimate by which each value moves it.
STEP: Final = 0.05


def update_median(median: float, value: float) -> float:
    """Return an estimate of the median, moved towards a new value."""
    if value > median:
        return median * (1 + STEP)
    return median * (1 - STEP)
