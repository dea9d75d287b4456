"""Test admission control, shares of callers and held flows.

The load is an overload that no instance sees as a whole.
"""

import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable, Iterable
from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from marlbend.steering.packet import Packet
from marlbend.steering.placement.admission import (
    DISBELIEF_SECONDS,
    MAX_COUNTERS,
    AdmissionRequest,
    AdmissionState,
    Verdict,
    VerdictKind,
    allowed_wait,
    decide,
    find_limit,
    record_served,
    record_shed,
    record_verdict,
)
from marlbend.steering.placement.callers import (
    MAX_CALLERS,
    CallerShares,
    is_over_share,
    record_admitted,
    record_refused,
    was_refused,
)
from marlbend.steering.placement.held_flows import (
    MAX_HELD_FLOWS,
    HeldFlows,
    drop_held,
    find_deadline,
    find_next,
    hold,
    release,
    take_due,
)
from marlbend.steering.placement.load_shedding import (
    MIN_OVERLOAD_PER_SLOT,
    PRIORITY_SHARE,
    TARGET_SHARE,
)

INSTANCES = 30
UPSTREAMS = 20
SLOTS = 2
QUEUE = 8
COST_SECONDS = 0.05
# Requests per second.
CAPACITY = UPSTREAMS * SLOTS / COST_SECONDS
TARGET_SECONDS = 0.9
WARM_UP_SECONDS = 3.0
RETRY_SECONDS = 0.004
CALLERS = 40
GREEDY_CALLERS = 4
GREEDY_FACTOR = 10
TRIES = 3
# Goals: the served share of the worst-off ordinary caller over the mean, that
# of ordinary callers over greedy ones, and the sum over the present rule's.
WORST_CALLER_SHARE = 0.8
GREEDY_MARGIN = 1.25
CAPACITY_SHARE = 0.97
MOSTLY_REFUSED = 0.03


# A request: its caller, its priority, its start and the try in progress.
Try = SimpleNamespace
Event = tuple[float, int, Callable[..., None], Any]


