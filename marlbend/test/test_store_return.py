"""Run instances on a store that comes back from a copy some seconds old."""

import asyncio

import pytest

from bench.store import Faults, copy_store, restore_copy, set_faults
from marlbend.clock import steady_seconds
from marlbend.test.edge import Fleet, Instance, run_with_fleet, wait_until
from marlbend.topics.knowledge import Topic

# Rates of the platform's smallest store, which all instances share.
READS_PER_SECOND = 2000
CHANGE_LIMIT_SECONDS = 3.0
OUTAGE_SECONDS = 0.3


async def start_fleet(fleet: Fleet, count: int) -> list[Instance]:
    instances = [await fleet.add('n1')]
    for number in range(2, count + 1):
        instances.append(await fleet.add(f'n{number}', '127.9.2.1'))
    for instance in instances:
        instance.announces_changes = True
    await wait_until(lambda: all(each.version == 3 for each in instances))
    await wait_until(lambda: all(each.upstreams for each in instances))
    return instances


async def lose_changes(fleet: Fleet, lost_writes: int) -> None:
    """Let the store lose writes and come back from the copy before them."""
    copy = copy_store(fleet.store)
    for number in range(1, lost_writes + 1):
        await fleet.register(f'i-{number:04x}')
    await asyncio.sleep(0.5)
    await set_faults(fleet.store, Faults(down=True))
    await asyncio.sleep(OUTAGE_SECONDS)
    await restore_copy(fleet.store, copy)
    await set_faults(fleet.store, Faults())


@pytest.mark.parametrize('lost_writes', (1, 40))
def test_changes_after_a_return_are_not_missed(lost_writes: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 4)
        await lose_changes(fleet, lost_writes)
        await fleet.publish(8)
        await fleet.register('i-ffff')
        async with asyncio.timeout(CHANGE_LIMIT_SECONDS):
            await wait_until(
                lambda: all(
                    each.version == 8 and 'i-ffff' in each.upstreams
                    for each in instances
                )
            )

    run_with_fleet(scenario)


def test_changes_after_two_returns_within_seconds_are_not_missed() -> None:
    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 4)
        copy = copy_store(fleet.store)
        await fleet.register('i-2')
        await fleet.publish(5)
        await wait_until(lambda: all(each.version == 5 for each in instances))
        await restore_copy(fleet.store, copy)
        await asyncio.sleep(0.2)
        await fleet.register('i-3')
        await asyncio.sleep(0.4)
        await restore_copy(fleet.store, copy)
        await fleet.publish(8)
        await fleet.register('i-4')
        async with asyncio.timeout(CHANGE_LIMIT_SECONDS):
            await wait_until(
                lambda: all(
                    each.version == 8 and 'i-4' in each.upstreams
                    for each in instances
                )
            )
        for instance in instances:
            assert is_in_era(instance, 3)
            assert not instance.steering.pool.by_name['i-2'].ended_at

    run_with_fleet(scenario)


def test_return_does_not_make_instances_call_the_store_without_a_pause() -> (
    None
):
    async def scenario(fleet: Fleet) -> None:
        await start_fleet(fleet, 8)
        await lose_changes(fleet, 40)
        calls_before = fleet.store.request_count
        await asyncio.sleep(2)
        calls_per_second = (fleet.store.request_count - calls_before) / 2
        assert calls_per_second < 0.1 * READS_PER_SECOND

    run_with_fleet(scenario)


def test_version_that_the_copy_lacks_stays_in_force() -> None:
    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 3)
        copy = copy_store(fleet.store)
        await fleet.publish(5)
        await wait_until(lambda: all(each.version == 5 for each in instances))
        await restore_copy(fleet.store, copy)
        await asyncio.sleep(1)
        assert [each.version for each in instances] == [5, 5, 5]

    run_with_fleet(scenario)


def test_instance_that_starts_after_a_return_learns_the_lost_version() -> None:
    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 2)
        copy = copy_store(fleet.store)
        await fleet.publish(5)
        await wait_until(lambda: all(each.version == 5 for each in instances))
        await restore_copy(fleet.store, copy)
        await asyncio.sleep(1)
        started = await fleet.add('n9', '127.9.2.1')
        async with asyncio.timeout(CHANGE_LIMIT_SECONDS):
            await wait_until(lambda: started.version == 5)

    run_with_fleet(scenario)


def test_upstream_that_the_copy_lacks_is_not_ended() -> None:
    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 3)
        copy = copy_store(fleet.store)
        await fleet.register('i-2', state='ready')
        await fleet.register('i-3', state='draining')
        await wait_until(
            lambda: all(len(each.upstreams) == 3 for each in instances)
        )
        await restore_copy(fleet.store, copy)
        await wait_until(lambda: all(is_in_era(each, 2) for each in instances))
        await asyncio.sleep(0.5)
        for instance in instances:
            pool = instance.steering.pool
            assert not pool.by_name['i-2'].ended_at
            assert not pool.by_name['i-3'].ended_at

    run_with_fleet(scenario)


def test_upstream_that_left_is_not_used_because_the_copy_has_it() -> None:
    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 3)
        await fleet.register('i-2')
        await wait_until(
            lambda: all(len(each.upstreams) == 2 for each in instances)
        )
        copy = copy_store(fleet.store)
        await fleet.register('i-2', state='draining')
        await wait_until(lambda: not any(map(is_i2_accepting, instances)))
        await fleet.put('servers', 'i-2', None)
        await wait_until(lambda: all(has_ended(each) for each in instances))
        await restore_copy(fleet.store, copy)
        await wait_until(lambda: all(is_in_era(each, 2) for each in instances))
        await asyncio.sleep(0.5)
        assert all(has_ended(each) for each in instances)

    run_with_fleet(scenario)


