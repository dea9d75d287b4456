"""Run instances against a store that fails in every way its pages name."""

import asyncio

import msgspec
import pytest
from hypothesis import given, settings, strategies

from bench.store import Faults, set_faults
from marlbend.clock import steady_seconds
from marlbend.edge.peers import Peers, receive_beat
from marlbend.edge.sweeping import end_returns
from marlbend.steering.gossip import (
    GossipState,
    Topic,
)
from marlbend.steering.liveness import record_unanswered
from marlbend.steering.members import Member
from marlbend.steering.state import OUT_INDEFINITELY
from marlbend.steering.upstreams import end_upstream
from marlbend.test.edge import (
    PATIENCE,
    Fleet,
    make_configuration,
    until,
    with_fleet,
)
from marlbend.test.steering import SteeringDriver
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberUpdate,
    TopicRevision,
    UpstreamUpdate,
    decode_heartbeat,
    encode_heartbeat,
)

NOBODY = ('127.0.0.1', 9)
# Nobody listens there, as for an instance that the store turns away.
AWAY = ('127.0.0.1', 9)


def test_changes_are_in_force_everywhere_by_one_reader() -> None:
    async def work(fleet: Fleet) -> None:
        first = await fleet.add('n1')
        others = [
            await fleet.add(f'n{number}', '127.9.2.1') for number in (2, 3, 4)
        ]
        everybody = [first, *others]
        await until(lambda: all(each.version == 3 for each in everybody))
        await until(lambda: all(each.upstreams for each in everybody))
        await asyncio.sleep(2)
        calls = fleet.store.request_count
        await fleet.publish(5)
        await fleet.register('i-2')
        await until(lambda: all(each.version == 5 for each in everybody))
        await until(lambda: all(len(each.upstreams) == 2 for each in everybody))
        # Each of four watching alone would make four calls a change.
        assert fleet.store.request_count - calls <= 8

    with_fleet(work)


def test_long_lists_come_in_pages() -> None:
    async def work(fleet: Fleet) -> None:
        for number in range(700):
            await fleet.register(f'i-{number:04x}')
        instance = await fleet.add('n1')
        await until(lambda: len(instance.upstreams) == 701)

    with_fleet(work)