class Overload:
    """Play callers, instances that know of their own flows, and upstreams."""

    def __init__(self, factor: float, *, is_present_rule: bool = False) -> None:
        self.random = Random(1)
        self.rate = CAPACITY * factor
        self.is_present_rule = is_present_rule
        self.states = [AdmissionState() for _ in range(INSTANCES)]
        self.own = [Counter[int]() for _ in range(INSTANCES)]
        self.busy = Counter[int]()
        self.queues: list[deque[Try]] = [deque() for _ in range(UPSTREAMS)]
        self.events: list[Event] = []
        self.numbers = itertools.count()
        self.counts: Counter[tuple[str, int]] = Counter()
        greedy = itertools.repeat(GREEDY_FACTOR, GREEDY_CALLERS)
        self.weights = [*itertools.repeat(1, CALLERS), *greedy]

    def run(self, seconds: float) -> dict[str, float]:
        self.schedule(0, self.arrive, None)
        while self.events:
            now, _, action, request = heapq.heappop(self.events)
            if now > seconds and action == self.arrive:
                continue
            action(now, request)
        return self.summarize(seconds - WARM_UP_SECONDS)

    def schedule(self, at: float, act: Callable[..., None], of: Any) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), act, of))

    def arrive(self, now: float, _: None) -> None:
        self.schedule(now + self.random.expovariate(self.rate), self.arrive, _)
        number = self.random.choices(range(len(self.weights)), self.weights)[0]
        steps = self.random.randrange(2)
        request = Try(number=number, steps=steps, started_at=now, tries=0)
        self.count('asked', request)
        self.attempt(now, request)

    def attempt(self, now: float, request: Try) -> None:
        request.tries += 1
        request.instance = self.draw_instance(request)
        self.count('tries', request)
        own = self.own[request.instance]
        request.upstream = min(
            self.list_upstreams(request),
            key=lambda each: own[each] + self.random.random(),
        )
        if not self.admits(request, own[request.upstream], now):
            self.retry(now, request)
            return
        own[request.upstream] += 1
        queue = self.queues[request.upstream]
        if self.busy[request.upstream] < SLOTS:
            self.busy[request.upstream] += 1
            self.serve(now, request)
        elif len(queue) < QUEUE:
            queue.append(request)
        else:
            self.schedule(now + RETRY_SECONDS, self.shed, request)

    def draw_instance(self, request: Try) -> int:
        return self.random.randrange(INSTANCES)

    def list_upstreams(self, request: Try) -> Iterable[int]:
        return range(UPSTREAMS)

    def admits(self, request: Try, own: int, now: float) -> bool:
        if self.is_present_rule:
            return fits_present_rule(request.steps, own)
        asked = make_request(bytes((10, 0, 0, request.number)), request.steps)
        asked.has_free_slot = own < SLOTS
        asked.completion_seconds = (own / SLOTS + 1) * COST_SECONDS
        return ask(self.states[request.instance], asked, now)

    def serve(self, now: float, request: Try) -> None:
        seconds = COST_SECONDS * self.random.lognormvariate(-0.125, 0.5)
        self.schedule(now + seconds, self.complete, request)

    def retry(self, now: float, request: Try) -> None:
        if request.tries < TRIES:
            self.schedule(now + RETRY_SECONDS, self.attempt, request)

    def shed(self, now: float, request: Try) -> None:
        self.own[request.instance][request.upstream] -= 1
        self.count('shed', request)
        state = self.states[request.instance]
        record_shed(state, 'catalog', now, had_free_slot=True)
        self.retry(now, request)

    def complete(self, now: float, request: Try) -> None:
        self.own[request.instance][request.upstream] -= 1
        if self.queues[request.upstream]:
            self.serve(now, self.queues[request.upstream].popleft())
        else:
            self.busy[request.upstream] -= 1
        in_time = now - request.started_at <= TARGET_SECONDS
        state = self.states[request.instance]
        record_served(state, 'catalog', in_time=in_time, now=now)
        self.count('served' if in_time else 'late', request)

    def count(self, what: str, request: Try) -> None:
        if request.started_at > WARM_UP_SECONDS:
            self.counts[what, -request.steps - 1] += 1
            self.counts[what, request.number] += 1

    def share(self, what: str, of: str, *keys: int) -> float:
        part, total = (
            sum(self.counts[name, key] for key in keys) for name in (what, of)
        )
        return part / total

    def summarize(self, seconds: float) -> dict[str, float]:
        everyone = range(len(self.weights))
        done = sum(self.counts['served', each] for each in everyone)
        shares = [self.share('served', 'asked', each) for each in everyone]
        mean = sum(shares[:CALLERS]) / CALLERS
        return {
            'high': self.share('served', 'asked', -2),
            'low': self.share('served', 'asked', -1),
            'shed': self.share('shed', 'tries', -1, -2),
            'worst': min(shares[:CALLERS]) / mean,
            'ordinary': mean,
            'greedy': sum(shares[CALLERS:]) / GREEDY_CALLERS,
            'capacity_used': done / seconds / CAPACITY,
        }


def fits_present_rule(steps: int, busy: int) -> bool:
    """Restate the condition of `load_shedding`."""
    share = TARGET_SHARE * (1 + PRIORITY_SHARE * steps)
    limit = max(share * TARGET_SECONDS / COST_SECONDS, MIN_OVERLOAD_PER_SLOT)
    return busy < limit * SLOTS


def make_request(caller: bytes, steps: int = 0) -> AdmissionRequest:
    """Return a request of a measured route while all slots are busy."""
    request = AdmissionRequest('catalog', b'route.', caller)
    request.target_seconds = TARGET_SECONDS
    request.priority_steps = steps
    request.completion_seconds = COST_SECONDS
    request.cost_seconds = COST_SECONDS
    request.is_measured = True
    return request


