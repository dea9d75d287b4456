"""Read the clocks: the steady one for decisions, the time of day to tell."""

import time

__all__ = ('steady_seconds', 'wall_seconds')


def steady_seconds() -> float:
    """Return seconds that only grow, and that count while suspended.

    The time of day may jump, and the monotonic clock stands still while a
    machine is suspended, when what it believes grows old all the same.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_seconds() -> float:
    """Return the time of day in seconds, which may jump either way.

    No decision goes by it.  It is looked up in this module at each call, so
    that a test can put another function in its place.
    """
    return time.time()
