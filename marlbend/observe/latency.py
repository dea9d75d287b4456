"""Record latencies cheaply; build their histogram only when it is read."""

from typing import TYPE_CHECKING, Final, final

if TYPE_CHECKING:
    from hdrh.histogram import HdrHistogram

__all__ = ('LatencyHistogram',)

_MICROSECONDS_PER_SECOND: Final = 1_000_000
_MAX_MICROSECONDS: Final = 60_000_000
_SIGNIFICANT_DIGITS: Final = 2
# The histogram library is imported at the first scrape or after this many
# values, since importing it at startup makes the start 5% slower.
MAX_PENDING_VALUES: Final = 2_000
PERCENTILES: Final = (50.0, 90.0, 99.0, 99.9)


@final
class LatencyHistogram:
    """Hold latencies in seconds; `total` is their sum.

    Latencies above `_MAX_MICROSECONDS` are included in `total`, but neither
    counted nor included in the percentiles.
    """

    __slots__ = ('_histogram', '_pending', 'total')

    def __init__(self) -> None:
        """Initialize an empty histogram."""
        self._histogram: object = None
        self._pending: list[int] = []
        self.total: float = 0

    def record(self, seconds: float) -> None:
        """Add one latency."""
        self.total += seconds
        self._pending.append(int(seconds * _MICROSECONDS_PER_SECOND))
        if len(self._pending) >= MAX_PENDING_VALUES:
            self._flush_pending()

    def count(self) -> int:
        """Return the number of latencies in the histogram."""
        return int(self._flush_pending().get_total_count())

    def seconds_by_percentile(self) -> dict[float, float]:
        """Return the latency in seconds at each of `PERCENTILES`."""
        histogram = self._flush_pending()
        return {
            percentile: histogram.get_value_at_percentile(percentile)
            / _MICROSECONDS_PER_SECOND
            for percentile in PERCENTILES
        }

    def _flush_pending(self) -> 'HdrHistogram':
        from hdrh.histogram import HdrHistogram

        histogram = self._histogram
        if not isinstance(histogram, HdrHistogram):
            histogram = HdrHistogram(1, _MAX_MICROSECONDS, _SIGNIFICANT_DIGITS)
            self._histogram = histogram
        for microseconds in self._pending:
            histogram.record_value(max(microseconds, 1))
        self._pending.clear()
        return histogram
