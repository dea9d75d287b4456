"""Collect the figures of one instance."""

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

# Reading the clock and recording cost more than a look-up, so only one
# decision of this many is timed.
SAMPLE_PACKETS: Final = 64

_LOWEST_NANOSECONDS: Final = 100
_HIGHEST_NANOSECONDS: Final = 1_000_000_000
_SIGNIFICANT_DIGITS: Final = 2
_NANOSECONDS_A_MICROSECOND: Final = 1000


@final
class Metrics:
    """Hold the histogram of decision times and the control counters.

    Decision times are nanoseconds from a packet in hand to a packet sent;
    `control_bytes_sent` and `control_bytes_received` count control messages,
    `control_malformed` those that could not be decoded, `control_foreign`
    those of senders that are no instance; `control_seconds` is processor time.
    """

    __slots__ = (
        'control_bytes_received',
        'control_bytes_sent',
        'control_foreign',
        'control_malformed',
        'control_seconds',
        'decisions',
    )

    def __init__(self) -> None:
        """Start at zero."""
        self.control_bytes_sent = 0
        self.control_seconds: float = 0
        self.control_bytes_received = 0
        self.control_malformed = 0
        self.control_foreign = 0
        self.decisions = HdrHistogram(
            _LOWEST_NANOSECONDS,
            _HIGHEST_NANOSECONDS,
            _SIGNIFICANT_DIGITS,
        )

    def decision_us(self, percentile: float) -> float:
        """Return a percentile of the decision time in microseconds."""
        nanoseconds = self.decisions.get_value_at_percentile(percentile)
        return float(nanoseconds) / _NANOSECONDS_A_MICROSECOND


def time_decisions(
    receive: Callable[[bytes], None],
    metrics: Metrics,
) -> Callable[[bytes], None]:
    """Return `receive` with every `SAMPLE_PACKETS`-th call timed."""
    countdown = itertools.cycle(range(SAMPLE_PACKETS))
    read_clock = time.perf_counter_ns

    def receive_sampled(packet: bytes) -> None:
        if next(countdown):
            receive(packet)
            return
        started = read_clock()
        receive(packet)
        metrics.decisions.record_value(read_clock() - started)

    return receive_sampled


def processor_seconds() -> float:
    """Return the processor time this process has used."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
