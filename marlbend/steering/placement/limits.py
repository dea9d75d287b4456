"""Derive the admitted share of the work from a pressure, which decays.

Designed for more requests than the upstreams can serve in time: the lowest
priority has the whole reduction before the next one has any.
"""

import math
from typing import Final

__all__ = (
    'CONTENTION_PRESSURE',
    'PRESSURE_SLACK',
    'find_highest_pressure',
    'limit_at',
    'pressure_left',
)

# Up to this pressure nothing is refused: an upstream that fails has three short
# responses before it is ejected, and these look shed.
PRESSURE_SLACK: Final = 0.7
# A service is in contention from this pressure on.  Some 3% of usual responses
# are so short that they look shed, and a few in a row exceed the slack.
CONTENTION_PRESSURE: Final = 1.5
# A priority is limited once the pressure is higher by this much than where the
# one below began to be limited, whose share is then at its minimum.
PRESSURE_PER_STEP: Final = 5.5
# With 0.02 and three tries, five times the capacity still brings a sixth of it
# in flows of the lowest priority while higher ones are refused.
MIN_LIMIT: Final = 0.005
# The pressure halves in the first time while upstreams shed, and in the second
# one after some time without.  Of 88 instances, each sees few responses of a
# small service: with a first time of 2 s it forgets too much between them, and
# 20% instead of 12% of the tries are shed.
PRESSURE_HALF_LIFE_SECONDS: Final = 5.0
RECOVERY_HALF_LIFE_SECONDS: Final = 1.0
RECOVERY_DELAY_SECONDS: Final = 2.0


def limit_at(pressure: float, priority_steps: int) -> float:
    """Return the share of the work of a priority that is admitted."""
    excess = pressure - PRESSURE_SLACK - priority_steps * PRESSURE_PER_STEP
    return max(math.exp(-max(excess, 0)), MIN_LIMIT)


def find_highest_pressure(steps: int) -> float:
    """Return the pressure at which a priority has its lowest limit."""
    return PRESSURE_SLACK + steps * PRESSURE_PER_STEP - math.log(MIN_LIMIT)


def pressure_left(updated_at: float, shed_at: float, now: float) -> float:
    """Return the share of a pressure that is left after its decay."""
    recovers_at = max(shed_at + RECOVERY_DELAY_SECONDS, updated_at)
    slow_seconds = max(min(now, recovers_at) - updated_at, 0)
    fast_seconds = max(now - recovers_at, 0)
    return math.exp2(
        -slow_seconds / PRESSURE_HALF_LIFE_SECONDS
        - fast_seconds / RECOVERY_HALF_LIFE_SECONDS
    )
