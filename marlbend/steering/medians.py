"""Estimate the median of a stream of samples, with one number of state."""

from typing import Final

__all__ = ('STEP', 'update_median')

# The share of the estimate by which each sample moves it.
STEP: Final = 0.05


def update_median(median: float, sample: float, step: float = STEP) -> float:
    """Return an estimate of the median, moved towards a new sample."""
    if sample > median:
        return median * (1 + step)
    return median * (1 - step)