def test_many_routes_at_once() -> None:
    async def work(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        other = await fleet.add('n2', '127.9.2.1')
        await until(lambda: instance.version == other.version == 3)
        await fleet.publish(4, routes=350)
        took = await until(lambda: instance.version == other.version == 4)
        assert took < 3
        assert len(other.steering.routes.by_endpoint) == 350

    with_fleet(work)


def test_entries_of_other_writers_name_no_upstream() -> None:
    async def work(fleet: Fleet) -> None:
        wrong: tuple[dict[str, object], ...] = (
            {'slots': 'four'},
            {'slots': 0},
            {'state': 'resting'},
            {'service': 7},
            {'address': 'here'},
            {'address': '1.2.3.4:99999'},
            {'address': '1.2.3.4:1:1'},
            {'warmup_left_ms': -1},
            {'born': '2020'},
            {'zone': None},
        )
        for number, changes in enumerate(wrong):
            await fleet.register(f'i-a{number}', **changes)
        await fleet.put('servers', 'i-b1', [1, 2])
        await fleet.put('servers', 'i-b2', 'text')
        await fleet.put('servers', 'i-b3', {})
        await fleet.register('zebra!')
        instance = await fleet.add('n1')
        await until(lambda: bool(instance.upstreams))
        assert instance.upstreams == {'i-1'}
        await fleet.put('servers', 'i-c1', {'service': 'catalog'})
        await fleet.register('i-2')
        await until(lambda: len(instance.upstreams) == 2)
        assert instance.upstreams == {'i-1', 'i-2'}
        # An entry that is spoiled takes its upstream out after a while.
        await fleet.register('i-2', slots=None)
        await until(lambda: instance.upstreams == {'i-1'})

    with_fleet(work)


def test_routes_that_cannot_be_read_leave_the_earlier_ones() -> None:
    async def work(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await until(lambda: instance.version == 3)
        wrong = make_configuration(4)
        route = wrong['routes']
        assert isinstance(route, list)
        for changes in ({'path_prefix': '/x/'}, {'hostname': 'here'}):
            spoiled = {**wrong, 'routes': [{**route[0], **changes}]}
            await fleet.put('config', 'main', spoiled)
            await asyncio.sleep(0.5)
            assert instance.version == 3
        await fleet.publish(5)
        await until(lambda: instance.version == 5)

    with_fleet(work)


def test_names_of_other_writers_are_escaped() -> None:
    async def work(fleet: Fleet) -> None:
        for number in range(600):
            await fleet.register(f'i &?=% {number:04x}')
        instance = await fleet.add('n1')
        await until(lambda: len(instance.upstreams) == 1)

    with_fleet(work)


def test_upstream_leaves_and_lapses() -> None:
    async def work(fleet: Fleet) -> None:
        await fleet.register('i-2')
        instance = await fleet.add('n1')
        await until(lambda: len(instance.upstreams) == 2)
        pool = instance.steering.pool
        await fleet.register('i-2', state='draining')
        await until(lambda: not pool.by_name['i-2'].entry.accepting)
        await fleet.put('servers', 'i-2', None)
        await until(lambda: bool(pool.by_name['i-2'].ended_at))
        await fleet.put('servers', 'i-1', None)
        await until(lambda: bool(pool.by_name['i-1'].missing_since))
        assert not pool.by_name['i-1'].ended_at
        await fleet.register('i-1')
        await until(lambda: instance.upstreams == {'i-1'})

    with_fleet(work)


def test_domain_comes_back_when_its_upstreams_are_known_as_of_then() -> None:
    """They may have become cold while it was out."""

    async def work(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await until(lambda: instance.version == 3)
        steering = instance.steering
        out = steering.domains_out
        for _ in range(2):
            await fleet.put('evacuations', 'b', {})
            await until(lambda: out == {'b': OUT_INDEFINITELY})
            end_returns(steering)
            await fleet.put('evacuations', 'b', None)
            await until(lambda: out['b'] < OUT_INDEFINITELY)
            steering.upstreams_confirmed_at = out['b'] - 1
            end_returns(steering)
            assert set(out) == {'b'}
            steering.upstreams_confirmed_at = out['b']
            end_returns(steering)
            assert not out

    with_fleet(work)


def test_domain_that_goes_out_again_stays_out() -> None:
    async def work(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await until(lambda: instance.version == 3)
        out = instance.steering.domains_out
        await fleet.put('evacuations', 'b', {})
        await until(lambda: out.get('b') == OUT_INDEFINITELY)
        await fleet.put('evacuations', 'b', None)
        await until(lambda: out['b'] < OUT_INDEFINITELY)
        await fleet.put('evacuations', 'b', {})
        await until(lambda: out['b'] == OUT_INDEFINITELY)
        instance.steering.upstreams_confirmed_at = steady_seconds()
        end_returns(instance.steering)
        assert out == {'b': OUT_INDEFINITELY}

    with_fleet(work)


def test_silent_watch_is_noticed() -> None:
    async def work(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await until(lambda: instance.version == 3)
        await set_faults(fleet.store, Faults(silent_watches=True))
        await asyncio.sleep(1)
        await set_faults(fleet.store, Faults())
        await fleet.publish(4)
        assert await until(lambda: instance.version == 4) < 3

    with_fleet(work)


def test_refusing_silent_and_slow_store() -> None:
    async def work(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await until(lambda: instance.version == 3)
        faults = (
            Faults(down=True),
            Faults(busy=True),
            Faults(silent=True),
            Faults(delay_seconds=0.3),
        )
        for version, fault in enumerate(faults, 4):
            await set_faults(fleet.store, fault)
            await asyncio.sleep(0.5)
            assert instance.upstreams == {'i-1'}
            await fleet.publish(version)
            await set_faults(fleet.store, Faults())
            await until(lambda: instance.version == fleet.version)

    with_fleet(work)


def test_history_that_was_dropped_is_listed_anew() -> None:
    async def work(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await until(lambda: instance.version == 3)
        fleet.store.history.clear()
        await fleet.register('i-2')
        fleet.store.history.clear()
        await set_faults(fleet.store, Faults(forget=True))
        await until(lambda: len(instance.upstreams) == 2)

    with_fleet(work)


def test_instance_that_is_turned_away_learns_from_another() -> None:
    async def work(fleet: Fleet) -> None:
        served = await fleet.add('n1')
        refused = await fleet.add('n2', '127.9.2.1', store=NOBODY)
        await until(lambda: refused.version == served.version == 3)
        await until(lambda: refused.upstreams == {'i-1'})
        await fleet.publish(4)
        await fleet.register('i-2', state='draining')
        await fleet.put('evacuations', 'b', {})
        await until(lambda: refused.version == 4)
        await until(lambda: refused.upstreams == {'i-1', 'i-2'})
        await until(lambda: set(refused.steering.domains_out) == {'b'})
        assert not refused.gossip.myself.can_read

    with_fleet(work)


def test_instance_that_starts_while_the_store_is_away_asks_a_seed() -> None:
    async def work(fleet: Fleet) -> None:
        first = await fleet.add('n1')
        await until(lambda: first.steering.ready)
        await set_faults(fleet.store, Faults(down=True))
        second = await fleet.add('n2', '127.9.2.9', '127.9.2.1')
        took = await until(lambda: second.steering.ready)
        assert took < 2
        assert second.upstreams == {'i-1'}

    with_fleet(work)


def test_another_reads_when_the_reader_dies() -> None:
    async def work(fleet: Fleet) -> None:
        first = await fleet.add('n1')
        second = await fleet.add('n2', '127.9.2.1')
        await until(lambda: first.version == second.version == 3)
        await asyncio.sleep(0.5)
        reader, other = first, second
        if first.gossip.myself.rank > second.gossip.myself.rank:
            reader, other = second, first
        await reader.stop()
        await fleet.publish(4)
        assert await until(lambda: other.version == 4) < PATIENCE + 1

    with_fleet(work)


def test_changes_reach_all_without_a_fetch() -> None:
    """Every instance but the reader is turned away and serves no page."""

    async def work(fleet: Fleet) -> None:
        reader = await fleet.add('n1')
        reader.spreading = True
        others = [
            await fleet.add(name, '127.9.2.1', store=AWAY)
            for name in ('n2', 'n3', 'n4')
        ]
        await until(lambda: all(each.version == 3 for each in others))
        await until(lambda: all(each.upstreams == {'i-1'} for each in others))
        for instance in fleet.instances:
            assert instance.server is not None
            instance.server.close()
        await fleet.register('i-2')
        await until(lambda: all(len(each.upstreams) == 2 for each in others))
        await fleet.publish(4)
        await until(lambda: all(each.version == 4 for each in others))
        await fleet.put('servers', 'i-1', None)
        await until(lambda: all(each.upstreams == {'i-2'} for each in others))
        await fleet.put('evacuations', 'b', {})
        await until(
            lambda: all('b' in each.steering.domains_out for each in others)
        )

    with_fleet(work)


def test_who_missed_a_change_fetches_changes_and_not_the_whole() -> None:
    """The whole of the teller is not what the store holds, to tell them apart.

    Nobody passes changes on here, so that they have to be fetched.
    """

    async def work(fleet: Fleet) -> None:
        reader = await fleet.add('n1')
        other = await fleet.add('n2', '127.9.2.1', store=AWAY)
        await until(lambda: other.upstreams == {'i-1'})
        end_upstream(reader.steering.pool, 'i-1', steady_seconds())
        reader.keeping = True
        for name in ('i-2', 'i-3'):
            await fleet.register(name)
        await until(lambda: other.upstreams == {'i-1', 'i-2', 'i-3'})

    with_fleet(work)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(strategies.binary(max_size=200), strategies.integers(0, 400))
def test_any_datagram_on_the_control_port_is_taken(
    noise: bytes,
    place: int,
) -> None:
    """Random bytes, and a beat with some of its bytes replaced."""
    sent: list[bytes] = []
    steering = SteeringDriver().steering
    told = MemberUpdate('n1', ('127.9.2.1', 1), 'a', 0, can_read=True)
    gossip = GossipState(Member(told, 0), dict.fromkeys(Topic, 1.0))
    peers = Peers(gossip, steering, (), lambda beat, _: sent.append(beat))
    other = MemberUpdate('n2', ('127.9.2.2', 1), 'a', 5, can_read=True)
    beat = Heartbeat(
        (other,), (TopicRevision(1, 0, 5),), (UpstreamUpdate(1, 2, 3, 4, 5),)
    )
    whole = encode_heartbeat(beat)
    for datagram in (noise, whole[:place] + noise + whole[place + 5 :], whole):
        receive_beat(peers, datagram, ('127.9.2.2', 1))
    assert 'n2' in gossip.members.by_name
    for member in gossip.members.by_name.values():
        assert member.heard_at <= steady_seconds()


def test_older_revisions_change_nothing() -> None:
    """A version lower than the one in force never comes into force."""

    async def work(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await until(lambda: instance.version == 3)
        await fleet.publish(9)
        await until(lambda: instance.version == 9)
        await fleet.publish(8)
        await fleet.register('i-2')
        await until(lambda: len(instance.upstreams) == 2)
        await asyncio.sleep(0.5)
        assert instance.version == 9

    with_fleet(work)


def test_instance_beside_a_silent_upstream_tells_other_domains() -> None:
    async def work(fleet: Fleet) -> None:
        await fleet.register('i-2', zone='b')
        near = await fleet.add('n1')
        far = await fleet.add('n2', '127.9.2.1', domain='b')
        await until(lambda: len(near.upstreams) == len(far.upstreams) == 2)
        await until(lambda: bool(far.gossip.members.by_name))
        now = steady_seconds()
        near.steering.now = now
        for name in ('i-1', 'i-2'):
            known = near.steering.pool.by_name[name]
            record_unanswered(near.steering, known, now - 0.1)
        theirs = far.steering.pool.by_name
        await until(lambda: 'n1' in theirs['i-1'].report_by_member)
        assert theirs['i-1'].report_by_member['n1'].unanswered
        # The path from domain a to an upstream of b says nothing in b.
        assert 'n1' not in theirs['i-2'].report_by_member

    with_fleet(work)


MEMBER = ('n2', ('127.9.2.2', 1), 'a', 5, True)


@pytest.mark.parametrize(
    'beat',
    (
        [[['n2', ['127.9.2.2', 1], 'a', -9_000_000, True]]],
        [[['n2', ['some.where', 1], 'a', 5, True]]],
        [[['n2', ['127.9.2.2', 99_999], 'a', 5, True]]],
        [[MEMBER], [[9, 1, 0]]],
        [[MEMBER], [[1, 1, -5]]],
        [[MEMBER], [], [[1, -2, 0, -1, -1]]],
        [[]],
    ),
    ids=('age', 'address', 'port', 'topic', 'topic-age', 'busy', 'nobody'),
)
def test_beat_with_figures_that_cannot_be_is_none(beat: list[object]) -> None:
    """A member of the future would never be missed, for one."""
    assert decode_heartbeat(msgspec.msgpack.encode(beat)) is None
