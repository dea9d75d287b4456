"""Select the method of placement of each service by contention."""

import logging
from random import Random

import pytest

from marlbend.cli.explaining import ExplainReport
from marlbend.edge.decision_log import make_decision_logger
from marlbend.edge.maintenance import make_change_logger
from marlbend.edge.placement_metrics import placement_lines
from marlbend.edge.upstream_updates import updates_for_local_domain
from marlbend.steering.placement.admission import record_shed
from marlbend.steering.placement.contention import record_refusal_by_counts
from marlbend.steering.placement.method import PlacementMethod, places_by_work
from marlbend.test.test_explaining import explain
from marlbend.test.test_opening import Overload

REQUESTS, WORK, ADAPTIVE = PlacementMethod


def contend(method: PlacementMethod = ADAPTIVE) -> Overload:
    """Return an instance whose service is in contention."""
    driver = Overload(method)
    admission = driver.steering.estimates.admission
    record_refusal_by_counts(admission, 'catalog', driver.now)
    return driver


def play(driver: Overload, max_load: int, short_share: float) -> list[object]:
    """Return what random flows bring about; some SYNs are unanswered."""
    draw = Random(max_load)
    driver.warm_up_rate('catalog', '8')
    for upstream, option in (('a2', 'slots=2'), ('a3', 'cold=3'), ('b1', '')):
        driver.upstream(upstream, 'catalog', upstream[0], option)
    driver.service_time('web', '0.05')
    for number in range(400):
        flow = f'f{number}'
        driver.load(draw.randrange(max_load))
        driver.open(flow, draw.choice(['web', 'order']))
        if draw.randrange(10):
            driver.establish(flow)
            is_short = number > 20 and draw.random() < short_share
            size = 100 if is_short else draw.randrange(1500, 2500)
            driver.complete_request(flow, str(size))
            driver.fin(flow)
        driver.wait(str(draw.uniform(0, 0.05)))
        driver.sweep()
    sizes = driver.steering.estimates.response_size_by_endpoint.values()
    medians = [size.median for size in sizes]
    return [driver.sent, medians, driver.random.getstate()]


def test_choices_without_contention_are_those_by_counts() -> None:
    """A deployment without contention would be served in another way."""
    adaptive = Overload(ADAPTIVE)
    assert play(adaptive, 14, 0.05) == play(Overload(REQUESTS), 14, 0.05)
    known = adaptive.steering.estimates.admission.by_service['catalog']
    assert known.shed_at > known.contention_ends_at
    adaptive.open('last', 'web')
    updates = updates_for_local_domain(adaptive.steering, adaptive.now)
    assert max(update.work for update in updates) > 0


def test_choices_in_contention_are_those_by_work() -> None:
    adaptive = contend()
    assert play(adaptive, 60, 0.5) == play(contend(WORK), 60, 0.5)
    assert adaptive.reported.count('refused_crowd') > 20
    assert not places_by_work(adaptive.steering, 'survey')


def test_few_shed_responses_extend_contention_but_do_not_begin_it() -> None:
    """A single upstream that fails would change the method of its service."""
    driver = Overload(ADAPTIVE)
    admission = driver.steering.estimates.admission
    for wait, expected in ((0, 0),) * 7 + ((0, 1), (4.9, 1)):
        driver.wait(str(wait))
        record_shed(admission, 'catalog', driver.now)
        assert places_by_work(driver.steering, 'catalog') == expected
    driver.wait('4.9')
    assert places_by_work(driver.steering, 'catalog')


@pytest.mark.parametrize('new_method', [ADAPTIVE, REQUESTS])
@pytest.mark.parametrize('outcome', ['a1', 'reset'])
def test_held_flow_is_decided_on_when_contention_ends(
    new_method: PlacementMethod, outcome: str
) -> None:
    """It would wait for its deadline, or be opened a second time."""
    driver = contend()
    driver.wait('4.97')
    driver.load(17)
    driver.open('f1', 'web')
    if outcome == 'reset':
        driver.service_time('web', '0.05')
    driver.steering.local_instance.placement = new_method
    driver.retransmit_syn('f1')
    assert not driver.sent
    driver.wait('0.05')
    assert driver.sent == [outcome]
    assert not driver.steering.estimates.held_flows.by_key


def test_operators_see_contention(caplog: pytest.LogCaptureFixture) -> None:
    """A refusal by counts would show the reason of the latest verdict."""
    caplog.set_level(logging.INFO, 'marlbend')
    driver = contend()
    steering = driver.steering
    log_changes = make_change_logger(steering)
    steering.callbacks.report_decision = make_decision_logger(lambda: steering)
    driver.open('f1', 'order')
    driver.establish('f1')
    for method, metric in (('work', 1), ('requests (adaptive)', 0)):
        log_changes()
        lines = placement_lines(steering)
        assert f'marlbend_contention{{service="catalog"}} {metric}' in lines
        assert f'by {method}' in next(ExplainReport(explain(driver)).lines())
        driver.wait('5.1')
    driver.service_time('web', '0.05')
    driver.load(16)
    driver.open('f2', 'web')
    texts = [each.getMessage() for each in caplog.records]
    assert [text[:4] for text in texts] == ['E600', 'E612', 'E613', 'E610']
    assert texts[-1].endswith('the least loaded upstream is overloaded')
    assert places_by_work(steering, 'catalog')
