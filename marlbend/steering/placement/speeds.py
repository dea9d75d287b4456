"""Estimate how much slower than expected each upstream serves requests.

Designed for upstreams that turn several times slower for some seconds.
"""

import math
from collections.abc import Iterable, Iterator
from typing import Final, Protocol, final

__all__ = (
    'REPORT_MAX_AGE_SECONDS',
    'Speed',
    'SpeedReport',
    'add_pending',
    'describe_speed',
    'find_slowdown',
    'list_recent_reports',
    'record_speed',
)

# The weight of samples decays exponentially: it halves in this time.
SAMPLE_HALF_LIFE_SECONDS: Final = 3.0
# Besides the samples, this many count that took the expected time, so that one
# slow request in a heavy tail does not make an upstream look slow.
EXPECTED_SAMPLES: Final = 4.0
# The ratio of one sample is between its inverse and this.
MAX_SAMPLE_RATIO: Final = 7.0
MAX_SAMPLE_LOG: Final = math.log(MAX_SAMPLE_RATIO)
MIN_SLOWDOWN: Final = 0.25
MAX_SLOWDOWN: Final = 16.0
# Reports of other instances are used up to this age.
REPORT_MAX_AGE_SECONDS: Final = 3.0
# More samples of one report than this count as this many.
MAX_REPORTED: Final = 100.0


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
        self.updated_at = -math.inf


class SpeedReport(Protocol):
    """Describe the fields of `PeerReport` that report a speed."""

    received_at: float
    slowdown: float
    samples: float


def record_speed(
    speed: Speed, seconds: float, expected: float, now: float
) -> None:
    """Add a request that took `seconds` instead of the `expected` time."""
    if expected > 0:
        ratio = max(seconds / expected, 1 / MAX_SAMPLE_RATIO)
        _add_sample(speed, math.log(ratio), now)


def add_pending(
    speed: Speed, pending: Iterable[tuple[float, float]], now: float
) -> Speed:
    """Return a speed that also counts requests in progress.

    `pending` holds the age and the expected seconds of each.  A request that
    is older than expected counts as a sample of its age, which it takes at
    least; others show nothing yet.  Requests that may wait in a queue are to be
    left out.  The speed itself does not change, and is returned if there is
    nothing to add.
    """
    overdue = [
        math.log(age / expected)
        for age, expected in pending
        if 0 < expected < age
    ]
    if not overdue:
        return speed
    combined = Speed()
    combined.log_ratio = speed.log_ratio
    combined.weight = speed.weight
    combined.updated_at = speed.updated_at
    for log_ratio in overdue:
        _add_sample(combined, log_ratio, now)
    return combined


def describe_speed(speed: Speed, now: float) -> tuple[float, float]:
    """Return the mean ratio and the number of samples, for other instances.

    The ratio is not shrunk, as the receiver shrinks the sum of all reports.
    """
    return math.exp(speed.log_ratio), _find_weight(speed, now)


def list_recent_reports(
    reports: Iterable[SpeedReport], now: float
) -> Iterator[tuple[float, float]]:
    """Yield the slowdown and the number of samples of each recent report."""
    for report in reports:
        if report.samples and now - report.received_at < REPORT_MAX_AGE_SECONDS:
            yield report.slowdown, report.samples


def find_slowdown(
    speed: Speed, reports: Iterable[tuple[float, float]], now: float
) -> float:
    """Return the time that requests take, as a multiple of the expected one.

    `reports` holds the slowdown and the number of samples of other instances.
    """
    weight = _find_weight(speed, now)
    weighted_logs = weight * speed.log_ratio
    for slowdown, samples in reports:
        if slowdown > 0 and samples > 0:
            counted = samples if samples < MAX_REPORTED else MAX_REPORTED
            weight += counted
            is_normal = MIN_SLOWDOWN <= slowdown <= MAX_SLOWDOWN
            clipped = slowdown if is_normal else _clip(slowdown)
            weighted_logs += counted * math.log(clipped)
    mean_slowdown = math.exp(weighted_logs / (weight + EXPECTED_SAMPLES))
    return _clip(mean_slowdown)


def _clip(slowdown: float) -> float:
    return min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)


def _add_sample(speed: Speed, log_ratio: float, now: float) -> None:
    clipped = min(log_ratio, MAX_SAMPLE_LOG)
    weight = _find_weight(speed, now)
    speed.weight = weight + 1
    speed.log_ratio += (clipped - speed.log_ratio) / speed.weight
    speed.updated_at = now


def _find_weight(speed: Speed, now: float) -> float:
    return speed.weight * _find_decay(now - speed.updated_at)


def _find_decay(age: float) -> float:
    return math.exp2(-max(age, 0) / SAMPLE_HALF_LIFE_SECONDS)
