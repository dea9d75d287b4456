"""Run instances against a simulated store with each documented fault."""

import asyncio
from contextlib import suppress

import msgspec
import pytest
from hypothesis import given, settings, strategies

from bench.store import Faults, set_faults
from marlbend.clock import steady_seconds
from marlbend.edge.maintenance import restore_domains
from marlbend.edge.node import GossipNode
from marlbend.edge.peers import receive_heartbeat
from marlbend.http import Connection
from marlbend.steering.gossip import GossipState
from marlbend.steering.liveness import record_unanswered
from marlbend.steering.members import Member
from marlbend.steering.state import OUT_INDEFINITELY
from marlbend.steering.upstreams import end_upstream
from marlbend.test.edge import (
    STALENESS_LIMIT_SECONDS,
    Fleet,
    make_configuration,
    run_with_fleet,
    wait_until,
)
from marlbend.test.steering import SteeringDriver
from marlbend.topics.knowledge import Topic
from marlbend.topics.reader import TopicWatcher, watch_topic
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberUpdate,
    TopicChanges,
    TopicRevision,
    UpstreamUpdate,
    decode_heartbeat,
    encode_heartbeat,
)

UNUSED_ENDPOINT = ('127.0.0.1', 9)
# Nothing listens there, so that the instance cannot reach the store.
UNREACHABLE_STORE = ('127.0.0.1', 9)


def test_one_reader_distributes_changes_to_all_instances() -> None:
    async def scenario(fleet: Fleet) -> None:
        first = await fleet.add('n1')
        others = [
            await fleet.add(f'n{number}', '127.9.2.1') for number in (2, 3, 4)
        ]
        all_instances = [first, *others]
        await wait_until(
            lambda: all(each.version == 3 for each in all_instances)
        )
        await wait_until(lambda: all(each.upstreams for each in all_instances))
        await asyncio.sleep(2)
        requests_before = fleet.store.request_count
        await fleet.publish(5)
        await fleet.register('i-2')
        await wait_until(
            lambda: all(each.version == 5 for each in all_instances)
        )
        await wait_until(
            lambda: all(len(each.upstreams) == 2 for each in all_instances)
        )
        # If all four instances watched the store, each change would take four
        # requests.
        assert fleet.store.request_count - requests_before <= 8

    run_with_fleet(scenario)


def test_paginated_list_is_read_completely() -> None:
    async def scenario(fleet: Fleet) -> None:
        for number in range(1, 701):
            await fleet.register(f'i-{number:04x}')
        instance = await fleet.add('n1')
        await wait_until(lambda: len(instance.upstreams) == 701)

    run_with_fleet(scenario)


def test_large_configuration_is_applied_in_time() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        other = await fleet.add('n2', '127.9.2.1')
        await wait_until(lambda: instance.version == other.version == 3)
        await fleet.publish(4, routes=350)
        wait_seconds = await wait_until(
            lambda: instance.version == other.version == 4
        )
        assert wait_seconds < 3
        assert len(other.steering.routes.by_endpoint) == 350

    run_with_fleet(scenario)


def test_malformed_registrations_are_ignored() -> None:
    async def scenario(fleet: Fleet) -> None:
        malformed: tuple[dict[str, object], ...] = (
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
        for number, changes in enumerate(malformed):
            await fleet.register(f'i-a{number}', **changes)
        await fleet.put('servers', 'i-b1', [1, 2])
        await fleet.put('servers', 'i-b2', 'text')
        await fleet.put('servers', 'i-b3', {})
        await fleet.register('zebra!')
        instance = await fleet.add('n1')
        await wait_until(lambda: bool(instance.upstreams))
        assert instance.upstreams == {'i-1'}
        await fleet.put('servers', 'i-c1', {'service': 'catalog'})
        await fleet.register('i-2')
        await wait_until(lambda: len(instance.upstreams) == 2)
        assert instance.upstreams == {'i-1', 'i-2'}
        # An upstream whose registration becomes malformed goes missing.
        await fleet.register('i-2', slots=None)
        await wait_until(lambda: instance.upstreams == {'i-1'})

    run_with_fleet(scenario)


def test_malformed_configuration_leaves_the_previous_one_in_force() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: instance.version == 3)
        configuration = make_configuration(4)
        route = configuration['routes']
        assert isinstance(route, list)
        for changes in ({'path_prefix': '/x/'}, {'hostname': 'here'}):
            malformed = {**configuration, 'routes': [{**route[0], **changes}]}
            await fleet.put('config', 'main', malformed)
            await asyncio.sleep(0.5)
            assert instance.version == 3
        await fleet.publish(5)
        await wait_until(lambda: instance.version == 5)

    run_with_fleet(scenario)


