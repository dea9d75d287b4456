"""Run the cases of test-data/steering.test, and send random packets."""

from collections import Counter
from types import MappingProxyType

import pytest
from hypothesis import given, settings, strategies

from marlbend.platform.header import decode_packet
from marlbend.steering import Outcome, Publication, RouteSpec, update_routes
from marlbend.steering.placement.outlier_detection import (
    MAX_EJECTION_SECONDS,
    eject_if_outlier,
)
from marlbend.steering.upstreams import derive_cookie, register_upstream
from marlbend.test.cases import Case, read_cases
from marlbend.test.steering import SteeringDriver

CASES = read_cases('steering.test')


class Scenario(SteeringDriver):
    """Add the steps that only these cases use."""

    def __init__(self) -> None:
        super().__init__()
        self.flows_served = 0

    def restart(self) -> None:
        """Restart the instance with the same routes and upstreams."""
        entries = [known.entry for known in self.steering.pool.by_name.values()]
        self.start(self.steering.local_instance.domain)
        self.version -= 1
        self.publish()
        for entry in entries:
            register_upstream(self.steering.pool, entry, self.now)
        self.steering.upstreams_known = True

    def confirm_upstreams(self) -> None:
        """End an outage of the platform, which confirms the upstreams now."""
        self.platform_is_down = False
        self.steering.upstreams_confirmed_at = self.now

    def echo_cookie(self, flow: str, upstream: str) -> None:
        """Set the cookie that the caller echoes to that of an upstream."""
        self.callers[flow].cookie = derive_cookie(upstream)

    def set_busy(self, upstream: str, busy: str) -> None:
        """Set the number of requests in progress at an upstream."""
        self.steering.pool.by_name[upstream].busy = int(busy)

    def expect_unanswered(self, upstream: str, count: str) -> None:
        """Check how many unanswered packets count against an upstream."""
        known = self.steering.pool.by_name[upstream]
        assert known.liveness.unanswered == int(count)

    def expect_partition(self, domain: str) -> None:
        """Check that a partition of a domain was detected."""
        assert domain in self.steering.partition_by_domain

    def serve(self, flows: str, *sizes: str) -> None:
        """Run complete flows, with a response size for each upstream."""
        size_by_name = dict(size.split('=') for size in sizes)
        for _ in range(int(flows)):
            self.flows_served += 1
            flow = f's{self.flows_served}'
            self.sent.clear()
            self.open(flow, 'web')
            self.establish(flow)
            self.complete_request(flow, size_by_name[self.sent[0]])
            self.fin(flow)

    def expect_ejected(self, *names: str) -> None:
        """Check that exactly these upstreams are ejected, or `none`."""
        found = {
            known.name
            for known in self.steering.pool.by_name.values()
            if known.outlier_state.ejected_until > self.now
        }
        assert found == set(names) - {'none'}

    def publish_older(self, name: str, service: str) -> None:
        """Publish an older version and check that it is ignored."""
        spec = RouteSpec(
            name, name.encode().ljust(6, b'.'), ((service, 1),), True
        )
        older = Publication(self.version - 1, (spec,), {})
        assert not update_routes(self.steering.routes, older, self.now)


# Expectations that allow any one of several upstreams.
UPSTREAMS_BY_WORD = MappingProxyType(
    {
        'any-b': ('b1', 'b2'),
        'not-a1': ('a2', 'a3'),
    }
)


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_steering(case: Case) -> None:
    play_case(Scenario(), case)


def play_case(driver: Scenario, case: Case) -> None:
    """Run the steps of a case, and check what each of them sends."""
    last = ''
    for line in case.lines_of('steps'):
        step, _, expected = (part.strip() for part in line.partition('->'))
        verb, *rest = step.split()
        driver.sent.clear()
        getattr(driver, verb)(*rest)
        found = ' '.join(driver.sent) or 'nothing'
        wanted = last if expected == 'same' else expected
        allowed = UPSTREAMS_BY_WORD.get(expected, (wanted,))
        assert not expected or found in allowed, f'{line}: {found}'
        last = found if driver.sent else last


def test_upstream_with_conflicting_cookie_gets_no_new_flow() -> None:
    """Of two names with the same cookie, only the first gets new flows."""
    first, second = find_collision()
    driver = SteeringDriver()
    driver.route('web', 'catalog')
    driver.upstream(second, 'catalog', 'a')
    driver.upstream(first, 'catalog', 'a')
    for number in range(8):
        driver.open(f'f{number}', 'web')
    assert set(driver.sent) == {min(first, second)}


@pytest.mark.parametrize('is_later_first', [False, True])
def test_open_flows_stay_when_another_name_has_the_same_cookie(
    *, is_later_first: bool
) -> None:
    """A new upstream would get the flows of the other one, and reset them.

    An instance may learn of the later one first.
    """
    later, earlier = sorted(find_collision())
    driver = SteeringDriver()
    driver.route('web', 'catalog')
    entries = [(earlier, 'born=5'), (later, 'born=9')]
    if is_later_first:
        entries.reverse()
    for number, (name, born) in enumerate(entries):
        driver.upstream(name, 'catalog', 'a', born)
        driver.open(f'f{number}', 'web')
    driver.sent.clear()
    driver.establish('f0')
    driver.open('f2', 'web')
    assert set(driver.sent) == {earlier}


