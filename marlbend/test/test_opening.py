"""Place, hold and refuse flows by work, through the packets of callers."""

import pytest

from marlbend.edge.placement_metrics import placement_lines
from marlbend.steering.placement import opening
from marlbend.steering.placement.admission import record_shed
from marlbend.steering.placement.held_flows import MAX_HELD_FLOWS
from marlbend.steering.placement.method import PlacementMethod
from marlbend.steering.placement.service_times import (
    MIN_REQUESTS,
    record_service_time,
)
from marlbend.steering.reports import PeerReport, add_report
from marlbend.steering.state import Outcome
from marlbend.test.steering import SteeringDriver

COST = 0.05
SLOTS = 2
WORK = PlacementMethod.WORK


class Overload(SteeringDriver):
    """Hold one upstream of two slots, and routes of two priorities."""

    def __init__(self, placement: PlacementMethod = WORK) -> None:
        super().__init__()
        self.steering.local_instance.placement = placement
        for name, priority in (('web', '2'), ('order', '1')):
            self.route(name, 'catalog')
            self.target(name, '0.5', priority)
            endpoint = self.routes[name].endpoint
            for _ in range(MIN_REQUESTS):
                times = self.steering.estimates.service_times
                record_service_time(times, endpoint, COST, self.now)
        self.upstream('a1', 'catalog', 'a', f'slots={SLOTS}')

    def load(self, requests: int) -> None:
        """Let another instance report requests in progress at the upstream."""
        report = PeerReport(self.now, requests)
        report.work_seconds = requests * COST
        upstream = self.steering.pool.by_name['a1']
        add_report(upstream.reports, 'n-2', report)

    def count(self, outcome: Outcome) -> int:
        """Return how often an outcome was counted."""
        return self.steering.counts[outcome]


def test_flow_that_would_miss_its_target_is_refused_at_once() -> None:
    """It would wait in vain, and take capacity from flows that can be served.

    The expected completion is 0.05 s and 0.025 s for each request before it;
    0.8 of the target is 0.4 s, and 1.2 of it for the higher priority 0.6 s.
    """
    driver = Overload()
    driver.load(20)
    driver.open('f1', 'web')
    driver.open('f2', 'order')
    assert driver.sent == ['reset', 'a1']
    driver.load(40)
    driver.open('f3', 'order')
    assert driver.sent[-1] == 'reset'
    assert driver.count(Outcome.REFUSED_CROWD) == 2
    assert not driver.count(Outcome.HELD)


