"""Read the clock that decisions go by."""

import time

__all__ = ('steady_seconds',)


def steady_seconds() -> float:
    """Return seconds that only grow, and that count while suspended.

    The time of day may jump, and the monotonic clock stands still while a
    machine is suspended, when what it believes grows old all the same.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