def test_object_names_are_escaped_in_paths() -> None:
    async def scenario(fleet: Fleet) -> None:
        for number in range(600):
            await fleet.register(f'i &?=% {number:04x}')
        instance = await fleet.add('n1')
        await wait_until(lambda: len(instance.upstreams) == 1)

    run_with_fleet(scenario)


def test_drained_upstream_ends_and_expired_one_is_missing() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.register('i-2')
        instance = await fleet.add('n1')
        await wait_until(lambda: len(instance.upstreams) == 2)
        pool = instance.steering.pool
        await fleet.register('i-2', state='draining')
        await wait_until(lambda: not pool.by_name['i-2'].entry.accepting)
        await fleet.put('servers', 'i-2', None)
        await wait_until(lambda: bool(pool.by_name['i-2'].ended_at))
        await fleet.put('servers', 'i-1', None)
        await wait_until(lambda: bool(pool.by_name['i-1'].missing_since))
        assert not pool.by_name['i-1'].ended_at
        await fleet.register('i-1')
        await wait_until(lambda: instance.upstreams == {'i-1'})

    run_with_fleet(scenario)


def test_domain_returns_once_its_upstreams_are_confirmed() -> None:
    """Upstreams may have become cold while their domain was out."""

    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: instance.version == 3)
        steering = instance.steering
        out = steering.domains_out
        for _ in range(2):
            await fleet.put('evacuations', 'b', {})
            await wait_until(lambda: out == {'b': OUT_INDEFINITELY})
            restore_domains(steering)
            await fleet.put('evacuations', 'b', None)
            await wait_until(lambda: out['b'] < OUT_INDEFINITELY)
            steering.upstreams_confirmed_at = out['b'] - 1
            restore_domains(steering)
            assert set(out) == {'b'}
            steering.upstreams_confirmed_at = out['b']
            restore_domains(steering)
            assert not out

    run_with_fleet(scenario)


def test_domain_that_goes_out_again_stays_out() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: instance.version == 3)
        out = instance.steering.domains_out
        await fleet.put('evacuations', 'b', {})
        await wait_until(lambda: out.get('b') == OUT_INDEFINITELY)
        await fleet.put('evacuations', 'b', None)
        await wait_until(lambda: out['b'] < OUT_INDEFINITELY)
        await fleet.put('evacuations', 'b', {})
        await wait_until(lambda: out['b'] == OUT_INDEFINITELY)
        instance.steering.upstreams_confirmed_at = steady_seconds()
        restore_domains(instance.steering)
        assert out == {'b': OUT_INDEFINITELY}

    run_with_fleet(scenario)


def test_unresponsive_watch_times_out() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: instance.version == 3)
        await set_faults(fleet.store, Faults(silent_watches=True))
        await asyncio.sleep(1)
        await set_faults(fleet.store, Faults())
        await fleet.publish(4)
        assert await wait_until(lambda: instance.version == 4) < 3

    run_with_fleet(scenario)


def test_instance_recovers_from_faults_of_the_store() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: instance.version == 3)
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
            await wait_until(lambda: instance.version == fleet.version)

    run_with_fleet(scenario)


def test_topic_is_listed_again_after_its_history_is_compacted() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: instance.version == 3)
        fleet.store.history.clear()
        await fleet.register('i-2')
        fleet.store.history.clear()
        await set_faults(fleet.store, Faults(forget=True))
        await wait_until(lambda: len(instance.upstreams) == 2)

    run_with_fleet(scenario)


def test_instance_without_the_store_is_updated_by_another() -> None:
    async def scenario(fleet: Fleet) -> None:
        reader = await fleet.add('n1')
        other = await fleet.add('n2', '127.9.2.1', store=UNUSED_ENDPOINT)
        await wait_until(lambda: other.version == reader.version == 3)
        await wait_until(lambda: other.upstreams == {'i-1'})
        await fleet.publish(4)
        await fleet.register('i-2', state='draining')
        await fleet.put('evacuations', 'b', {})
        await wait_until(lambda: other.version == 4)
        await wait_until(lambda: other.upstreams == {'i-1', 'i-2'})
        await wait_until(lambda: set(other.steering.domains_out) == {'b'})
        assert not other.gossip.myself.can_read

    run_with_fleet(scenario)


