"""Compare the methods of placement under loads that are hard to place.

All methods get the same arrivals, costs and faults; see
`docs/design/placement.md` for the goals.  There are 30 instances and 60
upstreams for 15 simulated seconds, and half as many of both for `scarce`, which
would take two minutes otherwise: a choice among fewer upstreams is faster, and
there are fewer requests.  `crash` has the numbers, callers and targets of
`scarce`.
"""

import itertools
import math
import statistics
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Set
from functools import partial
from random import Random
from types import MappingProxyType
from typing import Final

import msgspec

from bench.events import draw_arrival_times, run_events, schedule
from bench.placing import (
    DOMAINS,
    LONG_FLOW_REQUESTS,
    MEAN_REQUEST_PAUSE_SECONDS,
    SERVICE,
    SERVICE_TIME_SIGMA,
    SLOTS_PER_UPSTREAM,
    UNMEASURED_SECONDS,
    UPSTREAM_COUNT,
    SimulatedUpstream,
    list_upstream_names,
)
from bench.placing_callers import (
    CallerOutcome,
    CallerRequest,
    CallerRoute,
    Callers,
    Session,
    ask_next,
    connect_callers,
)
from bench.placing_crash import schedule_crash
from bench.placing_fleet import Fleet, restart_instances, start_fleet
from marlbend.steering import RouteSpec
from marlbend.steering.placement.method import PlacementMethod

__all__ = (
    'LOAD_BY_NAME',
    'LoadReport',
    'draw_sessions',
    'play_load',
    'run_load',
)

SIMULATED_SECONDS: Final = 15.0
# Flows that begin this long before the start are open at the start.
EARLY_SECONDS: Final = 5.0
INSTANCE_COUNT: Final = 30
TAIL_SHARE: Final = 0.03
TAIL_FACTOR: Final = 7.0
SLOW_FACTOR: Final = 5.0
SLOW_SECONDS: Final = 6.5
WAVE_SECONDS: Final = 13.0
WAVE_SWING: Final = 0.55
SCARCE_CAPACITY_SHARE: Final = 1.6
SCARCE_TARGET_SECONDS: Final = 0.9
SCARCE_SIZE: Final = 0.5
CRASHING_SHARE: Final = 0.5
# Nine tenths of the capacity that remains during the crash.
CRASH_CAPACITY_SHARE: Final = 0.45
# Each ordinary caller has some 270 requests.  With more callers and fewer
# requests for each, chance would decide who is the worst off.
CALLER_COUNT: Final = 60
EAGER_CALLERS: Final = 3
EAGER_WEIGHT: Final = 10
RESPONSE_BYTES: Final = 3000
SERVICE_ADDRESS: Final = (198, 18, 0, 1)
_MILLISECONDS_PER_SECOND: Final = 1000
_MICROSECONDS_PER_SECOND: Final = 1_000_000
_P99_INDEX: Final = 98
_MEAN_FACTOR: Final = math.exp(SERVICE_TIME_SIGMA**2 / 2)
IN_TIME: Final = frozenset((CallerOutcome.IN_TIME,))
SERVED: Final = frozenset((CallerOutcome.IN_TIME, CallerOutcome.LATE))
REFUSED: Final = frozenset((CallerOutcome.REFUSED,))
# Name, port, priority, whether idempotent, requests of a flow, and then the
# deadline and the mean service time in seconds, and the share of all requests.
_ROUTE_ROWS: Final = (
    ('stream', 443, 2, True, LONG_FLOW_REQUESTS, (3.4, 0.055, 0.7)),
    ('command', 444, 1, False, 1, (4.5, 0.072, 0.2)),
    ('short', 445, 2, False, 1, (4.5, 0.005, 0.1)),
)