def test_draining_upstream_is_not_used_because_the_copy_is_older() -> None:
    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 3)
        copy = copy_store(fleet.store)
        await fleet.register('i-1', state='draining')
        await wait_until(lambda: not any(map(is_accepting, instances)))
        await restore_copy(fleet.store, copy)
        await wait_until(lambda: all(is_in_era(each, 2) for each in instances))
        await asyncio.sleep(0.5)
        assert not any(map(is_accepting, instances))

    run_with_fleet(scenario)


def test_domain_out_that_the_copy_lacks_is_not_used() -> None:
    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 3)
        copy = copy_store(fleet.store)
        await fleet.put('evacuations', 'b', {})
        await wait_until(lambda: all(map(is_b_out, instances)))
        await restore_copy(fleet.store, copy)
        await wait_until(
            lambda: all(
                is_in_era(each, 2, Topic.DOMAINS_OUT) for each in instances
            )
        )
        await asyncio.sleep(0.5)
        assert all(map(is_b_out, instances))
        await fleet.put('evacuations', 'b', {})
        await fleet.put('evacuations', 'b', None)
        await wait_until(
            lambda: (
                not any(
                    each.steering.domains_out.get('b') == float('inf')
                    for each in instances
                )
            )
        )

    run_with_fleet(scenario)


def test_instance_started_after_a_return_knows_what_the_copy_lacks() -> None:
    """It would reset open flows, whose cookie it doesn't know."""

    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 3)
        copy = copy_store(fleet.store)
        await fleet.register('i-2')
        await fleet.put('evacuations', 'b', {})
        await wait_until(
            lambda: all(
                'i-2' in each.upstreams and is_b_out(each) for each in instances
            )
        )
        await restore_copy(fleet.store, copy)
        await wait_until(lambda: all(is_in_era(each, 2) for each in instances))
        started = await fleet.add('n9', '127.9.2.1')
        async with asyncio.timeout(CHANGE_LIMIT_SECONDS):
            await wait_until(
                lambda: (
                    'i-2' in started.steering.pool.by_name and is_b_out(started)
                )
            )
        assert 'i-2' not in started.upstreams

    run_with_fleet(scenario)


def test_instances_that_all_started_lately_reset_no_unknown_cookie() -> None:
    """One that started earlier than another may know no more than that one."""

    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 3)
        await asyncio.sleep(1)
        assert not any(each.steering.pool.knows_ended for each in instances)
        instances[0].steering.pool.knows_ended = True
        started = await fleet.add('n9', '127.9.2.1')
        await wait_until(lambda: started.steering.pool.knows_ended)

    run_with_fleet(scenario)


def test_store_without_history_is_not_called_without_a_pause() -> None:
    async def scenario(fleet: Fleet) -> None:
        await start_fleet(fleet, 4)
        fleet.store.compacted_revision = 1_000_000
        calls_before = fleet.store.request_count
        await asyncio.sleep(4)
        # For each of three topics, each of four instances may spend what it
        # has saved, and then four calls a second.
        assert fleet.store.request_count - calls_before <= 4 * 3 * (8 + 4 * 4)

    run_with_fleet(scenario)


def test_response_of_a_former_era_changes_nothing() -> None:
    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 3)
        await restore_copy(fleet.store, copy_store(fleet.store))
        await wait_until(lambda: all(is_in_era(each, 2) for each in instances))
        await fleet.publish(5)
        await wait_until(lambda: all(each.version == 5 for each in instances))
        fleet.store.era = 1
        await fleet.publish(6)
        await asyncio.sleep(1)
        assert [each.version for each in instances] == [5, 5, 5]
        fleet.store.era = 3
        async with asyncio.timeout(CHANGE_LIMIT_SECONDS):
            await wait_until(
                lambda: all(each.version == 6 for each in instances)
            )

    run_with_fleet(scenario)


def test_store_that_returns_while_a_list_is_read_is_listed_again() -> None:
    async def scenario(fleet: Fleet) -> None:
        for number in range(1, 701):
            await fleet.register(f'i-{number:04x}')
        await set_faults(fleet.store, Faults(delay_seconds=0.1))
        instance = await fleet.add('n1')
        await asyncio.sleep(0.15)
        copy = copy_store(fleet.store)
        copy.object_by_path.pop(('servers', 'i-0001'))
        await restore_copy(fleet.store, copy)
        await wait_until(lambda: len(instance.upstreams) == 700)
        assert is_in_era(instance, 2)

    run_with_fleet(scenario)


def is_in_era(
    instance: Instance, era: int, topic: Topic = Topic.UPSTREAMS
) -> bool:
    return instance.gossip.era_by_topic[topic] == era


def has_ended(instance: Instance) -> bool:
    return instance.steering.pool.by_name['i-2'].ended_at > 0


def is_accepting(instance: Instance) -> bool:
    return instance.steering.pool.by_name['i-1'].entry.accepting


def is_i2_accepting(instance: Instance) -> bool:
    return instance.steering.pool.by_name['i-2'].entry.accepting


def is_b_out(instance: Instance) -> bool:
    return instance.steering.domains_out.get('b', 0) > steady_seconds()