def ask(state: AdmissionState, request: AdmissionRequest, now: float) -> bool:
    """Decide and record; return whether the flow was admitted."""
    verdict = decide(state, request, now)
    record_verdict(state, request, verdict, now)
    return verdict.kind is VerdictKind.ADMIT


def shed_many(state: AdmissionState, count: int, now: float) -> None:
    for _ in range(count):
        record_shed(state, 'catalog', now, had_free_slot=True)


@pytest.mark.parametrize(
    ('factor', 'high', 'low', 'shed'),
    [(1.6, 0.97, 0.2, 0.08), (5.0, 0.35, 0.01, 0.04)],
)
def test_overload_without_heartbeats(
    factor: float, high: float, low: float, shed: float
) -> None:
    """Guard against instances that each admit what fits their own view."""
    present = Overload(factor, is_present_rule=True).run(11)
    figures = Overload(factor).run(11)
    assert figures['high'] > max(high, 1.5 * present['high'])
    assert figures['low'] > low
    assert figures['shed'] < shed < present['shed'] / 5
    assert figures['worst'] > WORST_CALLER_SHARE
    assert figures['ordinary'] > GREEDY_MARGIN * figures['greedy']
    assert figures['capacity_used'] > CAPACITY_SHARE * present['capacity_used']


def test_nothing_is_refused_without_need() -> None:
    """Guard against refusals while a slot is free, or without estimates."""
    state = AdmissionState()
    request = make_request(b'abcd')
    request.completion_seconds = 10
    assert decide(state, request, 1).reason == 'no room in time'
    request.has_free_slot = True
    record_shed(state, 'catalog', 1)
    assert ask(state, request, 1)
    request.has_free_slot = False
    request.is_measured = False
    assert ask(state, request, 1)
    request.is_measured = True
    request.target_seconds = 0
    assert ask(state, request, 1)


def test_ejected_upstream_limits_nothing() -> None:
    """Guard against refusals for the three errors before an ejection."""
    state = AdmissionState()
    shed_many(state, 3, 1)
    request = make_request(b'abcd')
    request.has_free_slot = True
    assert all(ask(state, request, 1) for _ in range(50))


def test_limit_recovers() -> None:
    """Guard against refusals after the overload, with and without flows."""
    state = AdmissionState()
    request = make_request(b'abcd')
    ask(state, request, 1)
    shed_many(state, 1_000, 1)
    assert find_limit(state, 'catalog', 0, 1) == pytest.approx(0.005)
    assert find_limit(state, 'catalog', 0, 7) == 1
    for _ in range(600):
        record_served(state, 'catalog', in_time=True, now=1)
    assert find_limit(state, 'catalog', 0, 1) == 1
    request.has_free_slot = True
    shed_many(state, 1_000, 20)
    assert ask(state, request, 20 + 1.1 * DISBELIEF_SECONDS)


def test_lower_priority_is_limited_first() -> None:
    """Guard against a higher priority that is refused while lower ones run."""
    state = AdmissionState()
    ask(state, make_request(b'abcd', 2), 1)
    for sheds in range(60):
        shed_many(state, 1, 1)
        limits = [find_limit(state, 'catalog', steps, 1) for steps in range(3)]
        assert limits == sorted(limits)
        assert limits[0] < MOSTLY_REFUSED or limits[1] == 1, sheds


def test_overload_of_one_service_does_not_touch_another() -> None:
    state = AdmissionState()
    shed_many(state, 100, 1)
    other = make_request(b'abcd')
    other.service = 'survey'
    assert all(ask(state, other, 1) for _ in range(100))


def test_instance_that_starts_in_an_overload() -> None:
    """Guard against an instance that admits for long what others refuse."""
    state = AdmissionState()
    admitted = 0
    for number in range(100):
        now = 1 + number / 50
        if ask(state, make_request(bytes((1, 2, 3, number))), now):
            admitted += 1
            shed_many(state, 1, now)
    assert admitted < 25


