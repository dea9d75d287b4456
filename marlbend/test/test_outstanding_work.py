"""Test the tracking of requests in progress, and reports of their work."""

from collections.abc import Callable, Iterable
from functools import partial
from types import MappingProxyType

import msgspec
import pytest
from hypothesis import given, settings, strategies

from marlbend.edge.upstream_updates import (
    merge_upstream_updates,
    updates_for_local_domain,
    updates_for_remote_domain,
    urgent_updates,
)
from marlbend.steering import flows
from marlbend.steering.placement import outstanding_work
from marlbend.steering.placement.choice import IDLE_FLOW_LOAD
from marlbend.steering.placement.method import PlacementMethod
from marlbend.steering.placement.outstanding_work import (
    MAX_REQUESTS,
    find_idle_share,
    own_work,
    total_work,
)
from marlbend.steering.upstreams import Upstream, derive_cookie
from marlbend.test.steering import SteeringDriver
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberUpdate,
    UpstreamUpdate,
    decode_heartbeat,
    encode_heartbeat,
)

COST_BY_ENDPOINT = MappingProxyType({b'slow..': 0.4, b'fast..': 0.004})
FIELDS_OF_FORMER_RELEASE = 8
REQUESTS, WORK, _ = PlacementMethod


class Instance(SteeringDriver):
    """An instance that places by work, with upstreams in three domains."""

    def __init__(self, name: str = 'me', domain: str = 'a') -> None:
        super().__init__(domain)
        self.steering.local_instance.placement = WORK
        self.update = MemberUpdate(
            name, ('127.0.0.1', 6071), domain, 0, can_read=True
        )
        for route in ('slow', 'fast'):
            self.route(route, 'catalog')
        for upstream in ('a1', 'a2'):
            self.upstream(upstream, 'catalog', 'a', 'slots=2')

    def switch(self) -> None:
        """Change the setting, as a reload does."""
        local_instance = self.steering.local_instance
        is_by_work = local_instance.placement is WORK
        local_instance.placement = REQUESTS if is_by_work else WORK

    def request(self, flow: str, route: str = 'slow') -> Upstream:
        """Open a flow and send a request; return its upstream."""
        self.open(flow, route)
        self.establish(flow)
        self.send_data(flow)
        return self.steering.flow_by_key[self.callers[flow].key].upstream

    def answer_and_send(self, flow: str) -> None:
        """Acknowledge a response with the data of the next request."""
        self.callers[flow].acknowledged += 10
        self.send_data(flow)

    def answer_and_retransmit(self, flow: str) -> None:
        """Acknowledge a response with data that was sent before."""
        self.callers[flow].acknowledged += 10
        self.send(flow, size=10)

    def move(self, flow: str) -> None:
        """Complete the handshake with another upstream than the first."""
        self.open(flow, 'fast')
        self.echo(flow, 'a1' if self.sent[-1] == 'a2' else 'a2')
        self.establish(flow)

    def echo(self, flow: str, upstream: str) -> None:
        """Let the caller echo the cookie of an upstream."""
        self.callers[flow].cookie = derive_cookie(upstream)

    def hear(self, sender: str, domain: str, *updates: UpstreamUpdate) -> None:
        """Merge a heartbeat after encoding and decoding it."""
        member = MemberUpdate(sender, ('127.0.0.1', 1), domain, 0, True)
        heartbeat = Heartbeat((member,), upstreams=updates)
        decoded = decode_heartbeat(encode_heartbeat(heartbeat))
        assert decoded is not None
        merge_upstream_updates(self.steering, member, decoded, self.now)

    def tell(self, domain: str) -> tuple[UpstreamUpdate, ...]:
        """Return the updates in a heartbeat to a domain."""
        if domain == self.update.domain:
            return tuple(updates_for_local_domain(self.steering, self.now))
        return tuple(updates_for_remote_domain(self.steering, domain, self.now))

    def work_of(self, name: str) -> float:
        """Return the known work of an upstream."""
        return total_work(self.steering, self.steering.pool.by_name[name])


