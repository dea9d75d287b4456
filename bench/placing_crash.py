"""Crash a share of the simulated upstreams, and bring them back.

The instances get no message of either, and registrations stay as they are.
"""

from functools import partial
from random import Random
from typing import Final

from bench.events import schedule
from bench.placing import SimulatedUpstream
from bench.placing_callers import Callers

__all__ = ('schedule_crash',)

CRASH_SECONDS: Final = 6.0


def schedule_crash(
    callers: Callers, share: float, seed: int, seconds: float
) -> None:
    """Let a share of the upstreams crash in the middle of a run."""
    names = tuple(callers.upstream_by_name)
    crashing = Random(seed).sample(names, round(share * len(names)))
    crash_at = max((seconds - CRASH_SECONDS) / 2, 0)
    schedule(callers.fleet, crash_at, partial(_crash, callers, crashing))
    return_at = crash_at + CRASH_SECONDS
    schedule(callers.fleet, return_at, partial(_return, callers, crashing))


def _crash(callers: Callers, names: list[str]) -> None:
    for name in names:
        callers.upstream_by_name[name].is_gone = True


def _return(callers: Callers, names: list[str]) -> None:
    """Replace upstreams by ones without flows and requests."""
    for name in names:
        callers.upstream_by_name[name] = SimulatedUpstream()
