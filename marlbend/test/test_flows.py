"""Test the flow table, upstream choice, load reports and address reuse."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from marlbend.config import Configuration, ServiceSpec
from marlbend.config.quarantine import (
    QUARANTINE_SECONDS,
    RETIRED_UPSTREAM_SECONDS,
    find_quarantine_violations,
    list_quarantined_addresses,
)
from marlbend.ownership.flows import (
    FlowTable,
    Timeouts,
    choose_default,
    choose_upstream,
)
from marlbend.ownership.flows.table import (
    CLOSING,
    ESTABLISHED,
    HALF_OPEN,
    SHARD_COUNT,
    entry_upstream,
    is_override,
    iterate_shard,
    mark_override,
    record_flow,
    remove_flow,
    set_phase,
    sweep_shard,
)
from marlbend.ownership.members import (
    Member,
    MembershipView,
    MemberState,
    merge_member,
)
from marlbend.ownership.members.failure_detector import (
    FailureDetector,
    announce_departure,
    merge_and_gossip,
)
from marlbend.ownership.members.view import (
    TOMBSTONE_SECONDS,
    remove_departed_members,
)
from marlbend.ownership.packets import Outcome
from marlbend.ownership.packets.header import ACK, FIN, SYN
from marlbend.ownership.upstreams import Upstream, UpstreamPool
from marlbend.ownership.upstreams.load import (
    Loads,
    apply_report,
    count_new_flow,
    drop_reports,
    others_load_weight,
    update_arrival_rates,
)
from marlbend.test.network import Network
from marlbend.test.test_network import make_upstream

steps = st.lists(
    st.tuples(
        st.integers(0, 40), st.integers(1, 3), st.sampled_from([0, 1, 2, 3])
    ),
    max_size=60,
)


def make_upstreams(count: int) -> list[Upstream]:
    """Return upstreams of one service with equal capacity."""
    pool = UpstreamPool()
    made = [pool.intern('web', f'10.1.0.{host}', 6080) for host in range(count)]
    for upstream in made:
        upstream.connections = 100
    return made


def count_entries(table: FlowTable) -> tuple[Counter[int], int]:
    """Count the open flows of each upstream, and all flows, by entry."""
    opened: Counter[int] = Counter()
    flows = 0
    for shard in range(SHARD_COUNT):
        for digest, entry in iterate_shard(table, shard):
            assert table.find(digest) == entry
            flows += 1
            if (entry >> 20) & 3 != CLOSING:
                opened[entry_upstream(entry)] += 1
    return opened, flows


@given(steps)
@settings(max_examples=200, derandomize=True, database=None)
def test_counts_agree_with_entries(changes: list[tuple[int, int, int]]) -> None:
    table = FlowTable(1000)
    for digest, number, action in changes:
        if action == 3:
            remove_flow(table, digest)
        elif table.find(digest) is None:
            record_flow(table, digest, number, action, 1)
        else:
            set_phase(table, digest, action, 1)
    opened, flows = count_entries(table)
    assert opened == Counter(table.open_by_number)
    assert flows == len(table)


def test_idle_flows_expire_by_phase_even_if_ticks_wrap() -> None:
    table = FlowTable(10)
    start = (1 << 16) - 3
    for digest, phase in enumerate((HALF_OPEN, ESTABLISHED, CLOSING)):
        record_flow(table, digest, 1, phase, start)
    timeouts = Timeouts(5, 100, 20)
    remaining = []
    for elapsed in (5, 6, 21, 101):
        for shard in range(SHARD_COUNT):
            sweep_shard(table, shard, start + elapsed, timeouts)
        remaining.append(len(table))
    assert remaining == [3, 2, 1, 0]


def test_only_established_overrides_are_replicated() -> None:
    table = FlowTable(10)
    record_flow(table, 1, 1, HALF_OPEN, 1)
    mark_override(table, 1)
    assert not table.replicas_due
    set_phase(table, 1, ESTABLISHED, 1)
    assert table.replicas_due == {1: 1}
    table.replicas_due.clear()
    entry = table.find(1)
    assert entry is not None
    assert is_override(entry)
    set_phase(table, 1, CLOSING, 1)
    assert table.removals_due == {1: 1}


def test_removing_an_upstream_changes_only_defaults_to_it() -> None:
    upstreams = make_upstreams(5)
    random = Random(2)
    digests = [random.getrandbits(60) for _ in range(2000)]
    default_by_digest = {
        each: choose_default(each, upstreams) for each in digests
    }
    for digest, upstream in default_by_digest.items():
        if upstream is not upstreams[0]:
            assert choose_default(digest, upstreams[1:]) is upstream


def test_upstream_choice_balances_load() -> None:
    upstreams = make_upstreams(7)
    random = Random(3)
    opened: Counter[int] = Counter()

    def load_of(upstream: Upstream) -> float:
        return opened[upstream.number] / upstream.connections

    for _ in range(1400):
        chosen = choose_upstream(random.getrandbits(60), upstreams, load_of)
        assert chosen is not None
        opened[chosen.number] += 1
    assert max(opened.values()) <= 1.05 * 200
    assert choose_upstream(1, [], load_of) is None


def test_load_reports_are_replaced_and_dropped() -> None:
    upstreams = make_upstreams(2)
    loads = Loads()
    apply_report(loads, 'i1', 'web', upstreams, (3, 4))
    apply_report(loads, 'i2', 'web', upstreams, (1, 1))
    apply_report(loads, 'i1', 'web', upstreams, (5, 0))
    numbers = [upstream.number for upstream in upstreams]
    assert [loads.reported_by_number[each] for each in numbers] == [6, 1]
    drop_reports(loads, frozenset(('i2',)))
    assert [loads.reported_by_number[each] for each in numbers] == [1, 1]


def test_reported_load_weighs_less_at_high_arrival_rate() -> None:
    loads = Loads()
    assert others_load_weight(loads, 'web', 8) == 1
    for _ in range(3):
        for _ in range(60):
            count_new_flow(loads, 'web')
        update_arrival_rates(loads)
    assert others_load_weight(loads, 'web', 8) == 1 / 8


def test_syn_flood_is_bounded_and_keeps_flows() -> None:
    """Beyond the limit, a SYN goes to its default upstream without an entry."""
    network = Network(1)
    node = network.add('i1', 'a')
    network.announce_member(node.member, ['i1'])
    network.publish(map(make_upstream, ('u1', 'u2')), ['i1'])
    node.path.half_open_limit = 100
    early = {flow: network.open_flow(flow) for flow in range(50)}
    for flow in range(1000, 6000):
        network.send(flow, SYN)
    assert len(node.path.table) == 150
    late = {flow: network.open_flow(flow) for flow in range(10_000, 10_050)}
    for flow, upstream in (early | late).items():
        assert network.send(flow, ACK)[0].upstream == upstream
    for unknown in range(20_000, 25_000):
        network.send(unknown, ACK)
    assert len(node.path.table) <= 250


def test_ports_of_a_closed_flow_can_be_reused() -> None:
    network = Network(1)
    node = network.add('i1', 'a')
    network.announce_member(node.member, ['i1'])
    network.publish(map(make_upstream, ('u1', 'u2')), ['i1'])
    first = network.open_flow(1)
    assert network.send(1, FIN | ACK)[0].upstream == first
    assert network.send(1, ACK)[0].upstream == first
    assert not node.path.table.open_by_number
    network.open_flow(1)
    assert len(node.path.table) == 1


def test_paused_instance_drops_unknown_flows_until_caught_up() -> None:
    """After a pause, known flows are forwarded and others dropped.

    The caller retransmits the dropped packets.
    """
    network = Network(1)
    node = network.add('i1', 'a')
    network.announce_member(node.member, ['i1'])
    network.publish(map(make_upstream, ('u1', 'u2')), ['i1'])
    upstream = network.open_flow(1)
    network.advance_clock(10)
    assert network.send(1, ACK)[0].upstream == upstream
    assert not network.send(2, SYN)
    assert node.path.counts[Outcome.DROPPED_CATCHING_UP] == 1
    node.path.catching_up = False
    assert network.send(2, SYN)


def test_address_reused_by_another_service_is_a_new_upstream() -> None:
    """Otherwise its flows would reach an upstream of another service."""
    pool = UpstreamPool()
    first = pool.intern('catalog', '10.1.0.1', 6080)
    second = pool.intern('survey', '10.1.0.1', 6080)
    assert first.number != second.number
    assert pool.intern('catalog', '10.1.0.1', 6080) is first


def test_flows_of_a_removed_upstream_expire_before_address_reuse() -> None:
    """They expire even if no configuration that reuses the address arrives."""
    network = Network(1)
    node = network.add('i1', 'a')
    network.announce_member(node.member, ['i1'])
    network.publish(map(make_upstream, ('u1', 'u2')), ['i1'])
    flows = {flow: network.open_flow(flow) for flow in range(20)}
    network.publish([make_upstream('u2')], ['i1'])
    network.advance_clock(1)
    for flow, upstream in flows.items():
        assert network.send(flow, ACK)[0].upstream == upstream
    network.advance_clock(RETIRED_UPSTREAM_SECONDS)
    node.path.catching_up = False
    for flow in flows:
        assert network.send(flow, ACK)[0].upstream == '10.1.0.2'
    assert RETIRED_UPSTREAM_SECONDS < QUARANTINE_SECONDS


def test_quarantined_address_is_rejected_for_other_services() -> None:
    """The publisher rejects the address until its quarantine has ended."""
    spec = ServiceSpec(
        'a', ('10.0.0.1',), (80,), 'silence', (make_upstream('u1'),)
    )
    other = ServiceSpec('b', ('10.0.0.2',), (80,), 'silence', spec.upstreams)
    current = Configuration((spec,))
    quarantined = tuple(list_quarantined_addresses(current, (other,), 100))
    assert [record.address for record in quarantined] == ['10.1.0.1']
    reserved = Configuration((), resting=quarantined)
    assert list(find_quarantine_violations(current, (other,), 100))
    assert list(
        find_quarantine_violations(reserved, (other,), QUARANTINE_SECONDS)
    )
    assert not list(
        find_quarantine_violations(reserved, (spec,), QUARANTINE_SECONDS)
    )
    assert not list(
        find_quarantine_violations(reserved, (other,), QUARANTINE_SECONDS + 101)
    )
    assert not list(
        list_quarantined_addresses(reserved, (), QUARANTINE_SECONDS + 101)
    )


def test_departed_instances_are_removed_after_a_delay() -> None:
    """A record is kept while updates of it are still being gossiped.

    Removing it earlier stopped the daemon.
    """
    myself, other = (
        Member(name, '10.0.0.1', 'a', 1, number, 3, 4, 1)
        for number, name in enumerate(('i1', 'i2'))
    )
    detector = FailureDetector(MembershipView(myself, 16), Random(1))
    for member in (myself, other):
        merge_and_gossip(detector, member, 0)
    gone = Member('i2', '10.0.0.1', 'a', 1, 1, 3, 4, 1, MemberState.GONE)
    assert merge_and_gossip(detector, gone, 1)
    assert not merge_member(detector.view, other, 2)
    assert not remove_departed_members(detector.view, TOMBSTONE_SECONDS)
    assert remove_departed_members(detector.view, TOMBSTONE_SECONDS + 2) == 1
    assert not list(announce_departure(detector, TOMBSTONE_SECONDS + 3))