@pytest.fixture(autouse=True)
def _set_costs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Set the costs of the routes, whose estimation is tested elsewhere."""
    monkeypatch.setattr(
        outstanding_work,
        'remaining_seconds',
        lambda times, endpoint, age: max(COST_BY_ENDPOINT[endpoint] - age, 0),
    )
    monkeypatch.setattr(
        outstanding_work,
        'expected_seconds',
        lambda times, endpoint: COST_BY_ENDPOINT[endpoint],
    )


def describe(name: str, busy: int, work: int = -1) -> UpstreamUpdate:
    """Return an update with load only."""
    return UpstreamUpdate(derive_cookie(name), busy, 0, -1, -1, work=work)


def find_only(updates: Iterable[UpstreamUpdate]) -> UpstreamUpdate:
    """Return the update of a heartbeat that has one."""
    found = tuple(updates)
    assert len(found) == 1
    return found[0]


def test_work_depends_on_route_and_age() -> None:
    """Counts take a cheap request for as much as a costly or a new one."""
    instance = Instance()
    slow, fast = instance.request('s', 'slow'), instance.request('f', 'fast')
    assert slow is not fast
    instance.wait('0.1')
    assert own_work(instance.steering, slow) == pytest.approx(0.3, abs=0.001)
    assert own_work(instance.steering, fast) == 0


def test_time_in_a_queue_is_no_part_of_the_age() -> None:
    """In an overload, queued requests would look like those of a heavy tail.

    Work of four times the real one refused most flows for lack of room.
    """
    instance = Instance()
    upstream = instance.request('s')
    instance.hear('n-2', 'a', describe(upstream.name, 3))
    instance.advance(0.3)
    # Two of four requests wait, one for each slot, which takes 0.4 s.
    assert own_work(instance.steering, upstream) == pytest.approx(0.4)
    instance.advance(0.2)
    assert own_work(instance.steering, upstream) == pytest.approx(0.3)


def test_syn_counts_as_a_whole_request_until_data() -> None:
    """A handshake takes no work from the request that follows it."""
    instance = Instance()
    instance.open('f', 'slow')
    upstream = instance.steering.pool.by_name[instance.sent[0]]
    instance.advance(0.005)
    assert own_work(instance.steering, upstream) == pytest.approx(0.4)
    instance.establish('f')
    instance.send_data('f')
    instance.advance(0.1)
    assert own_work(instance.steering, upstream) == pytest.approx(0.3)


def test_request_sent_with_an_acknowledgement_is_a_new_one() -> None:
    """Otherwise a flow without pauses would have one request that ages."""
    instance = Instance()
    upstream = instance.request('f')
    instance.advance(0.3)
    instance.answer_and_send('f')
    assert own_work(instance.steering, upstream) == pytest.approx(0.4)


PACKETS = (
    'open establish send_data retransmit retransmit_syn ack fin move'
    ' answer_and_send answer_and_retransmit'
).split()
Step = tuple[str, int]
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from((*PACKETS, 'wait', 'sweep', 'end', 'switch')),
        strategies.integers(0, 5),
    ),
    min_size=30,
    max_size=60,
)


def apply_step(instance: Instance, verb: str, number: int) -> None:
    """Send a packet of one of six flows, or let something else happen."""
    flow = f'f{number}'
    step_by_verb: dict[str, Callable[[], None]] = {
        'wait': lambda: instance.wait(('0.05', '0.3', '2.1')[number % 3]),
        'end': lambda: instance.end(f'a{number % 2 + 2}'),
        'sweep': instance.sweep,
        'switch': instance.switch,
        'open': lambda: instance.open(flow, 'fast'),
    }
    if flow not in instance.callers:
        step_by_verb['open']()
    step = step_by_verb.get(verb) or partial(getattr(instance, verb), flow)
    step()


@pytest.mark.parametrize('can_switch', (False, True))
@settings(max_examples=200, deadline=None, derandomize=True, database=None)
@given(STEPS)
def test_requests_are_those_of_busy_flows(
    can_switch: bool, steps: list[Step]
) -> None:
    """A request left behind would count for as long as its upstream runs."""
    instance = Instance()
    instance.upstream('a3', 'catalog', 'a')
    allowed = [step for step in steps if can_switch or step[0] != 'switch']
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(flows, 'MAX_FLOWS', 4)
        for verb, number in allowed:
            apply_step(instance, verb, number)
            check_requests(instance, are_all_tracked=not can_switch)
    instance.pause('25')
    instance.sweep()
    for known in instance.steering.pool.by_name.values():
        assert not known.work.requests
        assert not own_work(instance.steering, known)


def check_requests(instance: Instance, *, are_all_tracked: bool) -> None:
    """Check that each upstream has the requests of its busy flows."""
    tracked = instance.steering.flow_by_key.values()
    assert all(flow.busy or flow.request is None for flow in tracked)
    for known in instance.steering.pool.by_name.values():
        busy = [
            flow for flow in tracked if flow.upstream is known and flow.busy
        ]
        requests = {flow.request for flow in busy} - {None}
        assert set(known.work.requests) == requests
        assert known.busy == len(busy)
        assert not are_all_tracked or len(requests) == known.busy


def test_request_of_a_flow_that_is_reset_counts_no_longer() -> None:
    instance = Instance()
    upstream = instance.request('f')
    instance.end(upstream.name)
    for seconds in ('0.3', '1'):
        instance.wait(seconds)
        instance.retransmit('f')
    assert instance.sent[-1] == 'reset'
    assert not upstream.work.requests


def test_tracked_requests_are_bounded() -> None:
    """A flood of SYNs takes neither memory nor time without a bound."""
    instance = Instance()
    instance.open('m', 'slow')
    instance.end(instance.sent[0])
    for number in range(MAX_REQUESTS + 10):
        instance.open(f'f{number}', 'slow')
    upstream = instance.steering.pool.by_name[instance.sent[-1]]
    instance.echo('m', upstream.name)
    instance.establish('m')
    assert upstream.busy == MAX_REQUESTS + 11
    assert len(upstream.work.requests) == MAX_REQUESTS
    work = own_work(instance.steering, upstream)
    assert work == pytest.approx(0.4 * upstream.busy)


def test_moved_request_counts_where_its_flow_is() -> None:
    instance = Instance()
    instance.move('f')
    first, second = instance.sent[0], instance.sent[-1]
    assert instance.work_of(first) == 0
    assert instance.work_of(second) == pytest.approx(0.004)


@pytest.mark.parametrize(
    ('domain', 'name', 'late_work'),
    (('a', 'a1', 0.025), ('b', 'a1', 0.025), ('b', 'b1', 0.25)),
)
def test_report_counts_for_one_second(
    domain: str, name: str, late_work: float
) -> None:
    """The work of an instance that is gone would keep flows away.

    Only the total of a remote domain keeps its weight.
    """
    instance = Instance()
    instance.upstream('b1', 'catalog', 'b')
    instance.hear('n-2', domain, describe(name, 3, 250))
    assert instance.work_of(name) == pytest.approx(0.25)
    instance.advance(0.9)
    assert instance.work_of(name) == pytest.approx(late_work)
    instance.advance(0.2)
    assert instance.work_of(name) == 0


def test_domain_report_counts_once() -> None:
    """The total of a domain includes what its instances reported."""
    instance = Instance()
    instance.upstream('b1', 'catalog', 'b')
    instance.hear('n-2', 'b', describe('b1', 3, 250))
    instance.hear('n-3', 'b', describe('b1', 3, 200))
    instance.hear('n-4', 'a', describe('b1', 1, 150))
    assert instance.work_of('b1') == pytest.approx(0.2)


def test_absurd_reports_are_clipped_or_ignored() -> None:
    instance = Instance()
    instance.upstream('c1', 'catalog', 'c')
    report = UpstreamUpdate(
        derive_cookie('a1'), 1, 0, -1, -1, 0, 0, 0, 10**6, 10**6, 10**6
    )
    instance.hear('n-2', 'a', report, describe('unknown', 1, 9))
    instance.hear('n-3', 'b', describe('c1', 1, 900))
    known = instance.steering.pool.by_name['a1']
    assert instance.work_of('a1') == 60
    assert known.reports.by_member['n-2'].slowdown == 16
    assert known.reports.by_member['n-2'].samples == 1000
    assert instance.work_of('c1') == 0


@pytest.mark.parametrize(
    'fields',
    ((-2, 0, 0), (0, -1, 0), (0, 0, -1), (10**9, 0, 0), (float('inf'), 0, 0)),
)
def test_heartbeat_with_impossible_work_is_rejected(
    fields: tuple[float, ...],
) -> None:
    update = (1, 1, 0, -1, -1, 0, 0, 0, *fields)
    member = msgspec.to_builtins(Instance().update)
    datagram = msgspec.msgpack.encode([[member], [], [update]])
    assert decode_heartbeat(datagram) is None


def test_count_of_former_release_is_converted() -> None:
    """Requests of the service's routes count by how many there are of each."""
    instance = Instance()
    for flow in ('f1', 'f2', 'f3'):
        instance.request(flow, 'fast')
    instance.request('s', 'slow')
    for flow in tuple(instance.callers):
        instance.fin(flow)
    update = list(msgspec.to_builtins(describe('a1', 2)))
    former = update[:FIELDS_OF_FORMER_RELEASE]
    member = msgspec.to_builtins(instance.update)
    datagram = msgspec.msgpack.encode([[member], [], [former]])
    heartbeat = decode_heartbeat(datagram)
    assert heartbeat is not None
    merge_upstream_updates(
        instance.steering, heartbeat.members[0], heartbeat, instance.now
    )
    mean = (3 * 0.004 + 0.4) / 4
    assert instance.work_of('a1') == pytest.approx(2 * mean)