class Load(msgspec.Struct, frozen=True):
    """Describe a load.

    `capacity_share` is the work asked for, divided by what the upstreams can
    do, and `size` the share of the full numbers of instances and upstreams.
    `tail_share` of the requests take longer by `TAIL_FACTOR`, `slow_share` of
    the upstreams are slower for a while, and `swing` is that of the demand in
    each failure domain.  `crashing_share` of the upstreams are unreachable for
    a while.  With `is_contended`, some callers ask for more, and the shares of
    each are reported.
    """

    capacity_share: float = 0.7
    target_seconds: float = 0.3
    size: float = 1
    tail_share: float = 0
    slow_share: float = 0
    swing: float = 0
    crashing_share: float = 0
    is_contended: bool = False
    has_restart: bool = False


LOAD_BY_NAME: Final = MappingProxyType(
    {
        'tail': Load(tail_share=TAIL_SHARE),
        'slow': Load(slow_share=1 / 6),
        'wave': Load(swing=WAVE_SWING),
        'scarce': Load(
            SCARCE_CAPACITY_SHARE,
            SCARCE_TARGET_SECONDS,
            SCARCE_SIZE,
            is_contended=True,
        ),
        'restart': Load(has_restart=True),
        'crash': Load(
            CRASH_CAPACITY_SHARE,
            SCARCE_TARGET_SECONDS,
            SCARCE_SIZE,
            crashing_share=CRASHING_SHARE,
            is_contended=True,
        ),
    }
)


