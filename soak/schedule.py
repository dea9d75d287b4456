"""Generate the fault schedule of a run from its seed.

Faults come in series that may overlap.  The last seconds have none, so that
the recovery can be checked.
"""

from collections.abc import Iterator, Mapping
from random import Random
from types import MappingProxyType
from typing import Final

import msgspec

__all__ = (
    'FAULT_FREE_SECONDS',
    'RECOVERY_MEASURED_SECONDS',
    'Schedule',
    'Step',
    'draw_schedule',
)

# No fault starts while processes start and discover each other.
STARTUP_SECONDS: Final = 4.0
# The platform's rules, see docs/soak.md, allow 12 s to recover.  Then the
# recovery is measured.
RECOVERY_SECONDS: Final = 12.0
RECOVERY_MEASURED_SECONDS: Final = 4.0
FAULT_FREE_SECONDS: Final = RECOVERY_SECONDS + RECOVERY_MEASURED_SECONDS
SERIES_PER_SECOND: Final = 0.5
MAX_SERIES_STEPS: Final = 3
MAX_GAP_SECONDS: Final = 2.5
MIN_INSTANCES: Final = 3
MAX_INSTANCES: Final = 8
LUCK_BITS: Final = 31

# Shortest and longest duration in seconds, and the weight in random choices.
_KindParameters = tuple[float, float, int]

# The order matters: a seed draws kinds by their position.
KINDS: Final[Mapping[str, _KindParameters]] = MappingProxyType(
    {
        'kill': (0, 0, 3),
        'kill_many': (0, 0, 2),
        'stop': (0, 0, 4),
        'pause': (0.3, 5, 3),
        'reload': (0, 0, 2),
        'move_clock': (1, 6, 1),
        'store_down': (0.5, 6, 2),
        'store_busy': (0.5, 3, 1),
        'store_slow': (1, 5, 1),
        'store_mute': (1, 6, 2),
        'store_forgets': (0, 0, 2),
        'store_lapses': (1, 5, 2),
        'store_away': (1, 6, 4),
        'beats_lost': (1, 5, 2),
        'packets_lost': (0.5, 4, 2),
        'cut_domain': (0.5, 5, 2),
        'cut_one_way': (0.5, 4, 2),
        'crash_upstream': (0, 0, 2),
        'restart_upstream': (0, 0, 1),
        # Never drawn, only in saved schedules: instances can't detect it.
        'restart_unseen': (0, 0, 0),
        # Drawn apart from the others, so that the schedules of earlier seeds
        # stay as they are.
        'store_returns': (0.5, 5, 0),
        'handshakes_lost': (1, 4, 0),
        'slow_upstream': (2, 6, 0),
        'pause_upstream': (0.5, 4, 2),
        'drain_upstream': (5, 7, 3),
        'add_upstream': (4, 8, 3),
        'reuse_address': (3, 5, 1),
        'spoil_entry': (1, 3, 1),
        'crowd': (0.3, 1, 3),
        'publish': (0, 0, 4),
        'publish_storm': (0, 0, 1),
        'take_domain_out': (3, 8, 2),
    }
)


class Step(msgspec.Struct, frozen=True):
    """Describe one fault; `luck` seeds its random choices."""

    at: float
    kind: str
    seconds: float
    luck: int


class Schedule(msgspec.Struct, frozen=True):
    """Describe a run; `seconds` is its length.

    Every release has `idle_routes` routes without traffic beside the others.
    With `places_by_work`, instances place flows by the three methods, and the
    cost of requests differs by route.
    """

    seed: int
    seconds: float
    instances: int
    steps: tuple[Step, ...]
    idle_routes: int = 0
    places_by_work: bool = False


def draw_schedule(
    seed: int,
    seconds: float,
    instances: int = 0,
    *,
    with_returns: bool = False,
    with_lost_handshakes: bool = False,
    with_slow_upstreams: bool = False,
) -> Schedule:
    """Return the schedule of a seed, by default with drawn instances.

    `with_returns` adds a series in which the store comes back from a copy,
    `with_lost_handshakes` one of lost SYN+ACKs that a planned restart follows,
    and `with_slow_upstreams` one of slow upstreams.
    """
    random = Random(seed)
    drawn_instances = random.randint(MIN_INSTANCES, MAX_INSTANCES)
    end = seconds - FAULT_FREE_SECONDS
    series = max(int((end - STARTUP_SECONDS) * SERIES_PER_SECOND), 1)
    steps = [step for _ in range(series) for step in _draw_series(random, end)]
    if with_returns:
        steps.extend(_draw_steps('store_returns', random, end))
    if with_lost_handshakes:
        steps.extend(_draw_steps('handshakes_lost', random, end))
    if with_slow_upstreams:
        steps.extend(_draw_steps('slow_upstream', random, end))
    steps.sort(key=_start_time)
    return Schedule(seed, seconds, instances or drawn_instances, tuple(steps))


def _draw_series(random: Random, end: float) -> Iterator[Step]:
    kind = random.choices(
        tuple(KINDS), [weight for _, _, weight in KINDS.values()]
    )[0]
    yield from _draw_steps(kind, random, end)


def _draw_steps(kind: str, random: Random, end: float) -> Iterator[Step]:
    min_seconds, max_seconds, _ = KINDS[kind]
    at = random.uniform(STARTUP_SECONDS, end)
    for _ in range(random.randint(1, MAX_SERIES_STEPS)):
        seconds = min(random.uniform(min_seconds, max_seconds), end - at)
        yield Step(
            round(at, 2), kind, round(seconds, 2), random.getrandbits(LUCK_BITS)
        )
        at += seconds + random.uniform(0, MAX_GAP_SECONDS)
        if at > end:
            return


def _start_time(step: Step) -> float:
    return step.at