def test_refused_callers_are_admitted_in_the_end() -> None:
    """Guard against the starvation of one that asks in vain, or asks a lot."""
    state = AdmissionState()
    waits, longest, served = (Counter[int]() for _ in range(3))
    random = Random(1)
    ask(state, make_request(b'abcd'), 0)
    room: float = 0
    for step in range(20_000):
        now = step / 200
        # A tenth of the flows fits, and two thirds are those of caller 0.
        room = min(room + 0.1, 5)
        number = 0 if step % 3 else random.randrange(1, 40)
        waits[number] += 1
        if ask(state, make_request(bytes((1, 2, 3, number))), now):
            if room < 1:
                shed_many(state, 1, now)
                continue
            room -= 1
            record_served(state, 'catalog', in_time=True, now=now)
            served[number] += 1
            waits[number] = 0
        longest[number] = max(longest[number], waits[number])
    ordinary = [served[number] for number in range(1, 40)]
    assert min(ordinary) > 0.7 * sum(ordinary) / len(ordinary)
    assert max(ordinary) < served[0] < 3 * max(ordinary)
    assert max(longest[number] for number in range(1, 40)) < 25
    assert longest[0] < 1_000


def test_tight_target_is_not_starved_by_long_ones() -> None:
    """Guard against queues filled by routes with a longer target."""
    state = AdmissionState()
    for number in range(50):
        long_request = make_request(bytes((1, 2, 3, number)))
        long_request.completion_seconds = 0.6
        assert ask(state, long_request, 1)
    tight = make_request(b'abcd')
    tight.target_seconds = 0.5
    tight.completion_seconds = 0.6
    assert not ask(state, tight, 1)
    tight.is_route_served = False
    assert ask(state, tight, 1)


def test_refusal_gives_precedence_once() -> None:
    """Guard against callers whose retries all fail, or who keep precedence."""
    state = AdmissionState()
    for caller in (b'abcd', b'efgh'):
        record_verdict(state, make_request(caller), refusal(), 1)
    first = make_request(b'abcd')
    usual = allowed_wait(state, make_request(b'ijkl'), 1)
    first.completion_seconds = 1.2 * usual
    assert ask(state, first, 1.5)
    assert not ask(state, first, 1.5)
    first.caller = b'efgh'
    assert not ask(state, first, 3.1)


def refusal() -> Verdict:
    return Verdict(VerdictKind.REFUSE, 'priority')


def test_caller_over_its_share_waits_less() -> None:
    """Guard against more flows or other ports that enlarge a share.

    The ports are not part of the caller, so its flows count together.
    """
    state = AdmissionState()
    shed_many(state, 1, 1)
    for number in range(20):
        ask(state, make_request(bytes((1, 2, 3, number))), 1)
        ask(state, make_request(b'abcd'), 1)
    usual = allowed_wait(state, make_request(bytes((1, 2, 3, 4))), 1)
    greedy = make_request(b'abcd')
    greedy.completion_seconds = 0.6 * usual
    assert decide(state, greedy, 1).reason == 'caller share'
    assert decide(state, greedy, 100).kind is VerdictKind.ADMIT


def test_full_table_of_callers() -> None:
    """Guard against unbounded memory, and a total that drifts."""
    shares = CallerShares()
    for number in range(3 * MAX_CALLERS):
        caller = number.to_bytes(4, 'big')
        now = 1 + number / 20_000
        record_admitted(shares, caller, 0.05, now)
        record_refused(shares, b'abcd', now)
    assert len(shares.by_caller) == MAX_CALLERS
    assert was_refused(shares, b'abcd', 1.5)
    assert not is_over_share(shares, b'\x00\x00\x00\x01', 1.5)
    kept = sum(share.work for share in shares.by_caller.values())
    assert shares.total == pytest.approx(kept, rel=0.05)
    for number in range(MAX_CALLERS):
        record_refused(shares, b'abcd', 1_000 + number / 1_000)
    assert set(shares.by_caller) == {b'abcd'}
    assert shares.total == pytest.approx(0, abs=1e-6)


