"""Play the cases of test-data/steering.test, and random packets."""

from collections import Counter
from types import MappingProxyType

import pytest
from hypothesis import given, settings, strategies

from marlbend.platform.header import read_packet
from marlbend.steering import Outcome, Publication, RouteSpec, publish_routes
from marlbend.steering.upstreams import derive_cookie, register_upstream
from marlbend.test.cases import Case, read_cases
from marlbend.test.steering import Play

CASES = read_cases('steering.test')


class Scenario(Play):
    """Add the steps that compare with what happened before."""

    def __init__(self) -> None:
        super().__init__()
        self.served = 0

    def restart(self) -> None:
        """Start anew with the same routes and upstreams."""
        entries = [known.entry for known in self.steering.pool.by_name.values()]
        self.start(self.steering.local_instance.domain)
        self.version -= 1
        self.publish()
        for entry in entries:
            register_upstream(self.steering.pool, entry, self.now)
        self.steering.upstreams_known = True

    def hear(self) -> None:
        """Hear from the platform."""
        self.away = False
        self.steering.upstreams_confirmed_at = self.now

    def cookie(self, flow: str, upstream: str) -> None:
        """Let the caller have heard from an upstream last."""
        self.callers[flow].cookie = derive_cookie(upstream)

    def load(self, upstream: str, busy: str) -> None:
        """Let an upstream work on so many requests."""
        self.steering.pool.by_name[upstream].busy = int(busy)

    def cut(self, domain: str) -> None:
        """Expect that a partition was seen."""
        assert domain in self.steering.partition_by_domain

    def serve(self, flows: str, *sizes: str) -> None:
        """Let flows come and go; each upstream answers so many bytes."""
        size_by_name = dict(size.split('=') for size in sizes)
        for _ in range(int(flows)):
            self.served += 1
            flow = f's{self.served}'
            self.sent.clear()
            self.open(flow, 'web')
            self.answer(flow)
            self.reply(flow, size_by_name[self.sent[0]])
            self.fin(flow)

    def avoided(self, *names: str) -> None:
        """Expect that just these upstreams get no new flow."""
        found = {
            known.name
            for known in self.steering.pool.by_name.values()
            if known.outlier_state.ejected_until > self.now
        }
        assert found == set(names) - {'nobody'}

    def older(self, name: str, service: str) -> None:
        """Bring an older version, which changes nothing."""
        spec = RouteSpec(
            name, name.encode().ljust(6, b'.'), ((service, 1),), True
        )
        older = Publication(self.version - 1, (spec,), {})
        assert not publish_routes(self.steering.routes, older, self.now)


# What a step may expect beside the very packets that are sent.
ALLOWED_BY_WORD = MappingProxyType(
    {
        'same-flow': ('b1', 'b2'),
        'b': ('b1', 'b2'),
        'not-a1': ('a2', 'a3'),
    }
)


@pytest.mark.parametrize('case', CASES, ids=[case.name for case in CASES])
def test_steering(case: Case) -> None:
    play = Scenario()
    last = ''
    for line in case.lines_of('steps'):
        step, _, expected = (part.strip() for part in line.partition('->'))
        verb, *rest = step.split()
        play.sent.clear()
        getattr(play, verb)(*rest)
        found = ' '.join(play.sent) or 'nothing'
        wanted = last if expected == 'same' else expected
        allowed = ALLOWED_BY_WORD.get(expected, (wanted,))
        assert not expected or found in allowed, f'{line}: {found}'
        last = found if play.sent else last


def test_equal_cookies_leave_one_upstream_in_use() -> None:
    """Two names with one digest: only the first of them gets new flows."""
    first, second = find_collision()
    play = Play()
    play.route('web', 'catalog')
    play.upstream(second, 'catalog', 'a')
    play.upstream(first, 'catalog', 'a')
    for number in range(8):
        play.open(f'f{number}', 'web')
    assert set(play.sent) == {min(first, second)}


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


