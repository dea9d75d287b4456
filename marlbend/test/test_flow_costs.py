"""Test admission by the cost of a flow, and how that cost is estimated."""

import itertools
from collections import Counter
from random import Random
from statistics import fmean

import pytest

from marlbend.steering.placement import credits as rule
from marlbend.steering.placement import flow_lengths
from marlbend.steering.placement.admission import (
    AdmissionRequest,
    AdmissionState,
    find_limit,
    record_served,
    record_shed,
)
from marlbend.steering.placement.callers import find_relative_work
from marlbend.steering.placement.flow_costs import find_flow_seconds
from marlbend.steering.placement.method import PlacementMethod
from marlbend.steering.placement.queue_waits import QueueWait, record_excess
from marlbend.test.steering import SteeringDriver
from marlbend.test.test_admission import ask, make_request
from marlbend.test.test_service_times import serve

SERVICE = 'catalog'
CHEAP, LONG = b'cheap.', b'long..'
FLOWS_PER_SECOND = 200
WORST_CALLER_SHARE = 0.7


def make_flow(route: bytes, seconds: float, caller: int) -> AdmissionRequest:
    request = make_request(caller.to_bytes(4))
    request.endpoint = route
    request.flow_seconds = seconds
    return request


class Overload:
    """Play flows of two routes, of which the work of a part fits."""

    def __init__(
        self, long_share: float, cost: int, fits: float, callers: list[int]
    ) -> None:
        random = Random(1)
        state = AdmissionState()
        self.admitted: dict[bytes, list[bool]] = {CHEAP: [], LONG: []}
        self.work = Counter[int]()
        added = fits * (1 - long_share + long_share * cost)
        room: float = 0
        for step in range(40_000):
            now = 1 + step / FLOWS_PER_SECOND
            room = min(room + added, 5 * cost)
            route = LONG if random.random() < long_share else CHEAP
            seconds = cost if route == LONG else 1
            caller = random.choice(callers)
            is_admitted = ask(state, make_flow(route, seconds, caller), now)
            self.admitted[route].append(is_admitted)
            if is_admitted and room < seconds:
                record_shed(state, SERVICE, now)
            elif is_admitted:
                record_served(state, SERVICE, in_time=True, now=now)
                room -= seconds
                self.work[caller] += seconds


def test_cheap_flows_are_admitted_before_expensive_ones() -> None:
    """Guard against cheap flows refused for the work of expensive ones."""
    overload = Overload(0.5, 20, 0.1, list(range(40)))
    found = [fmean(overload.admitted[route]) for route in (CHEAP, LONG)]
    assert found == pytest.approx([0.95, 0.17], abs=0.05)


@pytest.mark.parametrize(
    ('cost', 'longest'), [(2, 50), (20, 200), (500, 1_500)]
)
@pytest.mark.parametrize('callers', [1, 40])
def test_expensive_flows_do_not_starve(
    cost: int, longest: int, callers: int
) -> None:
    """Guard against cheap flows that use up all credit at once.

    The cheap flows alone are more than fits, and their callers are the same.
    The most expensive ones cost 19 times the mean, and 1% of the work fits.
    """
    fits = 0.3 / (1 + cost / 20)
    admitted = Overload(0.05, cost, fits, list(range(callers))).admitted[LONG]
    assert any(admitted)
    runs = itertools.groupby(admitted)
    assert max(len(list(run)) for is_in, run in runs if not is_in) < longest


@pytest.mark.parametrize('cost', [1, 8])
def test_callers_with_many_flows_get_an_equal_share(cost: int) -> None:
    """Guard against flows whose cost hides the work of their caller."""
    callers = [*range(40), *itertools.repeat(99, 40)]
    work = Overload(0.5, cost, 0.4, callers).work
    mean = sum(work[caller] for caller in range(40)) / 40
    assert min(work.values()) > WORST_CALLER_SHARE * mean
    assert work[99] < 20 * mean


