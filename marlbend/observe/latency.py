"""Collect latencies cheaply, and make a histogram of them when one is asked."""

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

__all__ = ('LatencyHistogram',)

_MICROSECONDS: Final = 1_000_000
_HIGHEST_MICROSECONDS: Final = 60_000_000
_SIGNIFICANT_DIGITS: Final = 2
# The histogram is only imported for the first scrape or after so many values:
# the import would slow the start by a twentieth.
PENDING_VALUES: Final = 2_000
PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


@final
class LatencyHistogram:
    """Hold latencies, given in seconds."""

    __slots__ = ('_histogram', '_pending', 'total')

    def __init__(self) -> None:
        """Start without any."""
        self._histogram: object = None
        self._pending: list[int] = []
        self.total: float = 0

    def record(self, seconds: float) -> None:
        """Add one latency."""
        self.total += seconds
        self._pending.append(int(seconds * _MICROSECONDS))
        if len(self._pending) >= PENDING_VALUES:
            self._settle()

    def count(self) -> int:
        """Return how many latencies there were."""
        return int(self._settle().get_total_count())

    def seconds_by_percentile(self) -> dict[float, float]:
        """Return seconds by percentile."""
        histogram = self._settle()
        return {
            percentile: histogram.get_value_at_percentile(percentile)
            / _MICROSECONDS
            for percentile in PERCENTILES
        }

    def _settle(self) -> 'HdrHistogram':
        from hdrh.histogram import HdrHistogram

        histogram = self._histogram
        if not isinstance(histogram, HdrHistogram):
            histogram = HdrHistogram(
                1, _HIGHEST_MICROSECONDS, _SIGNIFICANT_DIGITS
            )
            self._histogram = histogram
        for microseconds in self._pending:
            histogram.record_value(max(microseconds, 1))
        self._pending.clear()
        return histogram
