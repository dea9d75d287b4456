"""Check the choice of upstreams by expected completion time."""

from collections import Counter
from collections.abc import Callable, Iterable

import pytest

from marlbend.steering.failure_detection import count_busy
from marlbend.steering.placement import choice, completion
from marlbend.steering.placement.method import PlacementMethod
from marlbend.steering.placement.speeds import record_speed
from marlbend.steering.reports import PeerReport, add_report
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream
from marlbend.test.test_steering import CASES, Scenario, play_case

COST = 0.05
ENDPOINT = b'web...'
# Cases that check which upstreams may be chosen, whatever their load.
CHOICE_CASES = (
    'domain-that-is-out-gets-no-new-flow',
    'draining-upstream-keeps-its-flows',
    'first-of-two-upstreams-that-answer-a-syn-keeps-the-flow',
    'missing-upstream-is-second-choice',
    'missing-upstream-is-used-until-its-timeout',
    'partition-is-detected-on-several-upstreams',
    'partitioned-domain-is-probed-again',
    'recovered-upstream-is-not-ejected-again',
    'retransmitted-syn-is-rerouted',
    'reused-port-starts-a-new-flow',
    'service-with-only-short-responses-has-no-outlier',
    'unanswered-syn-is-rerouted-before-the-caller-retransmits',
    'upstream-with-short-responses-is-ejected',
)


class WorkScenario(Scenario):
    """Play cases with placement by work."""

    def start(self, domain: str) -> None:
        super().start(domain)
        self.steering.local_instance.placement = PlacementMethod.WORK


class Inputs:
    """Stand in for the estimates of outstanding work and of speeds."""

    def __init__(self) -> None:
        self.work: dict[str, float] = {}
        self.driver = WorkScenario()
        self.driver.route('web', 'catalog')

    def add(self, name: str, *options: str, work: float = 0) -> None:
        """Register an upstream in the domain that its name starts with."""
        self.driver.upstream(name, 'catalog', name[0], 'slots=2', *options)
        self.work[name] = work

    def report_slowdown(self, name: str, slowdown: float, age: float) -> None:
        """Apply a peer's report of some age."""
        report = PeerReport(self.driver.now - age, 0)
        report.slowdown = slowdown
        report.samples = 9
        upstream = self.driver.steering.pool.by_name[name]
        add_report(upstream.reports, 'x', report)
        completion.refresh_slowdowns(self.driver.steering)

    def count_chosen(self, choices: int = 60) -> Counter[str]:
        """Return how often each upstream is chosen for the same state."""
        return Counter(self.choose() for _ in range(choices))

    def choose(self) -> str:
        """Return the name of one chosen upstream."""
        steering = self.driver.steering
        found = choice.choose_upstream(steering, 'catalog', [], ENDPOINT)
        assert found is not None
        return found.name


@pytest.fixture
def inputs(monkeypatch: pytest.MonkeyPatch) -> Inputs:
    made = Inputs()
    replace_estimates(monkeypatch, lambda _, upstream: made.work[upstream.name])
    return made


def replace_estimates(
    monkeypatch: pytest.MonkeyPatch,
    total_work: Callable[[Steering, Upstream], float],
) -> None:
    """Replace the estimates, which other tests check."""

    def find_slowest(
        speed: object, reports: Iterable[tuple[float, float]], now: float
    ) -> float:
        return max((slowdown for slowdown, _ in reports), default=1)

    monkeypatch.setattr(completion, 'total_work', total_work)
    monkeypatch.setattr(completion, 'find_slowdown', find_slowest)
    monkeypatch.setattr(completion, 'find_request_seconds', lambda *_: COST)
    monkeypatch.setattr(choice, 'expected_seconds', lambda *_: COST)


def test_one_long_request_outweighs_two_short_ones(inputs: Inputs) -> None:
    """A count alone would add to the queue behind the long request."""
    inputs.add('a1', work=0.4)
    inputs.add('a2', work=0.01)
    pool = inputs.driver.steering.pool
    pool.by_name['a1'].busy = 1
    pool.by_name['a2'].busy = 2
    assert set(inputs.count_chosen()) == {'a2'}
    inputs.driver.steering.local_instance.placement = PlacementMethod.REQUESTS
    assert set(inputs.count_chosen()) == {'a1'}


@pytest.mark.parametrize(
    ('other', 'work', 'chosen'),
    [
        # A free slot of a slow upstream against a short and a long queue.
        ('slow', 0.1, 'a1'),
        ('slow', 0.6, 'a2'),
        # Another domain has to be 30 ms faster.
        ('remote', 0.02, 'a1'),
        ('remote', 0.1, 'b2'),
        # A cold upstream takes longer for the request itself.
        ('cold', 0.03, 'a1'),
        ('cold', 0.09, 'a2'),
    ],
)
def test_idle_upstream_is_weighed_against_a_queue(
    inputs: Inputs, other: str, work: float, chosen: str
) -> None:
    inputs.add('a1', work=work)
    if other == 'remote':
        inputs.add('b2')
    else:
        inputs.add('a2', 'cold=9' if other == 'cold' else 'cold=0')
    if other == 'slow':
        inputs.report_slowdown('a2', 5, age=2.9)
    assert set(inputs.count_chosen()) == {chosen}