def test_instance_starts_from_a_seed_while_the_store_is_down() -> None:
    async def scenario(fleet: Fleet) -> None:
        first = await fleet.add('n1')
        await wait_until(lambda: first.steering.ready)
        await set_faults(fleet.store, Faults(down=True))
        second = await fleet.add('n2', '127.9.2.9', '127.9.2.1')
        wait_seconds = await wait_until(lambda: second.steering.ready)
        assert wait_seconds < 2
        assert second.upstreams == {'i-1'}

    run_with_fleet(scenario)


def test_another_instance_reads_after_the_reader_fails() -> None:
    async def scenario(fleet: Fleet) -> None:
        first = await fleet.add('n1')
        second = await fleet.add('n2', '127.9.2.1')
        await wait_until(lambda: first.version == second.version == 3)
        await asyncio.sleep(0.5)
        reader, other = first, second
        if first.gossip.myself.rank > second.gossip.myself.rank:
            reader, other = second, first
        await reader.stop()
        await fleet.publish(4)
        assert (
            await wait_until(lambda: other.version == 4)
            < STALENESS_LIMIT_SECONDS + 1
        )

    run_with_fleet(scenario)


def test_reader_that_loses_the_store_says_so_at_once() -> None:
    """It said so in the next periodic heartbeat."""
    announced: list[TopicChanges] = []
    steering = SteeringDriver().steering
    update = MemberUpdate('n1', ('127.9.2.1', 1), 'a', 0, can_read=True)
    gossip = GossipState(Member(update, 0), dict.fromkeys(Topic, 1.0))

    async def run() -> None:
        watcher = TopicWatcher(
            Topic.CONFIGURATION,
            Connection(UNREACHABLE_STORE),
            steering,
            gossip,
            announced.append,
        )
        with suppress(TimeoutError):
            async with asyncio.timeout(1):
                await watch_topic(watcher)

    asyncio.run(run())
    assert not gossip.myself.can_read
    assert len(announced) == 1
    assert announced[0].since == announced[0].until


def test_gossip_spreads_changes_without_fetches() -> None:
    """Only the reader reaches the store, and no instance serves topics."""

    async def scenario(fleet: Fleet) -> None:
        reader = await fleet.add('n1')
        reader.announces_changes = True
        others = [
            await fleet.add(name, '127.9.2.1', store=UNREACHABLE_STORE)
            for name in ('n2', 'n3', 'n4')
        ]
        await wait_until(lambda: all(each.version == 3 for each in others))
        await wait_until(
            lambda: all(each.upstreams == {'i-1'} for each in others)
        )
        for instance in fleet.instances:
            assert instance.server is not None
            instance.server.close()
        await fleet.register('i-2')
        await wait_until(
            lambda: all(len(each.upstreams) == 2 for each in others)
        )
        await fleet.publish(4)
        await wait_until(lambda: all(each.version == 4 for each in others))
        await fleet.put('servers', 'i-1', None)
        await wait_until(
            lambda: all(each.upstreams == {'i-2'} for each in others)
        )
        await fleet.put('evacuations', 'b', {})
        await wait_until(
            lambda: all('b' in each.steering.domains_out for each in others)
        )

    run_with_fleet(scenario)


def test_changes_of_other_topics_do_not_make_announced_changes_unusable() -> (
    None
):
    """They raise the revision from which the reader watches."""

    async def scenario(fleet: Fleet) -> None:
        reader = await fleet.add('n1')
        reader.announces_changes = True
        other = await fleet.add('n2', '127.9.2.1', store=UNREACHABLE_STORE)
        await wait_until(lambda: other.version == 3 and bool(other.upstreams))
        assert reader.server is not None
        reader.server.close()
        await fleet.register('i-2')
        await wait_until(lambda: len(other.upstreams) == 2)
        # Longer than a watch without changes takes.
        await asyncio.sleep(STALENESS_LIMIT_SECONDS)
        await fleet.publish(4)
        await wait_until(lambda: other.version == 4)

    run_with_fleet(scenario)


