"""Check the loads of `bench placing` against what their names promise."""

from collections import Counter

import msgspec
import pytest

from bench.events import run_events
from bench.placing import (
    UNMEASURED_SECONDS,
    SimulatedUpstream,
    list_upstream_names,
)
from bench.placing_callers import (
    CallerOutcome,
    CallerRequest,
    Callers,
    ask_next,
    connect_callers,
)
from bench.placing_crash import schedule_crash
from bench.placing_fleet import Fleet, restart_instances, start_fleet
from bench.placing_loads import (
    LOAD_BY_NAME,
    LoadFigures,
    draw_sessions,
    make_slowdown,
    play_load,
)
from marlbend.steering.placement.method import PlacementMethod

SECONDS = 3.0
FULL_SECONDS = 15.0
REQUESTS, WORK, ADAPTIVE = PlacementMethod


def play(name: str, placement: PlacementMethod = REQUESTS) -> LoadFigures:
    figures = play_load(name, 7, placement=placement, seconds=SECONDS)
    return msgspec.structs.replace(figures, choice_us=0)


def list_costs(name: str) -> list[tuple[str, float]]:
    """Return the route and the cost of each request."""
    return [
        (session.route.spec.name, request.cost_seconds)
        for session in draw_sessions(LOAD_BY_NAME[name], 1, FULL_SECONDS)
        for request in session.requests
    ]


def test_figures_of_one_seed_repeat() -> None:
    assert play('tail') == play('tail')


@pytest.mark.parametrize('name', ['scarce', 'restart', 'crash'])
@pytest.mark.parametrize('placement', PlacementMethod)
def test_no_request_is_lost_or_counted_twice(
    name: str, placement: PlacementMethod
) -> None:
    asked = sum(
        request.planned_at >= UNMEASURED_SECONDS
        for session in draw_sessions(LOAD_BY_NAME[name], 7, SECONDS)
        for request in session.requests
    )
    figures = play(name, placement)
    count_by_outcome = figures.count_by_outcome
    assert sum(count_by_outcome.values()) == asked
    served = count_by_outcome['in_time'] + count_by_outcome.get('late', 0)
    assert figures.served_share == pytest.approx(served / asked, abs=1e-4)
    # SYNs to unreachable upstreams are counted, and under no other load.
    assert bool(figures.unanswered_share) == (name == 'crash')


def test_tail_has_a_few_requests_of_seven_times_the_work() -> None:
    def count_long_per_thousand(name: str) -> int:
        costs = [cost for route, cost in list_costs(name) if route == 'stream']
        return sum(cost > 4 * 0.055 for cost in costs) * 1000 // len(costs)

    assert count_long_per_thousand('restart') < 5
    assert 18 <= count_long_per_thousand('tail') < 32


@pytest.mark.parametrize(
    ('name', 'share'),
    [('tail', 0.7), ('wave', 0.7), ('scarce', 1.6), ('crash', 0.45)],
)
def test_load_asks_for_its_share_of_the_capacity(
    name: str, share: float
) -> None:
    asked = sum(cost for _, cost in list_costs(name))
    slots = 2 * 60 * LOAD_BY_NAME[name].size
    assert asked / slots / FULL_SECONDS == pytest.approx(share, rel=0.06)


def test_slow_upstreams_are_slow_only_for_a_while() -> None:
    find_slowdown = make_slowdown(LOAD_BY_NAME['slow'], 1, FULL_SECONDS)
    count_by_time = {
        now: sum(
            find_slowdown(name, now) == 5 for name in list_upstream_names()
        )
        for now in (0, 4.2, 4.3, 7, 10.7, 10.8, 15)
    }
    assert list(count_by_time.values()) == [0, 0, 10, 10, 10, 0, 0]


def test_wave_moves_demand_between_domains() -> None:
    counts = Counter(
        (session.domain, request.planned_at // 3.25)
        for session in draw_sessions(LOAD_BY_NAME['wave'], 1, 13)
        for request in session.requests
    )
    for domain in 'abc':
        by_quarter = [counts[domain, quarter] for quarter in range(4)]
        assert max(by_quarter) > 1.6 * min(by_quarter)


def test_eager_callers_ask_ten_times_as_much() -> None:
    counts = Counter(
        session.caller
        for session in draw_sessions(LOAD_BY_NAME['scarce'], 1, FULL_SECONDS)
    )
    eager = sum(counts.pop(caller) for caller in range(3)) / 3
    assert 8 < eager / (counts.total() / len(counts)) < 12


def test_restart_leaves_no_estimates_behind() -> None:
    fleet = Fleet(1, (), 3, tuple(list_upstream_names()), placement=WORK)
    start_fleet(fleet)
    before = [each.steering for each in fleet.instances]
    restart_instances(fleet)
    for instance, former in zip(fleet.instances, before, strict=True):
        assert instance.steering.estimates is not former.estimates
        assert instance.steering.pool is not former.pool
        assert instance.steering.local_instance.placement is WORK


def test_open_flows_go_on_after_a_restart() -> None:
    assert play('restart').served_share == 1


@pytest.mark.parametrize(
    ('times_and_costs', 'tries', 'outcome'),
    [
        # A host that does not reset the SYN lets the caller wait for too long.
        ([(2, 0.05)], [3], 'failed'),
        # An upstream that is unreachable sends no response.
        ([(0.9, 0.5)], [1], 'failed'),
        # An upstream that returns does not know its former flows.
        ([(0.5, 0.05), (7.2, 0.05)], [1, 2], 'in_time'),
    ],
)
def test_caller_sees_the_only_upstream_crash(
    times_and_costs: list[tuple[float, float]], tries: list[int], outcome: str
) -> None:
    """Let it crash after 1 s and return after 7 s."""
    session = next(draw_sessions(LOAD_BY_NAME['crash'], 1, SECONDS))
    fleet = Fleet(1, (session.route.spec,), 3, ('u-1',), placement=REQUESTS)
    start_fleet(fleet)
    callers = Callers(fleet, lambda *_: 1, {'u-1': SimulatedUpstream()})
    connect_callers(callers)
    requests = [CallerRequest(at, cost, 3000) for at, cost in times_and_costs]
    session.requests = requests
    callers.unsettled = len(requests)
    ask_next(callers, session)
    schedule_crash(callers, 1, 1, 8)
    run_events(fleet, 9)
    assert [each.tries for each in requests] == tries
    assert {each.outcome for each in requests} == {CallerOutcome(outcome)}
    # Resets by hosts are not those of instances.
    assert callers.reset_tries == 0


def test_adaptive_fleet_without_contention_places_by_counts() -> None:
    """Kept estimates, and heartbeats with them, would change the choices."""
    assert play('wave', ADAPTIVE) == play('wave')


def test_adaptive_fleet_in_contention_prefers_the_higher_priority() -> None:
    """By counts, both priorities are refused alike once upstreams shed."""
    adaptive = play('scarce', ADAPTIVE)
    refused = adaptive.refused_share_by_priority or {}
    refused_by_counts = play('scarce').refused_share_by_priority or {}
    assert refused[1] < refused_by_counts[1] / 2