def test_upstream_that_was_ejected_very_often_is_ejected_again() -> None:
    """The ejection time overflowed, and the packet of a caller raised."""
    driver = Scenario()
    driver.route('web', 'catalog')
    for name in ('a1', 'a2', 'a3'):
        driver.upstream(name, 'catalog', 'a')
    upstream = driver.steering.pool.by_name['a1']
    upstream.outlier_state.ejections = 2_000
    upstream.outlier_state.ejected_until = driver.now
    upstream.outlier_state.short_responses = 9
    upstream.outlier_state.responses = 9
    eject_if_outlier(driver.steering, upstream)
    seconds = upstream.outlier_state.ejected_until - driver.now
    assert seconds == MAX_EJECTION_SECONDS


def find_collision() -> tuple[str, str]:
    """Return two names with the same cookie."""
    seen: dict[int, str] = {}
    for number in range(500_000):
        name = f'i-{number:010x}'
        cookie = derive_cookie(name)
        other = seen.setdefault(cookie, name)
        if other != name:
            return other, name
    return 'plumless', 'buckeroo'


def test_flows_are_distributed_in_proportion_to_slots() -> None:
    driver = SteeringDriver()
    driver.route('web', 'catalog')
    driver.upstream('a1', 'catalog', 'a', 'slots=2')
    driver.upstream('a2', 'catalog', 'a', 'slots=4')
    for number in range(60):
        driver.open(f'f{number}', 'web')
    counts = Counter(driver.sent)
    assert abs(counts['a2'] - 2 * counts['a1']) <= 3


def test_instances_share_the_warm_up_rate() -> None:
    """Eight instances that know each other share one warm-up rate."""
    names = [f'n{number}:a' for number in range(8)]
    drivers = []
    for number, own in enumerate(names):
        driver = SteeringDriver()
        driver.steering.local_instance.name = own.partition(':')[0]
        driver.route('web', 'catalog')
        driver.warm_up_rate('catalog', '6')
        driver.upstream('cold', 'catalog', 'a', 'cold=30')
        others = names[:number] + names[number + 1 :]
        driver.peers(*others)
        first = (driver.steering.local_instance.name, 'a')
        driver.steering.local_instance.live_members = (
            first,
            *driver.steering.local_instance.live_members[1:],
        )
        drivers.append(driver)
    opened: list[float] = []
    for moment in range(400):
        for driver in drivers:
            driver.wait('0.01')
            driver.sent.clear()
            driver.open(f'f{moment}', 'web')
            opened.extend(
                moment / 100 for name in driver.sent if name == 'cold'
            )
    for start in opened:
        within = sum(start <= moment < start + 1 for moment in opened)
        assert within <= 6 * 1.5 + 5
    assert len(opened) >= 4 * 6 * 0.5


def test_overload_is_spread_evenly_and_leaves_no_load() -> None:
    """A burst beyond all slots is spread evenly, and counts return to zero."""
    driver = SteeringDriver()
    driver.route('web', 'catalog')
    for number in range(4):
        driver.upstream(f'a{number}', 'catalog', 'a')
    for number in range(400):
        driver.open(f'f{number}', 'web')
    counts = Counter(driver.sent)
    assert max(counts.values()) - min(counts.values()) <= 4
    for number in range(400):
        driver.fin(f'f{number}')
    assert all(
        known.busy == known.flows == 0
        for known in driver.steering.pool.by_name.values()
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(strategies.binary(max_size=80))
def test_random_datagram_is_counted_and_reaches_no_other_service(
    datagram: bytes,
) -> None:
    driver = SteeringDriver()
    driver.route('web', 'catalog')
    driver.upstream('a1', 'catalog', 'a')
    packet = decode_packet(datagram)
    if packet is None:
        return
    driver.receive(packet)
    assert set(driver.sent) <= {'a1', 'reset'}
    assert sum(driver.steering.counts) >= 1


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                (
                    'open',
                    'retransmit_syn',
                    'establish',
                    'send_data',
                    'fin',
                    'ack',
                )
            ),
            strategies.integers(0, 5),
            strategies.sampled_from(('', 's1', 'a1', '?')),
        ),
        max_size=60,
    )
)
def test_random_packet_order_never_crosses_services(
    steps: list[tuple[str, int, str]],
) -> None:
    driver = SteeringDriver()
    driver.route('web', 'catalog')
    driver.upstream('a1', 'catalog', 'a')
    driver.upstream('a2', 'catalog', 'a')
    driver.upstream('s1', 'survey', 'a')
    for verb, number, forged in steps:
        flow = f'f{number}'
        if flow not in driver.callers:
            driver.open(flow, 'web')
        if forged:
            driver.forge(flow, forged)
        elif verb == 'open':
            driver.open(flow, 'web')
        else:
            getattr(driver, verb)(flow)
        driver.advance(0.01)
    assert 's1' not in driver.sent
    busy = [known.busy for known in driver.steering.pool.by_name.values()]
    flows = [known.flows for known in driver.steering.pool.by_name.values()]
    assert sum(flows) == len(driver.steering.flow_by_key)
    assert min(busy) >= 0
    assert all(one <= other for one, other in zip(busy, flows, strict=True))
    assert driver.steering.counts[Outcome.DROPPED_SEND] == 0