def test_refusal_by_the_limit_compares_no_upstreams(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Small instances had no time to answer others in an overload.

    Most flows are refused then, and each took as long as a placement.
    """
    driver = Overload()
    for _ in range(1_000):
        record_shed(
            driver.steering.estimates.admission,
            'catalog',
            driver.now,
            had_free_slot=True,
        )
    compared: list[object] = []
    monkeypatch.setattr(opening, 'find_best', compared.append)
    monkeypatch.setattr(opening, 'has_free_slot', compared.append)
    for number in range(30):
        driver.open(f'f{number}', 'web')
    assert set(driver.sent) == {'reset'}
    assert not compared
    latest = driver.steering.estimates.admission.latest
    assert latest is not None
    assert latest.reason == 'priority'


def test_flow_waits_for_capacity_that_comes_soon() -> None:
    """A refusal would cost its caller one of two retries."""
    driver = Overload()
    driver.load(17)
    driver.open('f2', 'web')
    driver.retransmit_syn('f2')
    assert not driver.sent
    assert driver.count(Outcome.HELD) == 1
    driver.load(2)
    driver.wait('0.02')
    assert driver.sent == ['a1']
    assert not driver.steering.estimates.held_flows.by_key


def test_held_flow_is_refused_when_it_has_waited_too_long() -> None:
    """It would be missing from the counts, or have another flow's reason."""
    driver = Overload()
    driver.load(17)
    driver.open('f1', 'web')
    for _ in range(16):
        driver.load(17)
        driver.wait('0.01')
    assert driver.sent == ['reset']
    assert driver.count(Outcome.REFUSED_CROWD) == 1
    admission = driver.steering.estimates.admission
    endpoint = driver.routes['web'].endpoint
    assert admission.counts[endpoint, 'refuse', 'wait'] == 1
    driver.wait('0.5')
    assert driver.sent == ['reset']


def test_flow_does_not_wait_behind_one_of_another_service() -> None:
    driver = Overload()
    driver.route('scan', 'survey')
    driver.target('scan', '0.5', '2')
    endpoint = driver.routes['scan'].endpoint
    for _ in range(MIN_REQUESTS):
        times = driver.steering.estimates.service_times
        record_service_time(times, endpoint, COST, driver.now)
    driver.upstream('s1', 'survey', 'a', 'slots=2')
    driver.load(17)
    driver.open('f1', 'web')
    driver.report_busy('n-2', 's1', '3')
    driver.open('f2', 'scan')
    assert driver.sent == ['s1']


def test_higher_priority_gets_the_first_capacity() -> None:
    driver = Overload()
    driver.load(17)
    driver.open('f1', 'web')
    driver.load(25)
    driver.open('f2', 'order')
    held = driver.steering.estimates.held_flows
    assert len(held.by_key) == 2
    driver.load(2)
    driver.wait('0.01')
    driver.wait('0.01')
    order = [driver.callers[name].key for name in ('f2', 'f1')]
    assert list(driver.steering.flow_by_key) == order


def test_held_flows_of_a_paused_process_are_dropped() -> None:
    """Callers have sent their SYN again, perhaps to another instance."""
    driver = Overload()
    driver.load(17)
    driver.open('f1', 'web')
    driver.pause('2')
    assert not driver.sent
    assert not driver.steering.estimates.held_flows.by_key


def test_held_flow_of_a_removed_route_is_refused() -> None:
    driver = Overload()
    driver.load(17)
    driver.open('f1', 'web')
    driver.drop_route('web')
    driver.wait('0.02')
    assert driver.sent == ['reset']
    assert driver.count(Outcome.REFUSED_NO_ROUTE) == 1


def test_many_held_flows_are_bounded() -> None:
    driver = Overload()
    driver.load(17)
    for number in range(MAX_HELD_FLOWS + 3):
        driver.open(f'f{number}', 'web')
    assert len(driver.steering.estimates.held_flows.by_key) == MAX_HELD_FLOWS
    assert set(driver.sent) == {'reset'}
    assert len(driver.sent) == 3


@pytest.mark.parametrize('priority', ['1', '2'])
def test_shed_responses_limit_flows_though_a_slot_seems_free(
    priority: str,
) -> None:
    """Without heartbeats, each instance would go on as if it were alone."""
    driver = Overload()
    for number in range(30):
        flow = f's{number}'
        driver.open(flow, 'web')
        driver.establish(flow)
        size = '2000' if number < 10 else '100'
        driver.complete_request(flow, size)
        driver.fin(flow)
        driver.wait('0.02')
    driver.sent.clear()
    route = 'order' if priority == '1' else 'web'
    for number in range(40):
        driver.open(f'n{number}', route)
    refused = driver.sent.count('reset')
    assert (refused > 20) == (priority == '2')
    assert refused in {0, *range(21, 41)}


def test_setting_off_refuses_by_counts_as_before() -> None:
    driver = Overload(PlacementMethod.REQUESTS)
    driver.load(1000)
    driver.open('f1', 'web')
    assert driver.sent == ['a1']
    driver.service_time('web', str(COST))
    driver.open('f2', 'web')
    assert driver.sent[-1] == 'reset'
    assert not driver.steering.estimates.admission.counts


def test_metrics_and_log_tell_why_a_flow_was_refused() -> None:
    driver = Overload()
    driver.load(40)
    driver.open('f1', 'web')
    lines = list(placement_lines(driver.steering))
    labels = '{route="web",verdict="refuse",reason="no room in time"}'
    assert f'marlbend_placement_total{labels} 1' in lines
    assert 'marlbend_upstream_work_seconds{upstream="a1"} 2.000' in lines
    latest = driver.steering.estimates.admission.latest
    assert latest is not None
    assert latest.reason == 'no room in time'
    assert not list(placement_lines(SteeringDriver().steering))


def test_shed_requests_of_streams_do_not_limit_a_higher_priority() -> None:
    """Open flows go on to be shed, however few new flows are admitted."""
    driver = Overload()
    driver.open('o1', 'order')
    driver.open('s1', 'web')
    driver.establish('s1')
    for number in range(200):
        size = '2000' if number < 10 or number % 2 else '100'
        driver.complete_request('s1', size)
        driver.wait('0.02')
    driver.sent.clear()
    for number in range(20):
        driver.open(f'n{number}', 'order')
    assert set(driver.sent) == {'a1'}


def test_shed_responses_are_recognized_though_most_are_shed() -> None:
    """The usual size of a route became that of a refusal after 60 of them."""
    driver = Overload()
    driver.open('s1', 'web')
    driver.establish('s1')
    for number in range(200):
        driver.complete_request('s1', '2000' if number < 10 else '100')
        driver.wait('0.02')
    driver.sent.clear()
    for number in range(20):
        driver.open(f'n{number}', 'web')
    assert driver.sent.count('reset') > 10
