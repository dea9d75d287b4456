"""Map times on the clocks of other instances to the clock of this one.

Heartbeats tell when the platform last confirmed a revision, as a time on the
clock of the instance that read it, and how long ago that was for the sender.
The age alone is too low by the delay of the heartbeat, at each instance that
passes it on.  The difference between the two clocks is constant but for their
drift, and each heartbeat gives an estimate of it that is too high by its own
delay and those before it.  So the smallest estimate is the best one, and a
delayed heartbeat makes a confirmation look no later than it was, but for the
smallest delay so far.

Designed for links and processes that delay heartbeats for seconds.
"""

from typing import Final, final

__all__ = ('ReaderClocks', 'convert_time')

# An estimate is used for one to two of these, so that drift does not add up:
# clocks that differ by 100 ppm drift by 12 ms in this time.
WINDOW_SECONDS: Final = 60.0
# Each start of an instance has a clock of its own; few instances read the
# platform at the same time.
MAX_CLOCKS: Final = 64


@final
class _ClockOffset:
    """Hold the smallest estimates of this and the previous window."""

    __slots__ = ('current', 'previous', 'window_started_at')

    def __init__(self, estimate: float, now: float) -> None:
        self.current = estimate
        self.previous = estimate
        self.window_started_at = now


@final
class ReaderClocks:
    """Hold the estimated offsets of other clocks from this instance's."""

    __slots__ = ('offset_by_clock',)

    def __init__(self) -> None:
        """Start without estimates."""
        self.offset_by_clock: dict[int, _ClockOffset] = {}


def convert_time(
    clocks: ReaderClocks,
    clock: int,
    moment: float,
    latest: float,
    now: float,
) -> float:
    """Return a time on another clock as a time on this one, in seconds.

    `latest` is the time on this clock as the age in the heartbeat gives it;
    `moment` cannot have been later.
    """
    estimate = latest - moment
    offset = clocks.offset_by_clock.get(clock)
    if offset is None:
        if len(clocks.offset_by_clock) >= MAX_CLOCKS:
            oldest = next(iter(clocks.offset_by_clock))
            clocks.offset_by_clock.pop(oldest)
        offset = _ClockOffset(estimate, now)
        clocks.offset_by_clock[clock] = offset
    elif now - offset.window_started_at > WINDOW_SECONDS:
        offset.previous = offset.current
        offset.current = estimate
        offset.window_started_at = now
    offset.current = min(offset.current, estimate)
    return moment + min(offset.current, offset.previous)