class FormerUpdate(msgspec.Struct, array_like=True):
    """The update of an upstream as the former release knows it."""

    cookie: int
    busy: int
    unanswered: int
    unanswered_age: int
    liveness_age: int
    responses: int
    short_responses: int
    ejected_for: int


class FormerHeartbeat(msgspec.Struct, array_like=True):
    """The fields of a heartbeat up to those that this test reads."""

    members: tuple[MemberUpdate, ...]
    topics: tuple[object, ...]
    upstreams: tuple[FormerUpdate, ...]


def test_former_release_reads_the_fields_that_it_knows() -> None:
    instance = Instance()
    upstream = instance.request('f')
    datagram = encode_heartbeat(
        Heartbeat((instance.update,), upstreams=instance.tell('a'))
    )
    former = msgspec.msgpack.decode(datagram, type=FormerHeartbeat)
    found = former.upstreams[0]
    assert (found.cookie, found.busy) == (upstream.cookie, 1)
    assert found.ejected_for == 0


def test_heartbeats_carry_own_work_and_speed() -> None:
    """Samples decay, so that an old speed does not outweigh a recent one."""
    instance = Instance()
    instance.upstream('b1', 'catalog', 'b')
    upstream = instance.request('f')
    upstream.work.speed.weight = 16
    upstream.work.speed.updated_at = instance.now - 3
    instance.hear('n-2', 'a', describe(upstream.name, 1, 50))
    upstream.liveness.last_unanswered_at = instance.now
    for list_updates in (updates_for_local_domain, urgent_updates):
        update = find_only(list_updates(instance.steering, instance.now))
        assert (update.work, update.slowdown, update.samples) == (400, 100, 8)


