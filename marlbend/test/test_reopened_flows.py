"""Move flows between instances after their SYN went to two upstreams.

The first upstream answers late: its SYN+ACK was lost, and it sends it again
after the flow opened at the second one, so that the caller echoes its cookie.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial

import msgspec
import pytest

from marlbend.clock import steady_seconds
from marlbend.edge.node import GossipNode
from marlbend.edge.peers import receive_heartbeat, send_gossip_round
from marlbend.edge.reopened_updates import hand_over_reopened, send_reopened
from marlbend.observe.control_traffic import Cause
from marlbend.steering.budgets import make_budgets
from marlbend.steering.flows import expire_flows
from marlbend.steering.gossip import GossipState
from marlbend.steering.members import Member, merge_member
from marlbend.steering.reopened_flows import (
    MAX_REOPENED_FLOWS,
    REOPENED_FLOW_SECONDS,
    add_reopened,
)
from marlbend.test.edge import Fleet, run_with_fleet, wait_until
from marlbend.test.simulation import patched_clock
from marlbend.test.steering import SteeringDriver
from marlbend.topics.knowledge import Topic
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberUpdate,
    ReopenedFlowUpdate,
    decode_heartbeat,
    encode_heartbeat,
)

# The first upstream gets three SYNs by then, and the second one its first.
SECOND_UPSTREAM = '0.19'
LATE_ANSWER = '0.2'
KEY = b'f1----web...'

Address = tuple[str, int]


class Peer:
    """Hold an instance, and what it sends to the others."""

    def __init__(self, peers: 'Peers', name: str, domain: str) -> None:
        self.driver = SteeringDriver(domain)
        self.driver.steering.local_instance.name = name
        self.driver.route('web', 'catalog')
        self.driver.upstream('a1', 'catalog', 'a')
        self.driver.upstream('a2', 'catalog', 'a')
        self.endpoint = (f'10.0.0.{len(peers.by_name) + 1}', 6071)
        self.update = MemberUpdate(
            name, self.endpoint, domain, 0, can_read=True
        )
        gossip = GossipState(
            Member(self.update, self.driver.now), dict.fromkeys(Topic, 2.0)
        )
        self.node = GossipNode(
            gossip, self.driver.steering, (), partial(peers.send, self)
        )
        self.node.fetching.update(Topic)
        self.driver.steering.callbacks.gossip_reopened = partial(
            send_reopened, self.node
        )
        self.is_deaf = False


class Peers:
    """Hold instances that know each other, and the caller of one flow."""

    def __init__(self) -> None:
        self.by_name: dict[str, Peer] = {}
        self.datagrams = 0

    def add(self, name: str, domain: str = 'a') -> Peer:
        """Add an instance, and introduce it to the others."""
        peer = Peer(self, name, domain)
        for other in self.by_name.values():
            now = peer.driver.now
            merge_member(peer.node.gossip.members, other.update, now)
            merge_member(other.node.gossip.members, peer.update, now)
        self.by_name[name] = peer
        return peer

    def send(self, sender: Peer, datagram: bytes, endpoint: Address) -> None:
        """Deliver a heartbeat, unless its receiver loses all of them."""
        self.datagrams += 1
        for peer in self.by_name.values():
            if peer.endpoint == endpoint and not peer.is_deaf:
                receive_heartbeat(peer.node, datagram, sender.endpoint)

    def wait(self, seconds: str) -> None:
        """Advance the clocks of all instances."""
        for peer in self.by_name.values():
            peer.driver.wait(seconds)

    def open_at_second(self, peer: Peer) -> str:
        """Open the flow at the second upstream, and return its name."""
        driver = peer.driver
        driver.open('f1', 'web')
        first = driver.sent[-1]
        self.wait(SECOND_UPSTREAM)
        second = driver.sent[-1]
        assert {first, second} == {'a1', 'a2'}
        driver.establish('f1')
        assert driver.sent[-1] == second
        self.wait(LATE_ANSWER)
        self.echo(peer, first)
        return second

    def echo(self, peer: Peer, upstream: str) -> None:
        """Let the caller echo the cookie of an upstream from now on."""
        pool = peer.driver.steering.pool
        peer.driver.callers['f1'].cookie = pool.by_name[upstream].cookie

    def send_data(self, source: Peer, target: Peer) -> str:
        """Send data that now reaches another instance; return its upstream."""
        target.driver.callers['f1'] = source.driver.callers['f1']
        target.driver.sent.clear()
        target.driver.send_data('f1')
        return target.driver.sent[-1]


@contextmanager
def two_peers() -> Iterator[tuple[Peers, Peer, Peer]]:
    """Run with two instances of a domain, on their simulated clock."""
    peers = Peers()
    first, second = peers.add('n-1'), peers.add('n-2')
    with patched_clock(lambda: first.driver.now):
        yield peers, first, second


def test_another_instance_sends_a_flow_to_the_upstream_that_holds_it() -> None:
    """Going by the cookie alone, it reached the one that answered late."""
    with two_peers() as (peers, first, second):
        holder = peers.open_at_second(first)
        assert peers.send_data(first, second) == holder


def test_lost_datagram_does_not_move_a_flow() -> None:
    """What was reported once is in the next heartbeats as well."""
    with two_peers() as (peers, first, second):
        second.is_deaf = True
        holder = peers.open_at_second(first)
        second.is_deaf = False
        send_gossip_round(first.node, Cause.PERIODIC)
        assert peers.send_data(first, second) == holder


def test_heartbeats_pass_on_what_another_instance_reported() -> None:
    """Its sender may be killed before it has reached everybody."""
    with two_peers() as (peers, first, second):
        third = peers.add('n-3', 'b')
        holder = peers.open_at_second(first)
        first.is_deaf = True
        send_gossip_round(second.node, Cause.PERIODIC)
        assert peers.send_data(first, third) == holder


def test_leaving_instance_reports_all_flows_again() -> None:
    """An instance that missed every heartbeat would move the flow."""
    with two_peers() as (peers, first, second):
        second.is_deaf = True
        holder = peers.open_at_second(first)
        peers.wait('3')
        second.is_deaf = False
        hand_over_reopened(first.node)
        assert peers.send_data(first, second) == holder


def test_started_instance_learns_of_flows_in_a_reply() -> None:
    with two_peers() as (peers, first, second):
        holder = peers.open_at_second(first)
        peers.wait('3')
        third = peers.add('n-3')
        request = Heartbeat((third.update,), reply_requested=True)
        peers.send(third, encode_heartbeat(request), second.endpoint)
        assert peers.send_data(first, third) == holder


def test_flow_that_moves_during_its_handshake_stays() -> None:
    """The caller's reply to the first upstream reaches another instance.

    The first instance misses it and sends the SYN to a second upstream, whose
    answer changes the cookie that the caller echoes.
    """
    with two_peers() as (peers, first, second):
        first.driver.open('f1', 'web')
        holder = first.driver.sent[-1]
        assert peers.send_data(first, second) == holder
        peers.wait(SECOND_UPSTREAM)
        other = first.driver.sent[-1]
        assert other != holder
        peers.echo(first, other)
        assert peers.send_data(first, second) == holder
        assert peers.send_data(first, first) == holder


def test_retransmitted_syn_at_another_instance_keeps_one_upstream() -> None:
    """Both instances chose an upstream, and neither knows of the other's."""
    with two_peers() as (peers, first, second):
        second.driver.open('f1', 'web')
        first.driver.open('f1', 'web')
        first.driver.sent.clear()
        second.driver.steering.pool.by_name['a1'].busy = 9
        second.driver.callers.pop('f1')
        second.driver.steering.flow_by_key.clear()
        second.driver.callers['f1'] = first.driver.callers['f1']
        second.driver.retransmit_syn('f1')
        holder = second.driver.sent[-1]
        second.driver.establish('f1')
        for upstream in ('a1', 'a2'):
            peers.echo(first, upstream)
            assert peers.send_data(second, first) == holder