@pytest.mark.parametrize('seconds', [0, 0.05, 3])
def test_flows_of_one_cost_are_admitted_as_before(seconds: float) -> None:
    """Guard against another choice where no flow costs more than others."""
    state = AdmissionState()
    random = Random(1)
    credit: float = 0
    verdicts = Counter[bool]()
    record_shed(state, SERVICE, 1)
    for step in range(3_000):
        now = 1 + step / FLOWS_PER_SECOND
        route = random.choice((CHEAP, LONG))
        request = make_flow(route, seconds, random.randrange(9) ** 2 // 9)
        if not random.randrange(25):
            record_shed(state, SERVICE, now)
        limit = find_limit(state, SERVICE, 0, now)
        credit = min(credit + limit, rule.MAX_CREDIT)
        shares = state.by_service[SERVICE].caller_shares
        work = find_relative_work(shares, request.caller, now)
        needed = min(max(work, rule.MIN_CREDIT), rule.MAX_CREDIT)
        expected = limit == 1 or credit >= needed
        assert ask(state, request, now) == expected
        credit = max(credit - expected, 0)
        verdicts[expected] += 1
    assert min(verdicts[True], verdicts[False]) > 100


def test_routes_of_a_priority_are_bounded() -> None:
    """Guard against unbounded memory, weights that overflow, a lost mean."""
    known = rule.PriorityCredit()
    for number in range(5_000):
        request = make_flow(number.to_bytes(6), 1, 1)
        rule.record_credit(known, request, 0.1, is_admitted=False)
        assert known.unit <= rule.MAX_UNIT
    assert len(known.route_by_endpoint) == rule.MAX_ROUTES
    cost = rule.find_relative_cost(known, make_flow(LONG, 3, 1))
    assert cost == pytest.approx(3)


def test_length_follows_the_recent_flows() -> None:
    """Guard against old flows that outweigh others, and few that count."""
    lengths = flow_lengths.FlowLengths()
    found = []
    for number in range(401):
        now = number if number < 400 else 1e9
        flow_lengths.record_flow(lengths, LONG, now)
        for _ in range(2 + 6 * (number < 100)):
            flow_lengths.record_request(lengths, LONG, now)
        found.append(flow_lengths.requests_per_flow(lengths, LONG))
    assert found[6:8] == [1, 8]
    assert found[99:] == sorted(found[99:], reverse=True)
    assert found[399:] == pytest.approx([2, 2], abs=0.1)
    for _ in range(100_000):
        flow_lengths.record_request(lengths, LONG, 1e9)
    assert flow_lengths.requests_per_flow(lengths, LONG) == 64


def test_route_without_a_flow_for_the_longest_time_is_evicted() -> None:
    lengths = flow_lengths.FlowLengths()
    for number in range(2 * flow_lengths.MAX_ROUTES):
        flow_lengths.record_flow(lengths, number.to_bytes(6), number)
        flow_lengths.record_flow(lengths, LONG, number)
    assert len(lengths.by_endpoint) == flow_lengths.MAX_ROUTES
    assert lengths.by_endpoint[LONG].flows > 8
    flow_lengths.record_request(lengths, CHEAP, 1)
    assert CHEAP not in lengths.by_endpoint


@pytest.mark.parametrize('keeps_estimates', [True, False])
def test_requests_are_counted_from_packets(*, keeps_estimates: bool) -> None:
    """Guard against acknowledgements that hide a request, and repeated data."""
    driver = SteeringDriver()
    driver.steering.local_instance.placement = (
        PlacementMethod.ADAPTIVE
        if keeps_estimates
        else PlacementMethod.REQUESTS
    )
    driver.route('web', SERVICE)
    driver.upstream('a1', SERVICE, 'a')
    for number in range(10):
        flow = f'f{number}'
        driver.open(flow, 'web')
        driver.establish(flow)
        serve(driver, '0.01', flow=flow)
        driver.send_data(flow)
        driver.retransmit(flow)
        driver.callers[flow].acknowledged += 2_000
        driver.send_data(flow)
        driver.fin(flow)
    lengths = driver.steering.estimates.flow_lengths
    assert bool(lengths.by_endpoint) == keeps_estimates
    endpoint = driver.routes['web'].endpoint
    expected = 3 if keeps_estimates else 1
    assert flow_lengths.requests_per_flow(lengths, endpoint) == expected


def test_cost_leaves_out_the_wait_in_queues() -> None:
    """Guard against cheap requests that seem expensive while all wait.

    An instance that does not see the others' requests takes all requests for
    ones that were served at once.
    """
    driver = SteeringDriver()
    driver.steering.local_instance.placement = PlacementMethod.WORK
    driver.upstream('a1', SERVICE, 'a')
    for name in ('web', 'order'):
        driver.route(name, SERVICE)
        driver.open(name, name)
        driver.establish(name)
    for number in range(100):
        wait = number % 5 / 20
        serve(driver, str(0.01 + wait), flow='web')
        serve(driver, str(0.06 + wait), flow='order')
    ends = (driver.routes[name].endpoint for name in ('web', 'order'))
    found = [find_flow_seconds(driver.steering, end, SERVICE) for end in ends]
    assert found == pytest.approx([0.01, 0.06], abs=0.02)


def test_wait_is_that_of_routes_in_use() -> None:
    """Guard against a route without requests that hides the wait."""
    wait = QueueWait()
    record_excess(wait, CHEAP, 0.001, 1)
    record_excess(wait, LONG, 0.1, 2)
    assert wait.seconds == pytest.approx(0.001)
    record_excess(wait, LONG, 0.1, 10)
    assert wait.seconds == pytest.approx(0.1)
    for number in range(1_000):
        record_excess(wait, number.to_bytes(6), 0.1, 10)
    assert len(wait.excess_by_endpoint) < 100