class LoadFigures(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report the results of one method.

    Shares are of the requests planned after `UNMEASURED_SECONDS`.
    `in_aim_share` and `served_share` are those answered within the target and
    within the deadline, counted from the first try.  `refused_share` is those
    whose last try was reset by an instance or shed by an upstream.  `p99_ms` is
    a percentile of the time to the response, of the requests that got one.

    `reset_share` and `shed_share` are the tries that an instance reset and that
    an upstream answered with a short response, and `choice_us` is the processor
    time of an instance for each SYN, all three in the whole run.
    `worst_caller_share` is the served share of the worst-off caller divided by
    the mean, among the callers that do not ask for more than others, and
    `worst_domain_share` that of the worst-off failure domain.
    `unanswered_share` is the SYNs that instances sent to an unreachable
    upstream, of all that they sent to upstreams in the whole run.
    """

    in_aim_share: float
    served_share: float
    refused_share: float
    reset_share: float
    shed_share: float
    p99_ms: float
    choice_us: float
    count_by_outcome: dict[str, int]
    in_aim_share_by_priority: dict[int, float] | None = None
    refused_share_by_priority: dict[int, float] | None = None
    worst_caller_share: float | None = None
    unanswered_share: float | None = None
    worst_domain_share: float | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """Report the results of each method for the same load.

    `over_target_share` is the requests whose cost alone exceeds their target:
    they miss it wherever they are placed.
    """

    load: str
    seed: int
    over_target_share: float
    by_method: dict[str, LoadFigures]


async def run_load(name: str, seed: int) -> LoadReport:
    """Play a load with each method."""
    load = LOAD_BY_NAME[name]
    is_over_target = [
        request.cost_seconds > load.target_seconds
        for session in draw_sessions(load, seed, SIMULATED_SECONDS)
        for request in _list_measured(session)
    ]
    return LoadReport(
        name,
        seed,
        round(statistics.mean(is_over_target), 4),
        {
            method.value: play_load(name, seed, placement=method)
            for method in PlacementMethod
        },
    )


def play_load(
    name: str,
    seed: int,
    *,
    placement: PlacementMethod,
    seconds: float = SIMULATED_SECONDS,
) -> LoadFigures:
    """Play a load with one method."""
    load = LOAD_BY_NAME[name]
    sessions = list(draw_sessions(load, seed, seconds))
    callers = _make_callers(load, seed, seconds, placement=placement)
    callers.unsettled = sum(len(each.requests) for each in sessions)
    for session in sessions:
        ask_next(callers, session)
    if load.has_restart:
        restart = partial(restart_instances, callers.fleet)
        schedule(callers.fleet, seconds / 2, restart)
    if load.crashing_share:
        schedule_crash(callers, load.crashing_share, seed, seconds)
    run_events(callers.fleet, math.inf)
    if callers.unsettled:
        raise RuntimeError('a request has no outcome, or more than one')
    return _summarize(load, callers, sessions)


def _make_callers(
    load: Load, seed: int, seconds: float, *, placement: PlacementMethod
) -> Callers:
    """Return the callers of a fleet that is started."""
    names = _list_names(load)
    fleet = Fleet(
        seed,
        tuple(route.spec for route in _list_routes(load)),
        round(INSTANCE_COUNT * load.size),
        names,
        placement=placement,
    )
    start_fleet(fleet)
    callers = Callers(
        fleet,
        make_slowdown(load, seed, seconds),
        {name: SimulatedUpstream() for name in names},
    )
    connect_callers(callers)
    return callers


def _list_names(load: Load) -> tuple[str, ...]:
    return tuple(list_upstream_names())[: round(UPSTREAM_COUNT * load.size)]


def _list_routes(load: Load) -> Iterator[CallerRoute]:
    for name, port, priority, repeatable, requests, times in _ROUTE_ROWS:
        spec = RouteSpec(
            name,
            bytes((*port.to_bytes(2), *SERVICE_ADDRESS)),
            ((SERVICE, 1),),
            repeatable,
            load.target_seconds,
            priority,
        )
        yield CallerRoute(spec, requests, *times)


def make_slowdown(
    load: Load, seed: int, seconds: float
) -> Callable[[str, float], float]:
    """Return a function that tells how much slower an upstream is at a time."""
    names = _list_names(load)
    slow_names = Random(seed).sample(names, round(load.slow_share * len(names)))
    since = (seconds - SLOW_SECONDS) / 2

    def find_slowdown(name: str, now: float) -> float:
        is_slow = name in slow_names and since <= now < since + SLOW_SECONDS
        return SLOW_FACTOR if is_slow else 1

    return find_slowdown


def draw_sessions(load: Load, seed: int, seconds: float) -> Iterator[Session]:
    """Yield the sessions of a load, route by route."""
    random = Random(seed)
    numbers = itertools.count()
    for route in _list_routes(load):
        for at in draw_arrival_times(
            random, _flows_per_second(load, route), EARLY_SECONDS + seconds
        ):
            opened_at = at - EARLY_SECONDS
            domain = random.choice(DOMAINS)
            requests = [
                each
                for each in _draw_requests(random, load, route, opened_at)
                if 0 <= each.planned_at < seconds
            ]
            caller = _draw_caller(random, load)
            if requests and random.random() < _demand(load, domain, opened_at):
                yield Session(next(numbers), caller, route, domain, requests)


def _flows_per_second(load: Load, route: CallerRoute) -> float:
    """Return the rate of flows where demand is at its maximum."""
    mean_seconds = sum(
        each.mean_seconds * each.share for each in _list_routes(load)
    )
    mean_seconds *= 1 + load.tail_share * (TAIL_FACTOR - 1)
    capacity = len(_list_names(load)) * SLOTS_PER_UPSTREAM / mean_seconds
    per_second = load.capacity_share * capacity * route.share / route.requests
    return per_second * (1 + load.swing)


def _demand(load: Load, domain: str, at: float) -> float:
    """Return the demand in a failure domain, divided by its maximum."""
    phase = DOMAINS.index(domain) / len(DOMAINS)
    wave = math.sin(math.tau * (at / WAVE_SECONDS + phase))
    return (1 + load.swing * wave) / (1 + load.swing)


def _draw_requests(
    random: Random, load: Load, route: CallerRoute, opened_at: float
) -> Iterator[CallerRequest]:
    """Yield the requests of a flow, with the same pauses for all methods."""
    planned_at = opened_at
    for _ in range(route.requests):
        cost = route.mean_seconds * _draw_factor(random) / _MEAN_FACTOR
        if random.random() < load.tail_share:
            cost *= TAIL_FACTOR
        size = round(RESPONSE_BYTES * _draw_factor(random))
        yield CallerRequest(planned_at, cost, size)
        planned_at += cost + random.expovariate(1 / MEAN_REQUEST_PAUSE_SECONDS)


def _draw_factor(random: Random) -> float:
    return random.lognormvariate(0, SERVICE_TIME_SIGMA)


def _draw_caller(random: Random, load: Load) -> int:
    """Draw a caller; the first ones ask for more than others in contention."""
    weight = EAGER_WEIGHT if load.is_contended else 1
    weights = [
        weight if number < EAGER_CALLERS else 1
        for number in range(CALLER_COUNT)
    ]
    return random.choices(range(CALLER_COUNT), weights)[0]


def _summarize(
    load: Load, callers: Callers, sessions: list[Session]
) -> LoadFigures:
    measured = [
        (session, request)
        for session in sessions
        for request in _list_measured(session)
    ]
    requests = [request for _, request in measured]
    fleet = callers.fleet
    figures = LoadFigures(
        in_aim_share=_share(requests, IN_TIME),
        served_share=_share(requests, SERVED),
        refused_share=_share(requests, REFUSED),
        reset_share=round(callers.reset_tries / callers.tries, 4),
        shed_share=round(callers.shed_tries / callers.tries, 4),
        p99_ms=_find_p99_ms(requests),
        choice_us=round(
            fleet.choice_seconds
            / fleet.choice_count
            * _MICROSECONDS_PER_SECOND,
            1,
        ),
        count_by_outcome=Counter(
            request.outcome.value for request in requests if request.outcome
        ),
        unanswered_share=round(callers.unanswered_syns / callers.syns, 4)
        if load.crashing_share
        else None,
    )
    return _add_shares(figures, measured) if load.is_contended else figures


def _list_measured(session: Session) -> list[CallerRequest]:
    return [
        request
        for request in session.requests
        if request.planned_at >= UNMEASURED_SECONDS
    ]


def _find_p99_ms(requests: Iterable[CallerRequest]) -> float:
    answered = [each.seconds for each in requests if each.seconds]
    percentile = statistics.quantiles(answered, n=100)[_P99_INDEX]
    return round(percentile * _MILLISECONDS_PER_SECOND, 1)


def _add_shares(
    figures: LoadFigures, measured: list[tuple[Session, CallerRequest]]
) -> LoadFigures:
    """Add the shares of each priority, the worst-off caller and domain."""
    by_priority: dict[int, list[CallerRequest]] = {}
    by_caller: dict[int, list[CallerRequest]] = {}
    by_domain: dict[str, list[CallerRequest]] = {}

    def find_worst(groups: Iterable[list[CallerRequest]]) -> float:
        served = [_share(requests, SERVED) for requests in groups]
        return round(min(served) / statistics.mean(served), 4)

    for session, request in measured:
        priority = session.route.spec.priority
        by_priority.setdefault(priority, []).append(request)
        by_domain.setdefault(session.domain, []).append(request)
        if session.caller >= EAGER_CALLERS:
            by_caller.setdefault(session.caller, []).append(request)
    return msgspec.structs.replace(
        figures,
        in_aim_share_by_priority={
            priority: _share(requests, IN_TIME)
            for priority, requests in sorted(by_priority.items())
        },
        refused_share_by_priority={
            priority: _share(requests, REFUSED)
            for priority, requests in sorted(by_priority.items())
        },
        worst_caller_share=find_worst(by_caller.values()),
        worst_domain_share=find_worst(by_domain.values()),
    )


def _share(
    requests: Iterable[CallerRequest], outcomes: Set[CallerOutcome]
) -> float:
    share = statistics.mean(each.outcome in outcomes for each in requests)
    return round(share, 4)
