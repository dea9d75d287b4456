"""Collect the metrics of one instance."""

import itertools
import resource
import time
from collections.abc import Callable
from typing import Final, final

from hdrh.histogram import HdrHistogram

__all__ = (
    'Metrics',
    'processor_seconds',
    'time_decisions',
)

# Reading the clock and recording the time cost more than a lookup, so only one
# decision out of this many is timed.
PACKETS_PER_SAMPLE: Final = 64

_MIN_NANOSECONDS: Final = 100
_MAX_NANOSECONDS: Final = 1_000_000_000
_SIGNIFICANT_DIGITS: Final = 2
_NANOSECONDS_PER_MICROSECOND: Final = 1000


@final
class Metrics:
    """Hold the histogram of decision times and the control message counters.

    `decision_times` is in nanoseconds, from the receipt of a packet until it is
    sent; longer times than `_MAX_NANOSECONDS` are not recorded.
    `control_bytes_sent` and `control_bytes_received` count the bytes of
    control messages, `control_malformed` the messages that could not be
    decoded, and `control_foreign` those whose sender is not an instance.
    `control_seconds` is CPU time.
    """

    __slots__ = (
        'control_bytes_received',
        'control_bytes_sent',
        'control_foreign',
        'control_malformed',
        'control_seconds',
        'decision_times',
    )

    def __init__(self) -> None:
        """Initialize every counter to zero."""
        self.control_bytes_sent = 0
        self.control_seconds: float = 0
        self.control_bytes_received = 0
        self.control_malformed = 0
        self.control_foreign = 0
        self.decision_times = HdrHistogram(
            _MIN_NANOSECONDS,
            _MAX_NANOSECONDS,
            _SIGNIFICANT_DIGITS,
        )

    def decision_us(self, percentile: float) -> float:
        """Return a percentile of the decision time in microseconds."""
        nanoseconds = self.decision_times.get_value_at_percentile(percentile)
        return float(nanoseconds) / _NANOSECONDS_PER_MICROSECOND


def time_decisions(
    receive: Callable[[bytes], None],
    metrics: Metrics,
) -> Callable[[bytes], None]:
    """Return `receive`, timed once in every `PACKETS_PER_SAMPLE` calls."""
    position = itertools.cycle(range(PACKETS_PER_SAMPLE))
    read_clock = time.perf_counter_ns

    def receive_sampled(packet: bytes) -> None:
        if next(position):
            receive(packet)
            return
        started = read_clock()
        receive(packet)
        metrics.decision_times.record_value(read_clock() - started)

    return receive_sampled


def processor_seconds() -> float:
    """Return the CPU time that this process has used."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