def test_heartbeats_to_another_domain_carry_the_work_of_the_own_one() -> None:
    instance = Instance()
    upstream = instance.request('f')
    assert not instance.tell('b')
    instance.hear('n-2', 'a', describe(upstream.name, 1, 50))
    update = find_only(instance.tell('b'))
    assert (update.busy, update.work) == (2, 450)
    other = Instance('n-3', 'b')
    other.hear('me', 'a', update)
    assert other.work_of(upstream.name) == pytest.approx(0.45)
    other.request('f')
    assert find_only(other.tell('a')).work == 400


def test_setting_may_change_while_requests_are_in_progress() -> None:
    """A request that was not tracked counts as a whole one of its service."""
    instance = Instance()
    instance.switch()
    upstream = instance.request('f')
    update = find_only(instance.tell('a'))
    assert (update.work, update.slowdown, update.samples) == (-1, 0, 0)
    assert not upstream.work.requests
    instance.switch()
    assert own_work(instance.steering, upstream) == pytest.approx(0.05)
    instance.ack('f')
    instance.send_data('f')
    assert own_work(instance.steering, upstream) == pytest.approx(0.4)
    instance.switch()
    instance.fin('f')
    assert not upstream.work.requests


def measure_idle_share(busy: int, period: int, steps: int) -> float:
    """Return the share for a flow that is busy for a part of each period.

    A step takes 0.1 s.  Flows are swept in all phases of the period.
    """
    instance = Instance()
    instance.request('f')
    for step in range(1, steps):
        instance.advance(0.1)
        if step % period == busy:
            instance.ack('f')
        if not step % period:
            instance.send_data('f')
        if not step % 5:
            instance.sweep()
    return find_idle_share(instance.steering, 'catalog')


def test_idle_share_follows_the_flows() -> None:
    """A fixed share misplaces flows of callers that pause for less or more."""
    assert find_idle_share(Instance().steering, '?') == IDLE_FLOW_LOAD
    assert measure_idle_share(1, 4, 0) == pytest.approx(IDLE_FLOW_LOAD)
    # The default pulls the estimate of a single flow by a few percent.
    assert measure_idle_share(1, 4, 3000) == pytest.approx(0.22, abs=0.02)
    assert measure_idle_share(1, 64, 3000) == pytest.approx(0.02, abs=0.01)
    assert measure_idle_share(5, 6, 3000) == pytest.approx(0.5)


def test_first_requests_do_not_change_the_idle_share() -> None:
    """Flows of one request each are never idle and then busy again."""
    instance = Instance()
    for _ in range(200):
        instance.request('f')
        instance.advance(0.1)
        instance.sweep()
        instance.fin('f')
    share = find_idle_share(instance.steering, 'catalog')
    assert share == pytest.approx(IDLE_FLOW_LOAD)