def test_new_flow_of_the_same_caller_is_not_held_to_an_old_upstream() -> None:
    with two_peers() as (peers, first, _):
        holder = peers.open_at_second(first)
        other = 'a1' if holder == 'a2' else 'a2'
        peers.wait('3')
        pool = first.driver.steering.pool
        pool.by_name[holder].busy = 9
        first.driver.open('f1', 'web')
        assert first.driver.sent[-1] == other
        first.driver.establish('f1')
        assert first.driver.sent[-1] == other


def test_unknown_holder_is_not_replaced_by_the_echoed_upstream() -> None:
    """A packet of an open flow must not reach another upstream."""
    with two_peers() as (peers, first, second):
        update = ReopenedFlowUpdate(KEY, 77, 10)
        datagram = encode_heartbeat(
            Heartbeat((first.update,), reopened_flows=(update,))
        )
        peers.send(first, datagram, second.endpoint)
        first.driver.open('f1', 'web')
        first.driver.establish('f1')
        second.driver.callers['f1'] = first.driver.callers['f1']
        second.driver.send_data('f1')
        assert not second.driver.sent


def test_records_are_bounded_and_expire() -> None:
    driver = SteeringDriver()
    flows = driver.steering.reopened_flows
    for number in range(MAX_REOPENED_FLOWS + 5):
        key = number.to_bytes(12)
        add_reopened(flows, key, driver.now, driver.now)
    assert len(flows.by_key) == MAX_REOPENED_FLOWS
    assert (0).to_bytes(12) not in flows.by_key
    driver.steering.now += REOPENED_FLOW_SECONDS + 1
    expire_flows(driver.steering)
    assert not flows.by_key
    assert not flows.unsent_keys


