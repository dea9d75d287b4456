"""Follow the median of what comes, with one number of state."""

from typing import Final

__all__ = ('update_median',)

# An estimate moves by this share of itself with each value.
STEP: Final = 0.05


def update_median(median: float, found: float) -> float:
    """Return an estimate of the median, moved towards a value."""
    if found > median:
        return median * (1 + STEP)
    return median * (1 - STEP)
