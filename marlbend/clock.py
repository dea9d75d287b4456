"""Read the clocks: a steady clock for decisions, wall time for reports."""

import time

__all__ = ('steady_seconds', 'wall_seconds')


def steady_seconds() -> float:
    """Return the seconds since boot, including time spent suspended.

    Wall time may jump.  CLOCK_MONOTONIC stops while a machine is suspended,
    but what an instance knows becomes stale during that time, too.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def wall_seconds() -> float:
    """Return the seconds since the epoch, which may jump in either direction.

    It is used for log lines, incarnations and the time until an address may
    be reused; steering does not depend on it.  Callers look it up in this
    module at each call, so that a test can replace it.
    """
    return time.time()
