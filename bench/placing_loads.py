"""Compare the two methods of placement under loads that are hard to place.

Both methods get the same arrivals, costs and faults; see
`docs/design/placement.md` for the goals.  The sizes are full ones: 30 instances
and 60 upstreams for 15 simulated seconds.
"""

import math
import statistics
from collections.abc import Callable, Iterable, Iterator
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
    list_upstream_names,
)
from bench.placing_callers import (
    CallerRequest,
    CallerRoute,
    Callers,
    Result,
    Session,
    connect_callers,
    start_session,
)
from bench.placing_fleet import Fleet, restart_instances, start_fleet
from marlbend.steering import RouteSpec

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
TAIL_FACTOR: Final = 7.0
SLOW_FACTOR: Final = 5.0
SLOW_SECONDS: Final = 6.5
WAVE_SECONDS: Final = 13.0
# With more callers, chance alone would decide who is the worst off: each has
# some 300 requests.
CALLER_COUNT: Final = 100
EAGER_CALLERS: Final = 5
EAGER_WEIGHT: Final = 10
RESPONSE_BYTES: Final = 3000
TARGET_SECONDS: Final = 0.3
_MILLISECONDS_PER_SECOND: Final = 1000
_MICROSECONDS_PER_SECOND: Final = 1_000_000
_P99_INDEX: Final = 98
_MEAN_FACTOR: Final = math.exp(SERVICE_TIME_SIGMA**2 / 2)


def _make_spec(
    name: str, port: int, priority: int, *, repeatable: bool
) -> RouteSpec:
    endpoint = bytes((*port.to_bytes(2), 198, 18, 0, 1))
    services = ((SERVICE, 1),)
    return RouteSpec(name, endpoint, services, repeatable, 0.9, priority)


ROUTES: Final = (
    CallerRoute(
        _make_spec('stream', 443, 2, repeatable=True),
        deadline_seconds=3.4,
        mean_seconds=0.055,
        share=0.7,
        requests=LONG_FLOW_REQUESTS,
    ),
    CallerRoute(
        _make_spec('command', 444, 1, repeatable=False),
        deadline_seconds=4.5,
        mean_seconds=0.072,
        share=0.2,
    ),
    CallerRoute(
        _make_spec('short', 445, 2, repeatable=False),
        deadline_seconds=4.5,
        mean_seconds=0.005,
        share=0.1,
    ),
)


class Load(msgspec.Struct, frozen=True):
    """Describe a load.

    `capacity_share` is the work asked for, divided by what the upstreams can
    do.  `tail_share` of the requests take longer by `TAIL_FACTOR`, `slow_share`
    of the upstreams are slower for a while, and `swing` is that of the demand
    in each failure domain.  With `is_contended`, routes have their own targets,
    some callers ask for more, and the shares of each are reported.
    """

    capacity_share: float = 0.7
    tail_share: float = 0
    slow_share: float = 0
    swing: float = 0
    is_contended: bool = False
    has_restart: bool = False


LOAD_BY_NAME: Final = MappingProxyType(
    {
        'tail': Load(tail_share=0.03),
        'slow': Load(slow_share=1 / 6),
        'wave': Load(swing=0.55),
        'scarce': Load(capacity_share=1.6, is_contended=True),
        'restart': Load(has_restart=True),
    }
)


class LoadFigures(msgspec.Struct, frozen=True, omit_defaults=True):
    """Report the results of one method.

    Shares are of the requests planned after `UNMEASURED_SECONDS`.
    `in_aim_share` and `served_share` are those answered within the target and
    within the deadline, counted from the first try.  `refused_share` is those
    whose last try was reset.  `p99_ms` is a percentile of the time to the
    response, of the requests that got one.  `shed_share` is the tries that an
    upstream answered with a short response, and `choice_us` the processor time
    of the instance for each SYN, both in the whole run.  `worst_caller_share`
    is the served share of the worst-off caller divided by the mean, among the
    callers that do not ask for more than others.
    """

    in_aim_share: float
    served_share: float
    refused_share: float
    shed_share: float
    p99_ms: float
    choice_us: float
    count_by_result: dict[str, int]
    in_aim_share_by_priority: dict[int, float] | None = None
    refused_share_by_priority: dict[int, float] | None = None
    worst_caller_share: float | None = None


class LoadReport(msgspec.Struct, frozen=True):
    """Report the results of both methods for the same load."""

    load: str
    seed: int
    by_method: dict[str, LoadFigures]


async def run_load(name: str, seed: int) -> LoadReport:
    """Play a load with both methods."""
    return LoadReport(
        name,
        seed,
        {
            'requests': play_load(name, seed, places_by_work=False),
            'work': play_load(name, seed, places_by_work=True),
        },
    )


def play_load(
    name: str,
    seed: int,
    *,
    places_by_work: bool,
    seconds: float = SIMULATED_SECONDS,
) -> LoadFigures:
    """Play a load with one method."""
    load = LOAD_BY_NAME[name]
    routes = list_routes(load)
    fleet = Fleet(
        seed, tuple(each.spec for each in routes), places_by_work=places_by_work
    )
    start_fleet(fleet)
    callers = Callers(fleet, make_slowdown(load, seed, seconds))
    connect_callers(callers)
    sessions = list(draw_sessions(load, seed, seconds))
    for session in sessions:
        start_session(callers, session)
    if load.has_restart:
        schedule(fleet, seconds / 2, partial(restart_instances, fleet))
    run_events(fleet, math.inf)
    return _summarize(load, callers, sessions)