def test_idle_flows_count_as_what_their_callers_send(
    inputs: Inputs, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With a fixed share, flows of callers that send much are too cheap."""
    inputs.add('a1')
    inputs.add('a2', work=0.05)
    inputs.driver.steering.pool.by_name['a1'].flows = 20
    assert inputs.choose() == 'a1'
    monkeypatch.setattr(choice, 'find_idle_seconds', lambda *_: 0.2 * COST)
    assert set(inputs.count_chosen()) == {'a2'}


def test_old_slowdown_is_not_used(inputs: Inputs) -> None:
    """An upstream would be avoided long after it is fast again."""
    inputs.add('a1', work=0.05)
    inputs.add('a2')
    inputs.report_slowdown('a2', 5, age=3.1)
    assert set(inputs.count_chosen()) == {'a2'}


def test_upstreams_without_samples_take_no_time(
    inputs: Inputs, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Of 110,000 upstreams, an instance hears of few that are slow.

    Without samples an upstream that was slow counts as usual again.
    """
    for name in ('a1', 'a2', 'a3'):
        inputs.add(name)
    steering = inputs.driver.steering
    inputs.report_slowdown('a1', 5, age=0)
    record_speed(steering.pool.by_name['a2'].work.speed, 1, 0.1, steering.now)
    calls: list[object] = []

    def find_slowdown(*arguments: object) -> float:
        calls.append(arguments)
        return 5

    monkeypatch.setattr(completion, 'find_slowdown', find_slowdown)
    completion.refresh_slowdowns(steering)
    assert len(calls) == 2
    inputs.driver.wait('31')
    calls.clear()
    completion.refresh_slowdowns(steering)
    assert not calls
    upstreams = steering.pool.by_name.values()
    assert all(each.work.slowdown == 1 for each in upstreams)


def test_ties_are_spread(inputs: Inputs) -> None:
    """All instances would choose the first of several idle upstreams."""
    for number in range(3):
        inputs.add(f'a{number}')
    chosen = inputs.count_chosen(90)
    assert min(chosen[f'a{number}'] for number in range(3)) > 15


def test_tried_upstreams_come_last(inputs: Inputs) -> None:
    inputs.add('a1')
    inputs.add('a2', work=9)
    steering = inputs.driver.steering
    first, second = steering.pool.by_name.values()

    def choose(*tried: Upstream) -> object:
        return choice.choose_upstream(
            steering, 'catalog', list(tried), ENDPOINT
        )

    assert choose(first) is second
    assert choose(first, second) is first
    second.missing_since = 1
    assert choose(first) is second
    assert choice.choose_upstream(steering, 'none', [], ENDPOINT) is None


def test_empty_estimates_place_by_counts_of_recent_reports() -> None:
    """An instance that starts has no estimates, only counts of others."""
    driver = WorkScenario()
    driver.route('web', 'catalog')
    for name, busy in (('a1', 6), ('a2', 3)):
        driver.upstream(name, 'catalog', 'a')
        driver.report_busy('x', name, str(busy))
    driver.open('f1', 'web')
    driver.report_busy('y', 'a2', '9')
    driver.open('f2', 'web')
    assert driver.sent == ['a2', 'a1']
    driver.wait('1.1')
    driver.report_busy('x', 'a1', '3')
    driver.open('f3', 'web')
    assert driver.sent[-1] == 'a2'


def test_best_and_explanation_agree(inputs: Inputs) -> None:
    """Admission control and the operator would see other figures."""
    inputs.add('a1', work=0.4)
    inputs.add('a2', work=0.1)
    inputs.add('a3', 'draining', work=0.2)
    inputs.add('a4')
    inputs.report_slowdown('a2', 2, age=0)
    steering = inputs.driver.steering
    steering.pool.by_name['a4'].missing_since = 1
    usable = choice.list_usable(steering, 'catalog')
    best = choice.find_best(steering, usable, ENDPOINT)
    assert best is not None
    assert best[0].name == 'a2'
    assert best[1] == pytest.approx(0.2)
    found = choice.explain_candidates(steering, 'catalog', ENDPOINT)
    assert [each.name for each in found] == ['a2', 'a1']
    assert completion.expected_completion(found[0], COST) == best[1]
    assert choice.find_best(steering, [], ENDPOINT) is None


def test_free_slot_of_a_suspected_upstream_does_not_count(
    inputs: Inputs,
) -> None:
    """A flow would be admitted for a slot that it may not get."""
    inputs.add('a1')
    inputs.add('a2')
    steering = inputs.driver.steering
    usable = choice.list_usable(steering, 'catalog')
    first, second = usable
    assert choice.has_free_slot(steering, usable)
    first.busy = 2
    second.missing_since = 1
    assert not choice.has_free_slot(steering, usable)
    first.missing_since = 1
    assert choice.has_free_slot(steering, usable)
    second.busy = 2
    assert not choice.has_free_slot(steering, usable)


@pytest.mark.parametrize('name', CHOICE_CASES)
def test_who_may_be_chosen_is_unchanged(
    monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    """Suspicion, ejection, and upstreams tried before count as with counts."""
    replace_estimates(
        monkeypatch,
        lambda steering, upstream: COST * count_busy(upstream, steering.now),
    )
    case_by_name = {case.name: case for case in CASES}
    play_case(WorkScenario(), case_by_name[name])
