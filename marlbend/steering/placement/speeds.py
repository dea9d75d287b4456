"""Estimate how much slower than expected each upstream serves requests.

Designed for upstreams that turn several times slower for some seconds.
"""

from collections.abc import Iterable
from typing import final

__all__ = ('Speed', 'find_slowdown', 'record_speed')


@final
class Speed:
    """Hold the weighted mean of the logarithm of observed over expected time.

    `weight` is the number of samples, which decays, as of `updated_at`.
    """

    __slots__ = ('log_ratio', 'updated_at', 'weight')

    def __init__(self) -> None:
        """Initialize without a sample."""
        self.log_ratio: float = 0
        self.weight: float = 0
        self.updated_at: float = 0


def record_speed(
    speed: Speed, seconds: float, expected: float, now: float
) -> None:
    """Add a request that took `seconds` instead of the `expected` time."""


def find_slowdown(
    speed: Speed, reports: Iterable[tuple[float, float]], now: float
) -> float:
    """Return the time that requests take, as a multiple of the expected one.

    `reports` holds the slowdown and the number of samples of other instances.
    """
    return 1