def list_routes(load: Load) -> list[CallerRoute]:
    """Return the routes of a load, with its target."""
    if load.is_contended:
        return list(ROUTES)
    return [
        msgspec.structs.replace(
            route,
            spec=msgspec.structs.replace(
                route.spec, target_seconds=TARGET_SECONDS
            ),
        )
        for route in ROUTES
    ]


def make_slowdown(
    load: Load, seed: int, seconds: float
) -> Callable[[str, float], float]:
    """Return a function that tells how much slower an upstream is at a time."""
    names = list(list_upstream_names())
    slow_names = Random(seed).sample(names, round(load.slow_share * len(names)))
    since = (seconds - SLOW_SECONDS) / 2

    def find_slowdown(name: str, now: float) -> float:
        is_slow = name in slow_names and since <= now < since + SLOW_SECONDS
        return SLOW_FACTOR if is_slow else 1

    return find_slowdown


def draw_sessions(load: Load, seed: int, seconds: float) -> Iterator[Session]:
    """Yield the sessions of a load, route by route."""
    random = Random(seed)
    number = 0
    for route in list_routes(load):
        per_second = _flows_per_second(load, route) * (1 + load.swing)
        for at in draw_arrival_times(
            random, per_second, EARLY_SECONDS + seconds
        ):
            opened_at = at - EARLY_SECONDS
            domain = random.choice(DOMAINS)
            demand = 1 + load.swing * _swing(domain, opened_at)
            requests = list(_draw_requests(random, load, route, opened_at))
            asked = [
                each for each in requests if 0 <= each.planned_at < seconds
            ]
            if asked and random.random() * (1 + load.swing) < demand:
                number += 1
                caller = _draw_caller(random, load)
                yield Session(number, caller, route, domain, asked)


def _flows_per_second(load: Load, route: CallerRoute) -> float:
    mean_seconds = sum(each.mean_seconds * each.share for each in ROUTES)
    mean_seconds *= 1 + load.tail_share * (TAIL_FACTOR - 1)
    capacity = UPSTREAM_COUNT * SLOTS_PER_UPSTREAM / mean_seconds
    return load.capacity_share * capacity * route.share / route.requests


def _swing(domain: str, at: float) -> float:
    phase = DOMAINS.index(domain) / len(DOMAINS)
    return math.sin(math.tau * (at / WAVE_SECONDS + phase))


def _draw_requests(
    random: Random, load: Load, route: CallerRoute, opened_at: float
) -> Iterator[CallerRequest]:
    """Yield the requests of a flow, with the same pauses for both methods."""
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
    weights = [1 for _ in range(CALLER_COUNT)]
    if load.is_contended:
        weights[:EAGER_CALLERS] = [EAGER_WEIGHT for _ in range(EAGER_CALLERS)]
    return random.choices(range(CALLER_COUNT), weights)[0]


def _summarize(
    load: Load, callers: Callers, sessions: list[Session]
) -> LoadFigures:
    measured = [
        (session, request)
        for session in sessions
        for request in session.requests
        if request.planned_at >= UNMEASURED_SECONDS
    ]
    requests = [request for _, request in measured]
    answered = [each.seconds for each in requests if each.seconds]
    p99_seconds = statistics.quantiles(answered, n=100)[_P99_INDEX]
    choice_seconds = callers.fleet.choice_seconds / callers.fleet.choice_count
    figures = LoadFigures(
        in_aim_share=_share(requests, Result.IN_TIME),
        served_share=_share(requests, Result.IN_TIME, Result.LATE),
        refused_share=_share(requests, Result.REFUSED),
        shed_share=round(callers.shed_tries / callers.tries, 4),
        p99_ms=round(p99_seconds * _MILLISECONDS_PER_SECOND, 1),
        choice_us=round(choice_seconds * _MICROSECONDS_PER_SECOND, 1),
        count_by_result={
            each.value: sum(request.result is each for request in requests)
            for each in Result
        },
    )
    return _add_shares(figures, measured) if load.is_contended else figures


def _add_shares(
    figures: LoadFigures, measured: list[tuple[Session, CallerRequest]]
) -> LoadFigures:
    """Add the shares of each priority, and of the worst-off caller."""
    by_priority: dict[int, list[CallerRequest]] = {}
    by_caller: dict[int, list[CallerRequest]] = {}
    for session, request in measured:
        priority = session.route.spec.priority
        by_priority.setdefault(priority, []).append(request)
        if session.caller >= EAGER_CALLERS:
            by_caller.setdefault(session.caller, []).append(request)
    served = [
        _share(requests, Result.IN_TIME, Result.LATE)
        for requests in by_caller.values()
    ]
    return msgspec.structs.replace(
        figures,
        in_aim_share_by_priority={
            priority: _share(requests, Result.IN_TIME)
            for priority, requests in sorted(by_priority.items())
        },
        refused_share_by_priority={
            priority: _share(requests, Result.REFUSED)
            for priority, requests in sorted(by_priority.items())
        },
        worst_caller_share=round(min(served) / statistics.mean(served), 4),
    )


def _share(requests: Iterable[CallerRequest], *results: Result) -> float:
    return round(
        statistics.mean(each.result in results for each in requests), 4
    )