def test_flows_spread_over_slots() -> None:
    play = Play()
    play.route('web', 'catalog')
    play.upstream('a1', 'catalog', 'a', 'slots=2')
    play.upstream('a2', 'catalog', 'a', 'slots=4')
    for number in range(60):
        play.open(f'f{number}', 'web')
    counts = Counter(play.sent)
    assert abs(counts['a2'] - 2 * counts['a1']) <= 3


def test_cold_upstream_gets_no_more_than_its_rate_from_all() -> None:
    """Eight instances that know each other keep the sum of a second."""
    names = [f'n{number}:a' for number in range(8)]
    plays = []
    for number, own in enumerate(names):
        play = Play()
        play.steering.local_instance.name = own.partition(':')[0]
        play.route('web', 'catalog')
        play.ramp('catalog', '6')
        play.upstream('cold', 'catalog', 'a', 'cold=30')
        others = names[:number] + names[number + 1 :]
        play.peers(*others)
        first = (play.steering.local_instance.name, 'a')
        play.steering.local_instance.peers = (
            first,
            *play.steering.local_instance.peers[1:],
        )
        plays.append(play)
    opened: list[float] = []
    for moment in range(400):
        for play in plays:
            play.wait('0.01')
            play.sent.clear()
            play.open(f'f{moment}', 'web')
            opened.extend(moment / 100 for name in play.sent if name == 'cold')
    for start in opened:
        within = sum(start <= moment < start + 1 for moment in opened)
        assert within <= 6 * 1.5 + 5
    assert len(opened) >= 4 * 6 * 0.5


def test_crowd_spreads_evenly_and_recovers() -> None:
    """A burst beyond all slots is spread, and nothing of it stays."""
    play = Play()
    play.route('web', 'catalog')
    for number in range(4):
        play.upstream(f'a{number}', 'catalog', 'a')
    for number in range(400):
        play.open(f'f{number}', 'web')
    counts = Counter(play.sent)
    assert max(counts.values()) - min(counts.values()) <= 4
    for number in range(400):
        play.fin(f'f{number}')
    assert all(
        known.busy == known.flows == 0
        for known in play.steering.pool.by_name.values()
    )


@settings(max_examples=200, deadline=None, derandomize=True)
@given(strategies.binary(max_size=80))
def test_any_datagram_is_counted_and_reaches_no_wrong_service(
    datagram: bytes,
) -> None:
    play = Play()
    play.route('web', 'catalog')
    play.upstream('a1', 'catalog', 'a')
    packet = read_packet(datagram)
    if packet is None:
        return
    play.receive(packet)
    assert set(play.sent) <= {'a1', 'reset'}
    assert sum(play.steering.counts) >= 1


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(
                ('open', 'copy', 'answer', 'more', 'fin', 'ack')
            ),
            strategies.integers(0, 5),
            strategies.sampled_from(('', 's1', 'a1', '?')),
        ),
        max_size=60,
    )
)
def test_any_order_of_packets_keeps_services_apart(
    steps: list[tuple[str, int, str]],
) -> None:
    play = Play()
    play.route('web', 'catalog')
    play.upstream('a1', 'catalog', 'a')
    play.upstream('a2', 'catalog', 'a')
    play.upstream('s1', 'survey', 'a')
    for verb, number, forged in steps:
        flow = f'f{number}'
        if flow not in play.callers:
            play.open(flow, 'web')
        if forged:
            play.forge(flow, forged)
        elif verb == 'open':
            play.open(flow, 'web')
        else:
            getattr(play, verb)(flow)
        play.advance(0.01)
    assert 's1' not in play.sent
    busy = [known.busy for known in play.steering.pool.by_name.values()]
    flows = [known.flows for known in play.steering.pool.by_name.values()]
    assert sum(flows) == len(play.steering.flow_by_key)
    assert min(busy) >= 0
    assert all(one <= other for one, other in zip(busy, flows, strict=True))
    assert play.steering.counts[Outcome.DROPPED_SEND] == 0