def test_counters_are_bounded() -> None:
    state = AdmissionState()
    for number in range(2 * MAX_COUNTERS):
        request = make_request(b'abcd')
        request.endpoint = number.to_bytes(6, 'big')
        record_verdict(state, request, refusal(), 1)
    assert sum(state.counts.values()) == 2 * MAX_COUNTERS
    assert len(state.counts) == MAX_COUNTERS + 1


@pytest.mark.parametrize('later', [5, 5.001, 1e9])
def test_clock_that_stands_still_or_jumps(later: float) -> None:
    """Guard against overflows, and a limit that stays after a pause."""
    state = AdmissionState()
    for _ in range(10_000):
        shed_many(state, 1, 5)
        ask(state, make_request(b'abcd'), 5)
    ask(state, make_request(b'abcd', 1_000), 5)
    assert 0 < find_limit(state, 'catalog', 0, later) <= 1
    request = make_request(b'abcd')
    assert ask(state, request, later) == (later > 100)


def test_flow_is_held_only_for_certain_capacity() -> None:
    """Guard against waits that help nobody."""
    state = AdmissionState()
    request = make_request(b'abcd')
    request.completion_seconds = 0.8
    assert decide(state, request, 1).kind is VerdictKind.REFUSE
    request.room_seconds = 0.09
    assert decide(state, request, 1).reason == 'wait'
    request.target_seconds = 0.13
    assert decide(state, request, 1).kind is VerdictKind.REFUSE
    request.target_seconds = TARGET_SECONDS
    shed_many(state, 10, 1)
    assert decide(state, request, 1).kind is VerdictKind.REFUSE


def make_syn(key: bytes) -> Packet:
    syn = Packet(b'')
    syn.flow_key = key
    return syn


def test_held_flows_are_ordered_and_bounded() -> None:
    """Guard against a retransmission that extends the wait."""
    held = HeldFlows()
    for number in range(MAX_HELD_FLOWS):
        assert hold(held, make_syn(bytes((number,))), 1.15 - number / 1e3, 1, 0)
    assert not hold(held, make_syn(b'more'), 1.1, 1)
    assert hold(held, make_syn(bytes((9,))), 1.149, 1.01, 5)
    found = find_next(held, 1)
    assert found is not None
    assert found.syn.flow_key == bytes((63,))
    release(held, bytes((63,)))
    assert hold(held, make_syn(b'high'), 1.14, 1, 1)
    found = find_next(held, 1)
    assert found is not None
    assert found.syn.flow_key == b'high'
    release(held, b'high')
    assert not list(take_due(held, 1))
    due = [flow.syn.flow_key[0] for flow in take_due(held, 1.1)]
    assert due == list(range(62, 49, -1))
    assert find_next(held, 1.16) is None


def test_held_flow_has_a_deadline() -> None:
    """Guard against a SYN that waits longer than is known to help."""
    held = HeldFlows()
    assert find_deadline(0.9, 0.05, 1) == pytest.approx(1.15)
    assert find_deadline(0.1, 0.05, 1) == pytest.approx(1.05)
    assert not hold(held, make_syn(b'late'), find_deadline(0.1, 0.2, 1), 1)
    assert hold(held, make_syn(b'long'), 9, 1)
    assert [flow.syn.flow_key for flow in take_due(held, 1.151)] == [b'long']


def test_paused_process_drops_held_flows() -> None:
    """Guard against a reset of a flow that another instance opened.

    The caller has sent the SYN again meanwhile.
    """
    held = HeldFlows()
    hold(held, make_syn(b'syn'), 1.1, 1)
    assert not list(take_due(held, 3))
    hold(held, make_syn(b'syn'), 4.1, 4)
    drop_held(held)
    assert held.dropped == 2
    assert not held.by_key