def test_missed_changes_are_fetched_without_the_whole_topic() -> None:
    """Changes are fetched from the reader, as no gossip announces them.

    The reader's whole topic lacks an upstream that the store holds, which
    shows whether changes or the whole topic were fetched.
    """

    async def scenario(fleet: Fleet) -> None:
        reader = await fleet.add('n1')
        other = await fleet.add('n2', '127.9.2.1', store=UNREACHABLE_STORE)
        await wait_until(lambda: other.upstreams == {'i-1'})
        end_upstream(reader.steering.pool, 'i-1', steady_seconds())
        reader.records_changes = True
        for name in ('i-2', 'i-3'):
            await fleet.register(name)
        await wait_until(lambda: other.upstreams == {'i-1', 'i-2', 'i-3'})

    run_with_fleet(scenario)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(strategies.binary(max_size=200), strategies.integers(0, 400))
def test_any_datagram_on_the_control_port_is_handled(
    random_bytes: bytes,
    position: int,
) -> None:
    """Send random bytes, and a heartbeat with some of its bytes replaced."""
    sent: list[bytes] = []
    steering = SteeringDriver().steering
    update = MemberUpdate('n1', ('127.9.2.1', 1), 'a', 0, can_read=True)
    gossip = GossipState(Member(update, 0), dict.fromkeys(Topic, 1.0))
    node = GossipNode(
        gossip, steering, (), lambda heartbeat, _: sent.append(heartbeat)
    )
    other = MemberUpdate('n2', ('127.9.2.2', 1), 'a', 5, can_read=True)
    heartbeat = Heartbeat(
        (other,), (TopicRevision(1, 0, 5),), (UpstreamUpdate(1, 2, 3, 4, 5),)
    )
    valid = encode_heartbeat(heartbeat)
    for datagram in (
        random_bytes,
        valid[:position] + random_bytes + valid[position + 5 :],
        valid,
    ):
        receive_heartbeat(node, datagram, ('127.9.2.2', 1))
    assert 'n2' in gossip.members.by_name
    for member in gossip.members.by_name.values():
        assert member.last_seen_at <= steady_seconds()


def test_older_version_is_ignored() -> None:
    """A version lower than the one in force is never applied."""

    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: instance.version == 3)
        await fleet.publish(9)
        await wait_until(lambda: instance.version == 9)
        await fleet.publish(8)
        await fleet.register('i-2')
        await wait_until(lambda: len(instance.upstreams) == 2)
        await asyncio.sleep(0.5)
        assert instance.version == 9

    run_with_fleet(scenario)


def test_unresponsive_upstream_is_reported_to_other_domains() -> None:
    async def scenario(fleet: Fleet) -> None:
        await fleet.register('i-2', zone='b')
        local = await fleet.add('n1')
        remote = await fleet.add('n2', '127.9.2.1', domain='b')
        await wait_until(
            lambda: len(local.upstreams) == len(remote.upstreams) == 2
        )
        await wait_until(lambda: bool(remote.gossip.members.by_name))
        now = steady_seconds()
        local.steering.now = now
        for name in ('i-1', 'i-2'):
            upstream = local.steering.pool.by_name[name]
            record_unanswered(local.steering, upstream, now - 0.1)
        remote_by_name = remote.steering.pool.by_name
        await wait_until(
            lambda: 'n1' in remote_by_name['i-1'].reports.by_member
        )
        assert remote_by_name['i-1'].reports.by_member['n1'].unanswered
        # The path from domain a to an upstream of b is irrelevant within b.
        assert 'n1' not in remote_by_name['i-2'].reports.by_member

    run_with_fleet(scenario)


MEMBER = ('n2', ('127.9.2.2', 1), 'a', 5, True)


@pytest.mark.parametrize(
    'heartbeat',
    (
        [[['n2', ['127.9.2.2', 1], 'a', -9_000_000, True]]],
        [[['n2', ['some.where', 1], 'a', 5, True]]],
        [[['n2', ['127.9.2.2', 99_999], 'a', 5, True]]],
        [[MEMBER], [[-1, 1, 0]]],
        [[MEMBER], [[1, 1, -5]]],
        [[MEMBER], [], [[1, -2, 0, -1, -1]]],
        [[]],
    ),
    ids=('age', 'address', 'port', 'topic', 'topic-age', 'busy', 'no-members'),
)
def test_heartbeat_with_invalid_values_is_malformed(
    heartbeat: list[object],
) -> None:
    """For example, a member last seen in the future would never time out."""
    assert decode_heartbeat(msgspec.msgpack.encode(heartbeat)) is None