def test_many_reopened_flows_do_not_exceed_the_budget() -> None:
    """Upstreams that fail at once would else fill a slow link."""
    with two_peers() as (_, first, _):
        steering = first.driver.steering
        steering.local_instance.budgets = make_budgets(5, 1)
        for number in range(2_000):
            first.driver.now += 0.03
            add_reopened(
                steering.reopened_flows,
                number.to_bytes(12),
                first.driver.now,
                first.driver.now,
            )
            send_reopened(first.node)
        sent = first.node.traffic.bytes_by_cause[Cause.REOPENED]
        assert sent <= 60 * 625_000 * 0.01 + 16_000


@pytest.mark.parametrize(
    'update',
    [(b'short', 1, 1), (KEY, -1, 1), (KEY, 1 << 32, 1), (KEY, 1, -1)],
)
def test_malformed_reports_are_rejected(update: tuple[object, ...]) -> None:
    fields = list(msgspec.to_builtins(Heartbeat(())))
    fields[0] = [['n-1', ['10.0.0.1', 1], 'a', 0, True]]
    assert decode_heartbeat(msgspec.msgpack.encode(fields)) is not None
    fields[Heartbeat.__struct_fields__.index('reopened_flows')] = [update]
    assert decode_heartbeat(msgspec.msgpack.encode(fields)) is None


def test_started_instance_fetches_the_flows_of_a_domain() -> None:
    """Heartbeats of a busy domain hold only the latest of them."""

    async def scenario(fleet: Fleet) -> None:
        old = await fleet.add('n1')
        await wait_until(lambda: old.node.steering.upstreams_known)
        old.steering.pool.knows_ended = True
        now = steady_seconds()
        for number in range(500):
            key = number.to_bytes(12)
            add_reopened(old.steering.reopened_flows, key, now, now)
        old.steering.reopened_flows.unsent_keys.clear()
        new = await fleet.add('n2', '127.9.2.1')
        await wait_until(lambda: len(new.steering.reopened_flows.by_key) == 500)

    run_with_fleet(scenario)
