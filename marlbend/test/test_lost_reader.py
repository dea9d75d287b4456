"""End an upstream in time when the reader of the platform is lost.

The others learn of the platform through the reader, and notice 2.25 s later
that it is lost.
"""

import asyncio
from collections.abc import Callable

import pytest

from marlbend.clock import steady_seconds
from marlbend.edge.maintenance import end_missing_upstreams
from marlbend.steering.upstreams import MISSING_SECONDS, Upstream
from marlbend.test.edge import Fleet, Instance, run_with_fleet, wait_until
from marlbend.topics.fetching import fetch_topic
from marlbend.topics.knowledge import Topic

# The share of the users' bound of 3 s that the daemon uses.
STALENESS_LIMIT_SECONDS = 2.25
# The users' bound, from the removal to the last new flow.
DRAIN_SECONDS = 3.0
LINK_BYTES = 50_000_000
REMOVED = 'i-2'


async def start_fleet(fleet: Fleet, outage_ago: float) -> list[Instance]:
    """Start instances, the reader first, some seconds after an outage."""
    for name in ('i-2', 'i-3', 'i-4'):
        await fleet.register(name)
    for number in range(1, 5):
        instance = await fleet.add(
            f'n{number}', '127.9.2.1', link_bytes_per_second=LINK_BYTES
        )
        instance.announces_changes = True
        # Otherwise all of them would read.
        instance.gossip.myself.knows_eras = True
        instance.gossip.staleness_limit_by_topic = dict.fromkeys(
            Topic, STALENESS_LIMIT_SECONDS
        )
        instance.tasks.append(
            asyncio.create_task(end_missing_upstreams(instance.node))
        )
    await wait_until(
        lambda: all(len(each.upstreams) == 4 for each in fleet.instances)
    )
    await asyncio.sleep(1)
    for instance in fleet.instances:
        recovered_at = steady_seconds() - outage_ago
        instance.gossip.recovered_at_by_topic[Topic.UPSTREAMS] = recovered_at
    return sorted(fleet.instances, key=lambda each: each.gossip.myself.rank)


def find_removed(instance: Instance) -> Upstream:
    return instance.steering.pool.by_name[REMOVED]


async def wait_for_all(
    instances: list[Instance], condition: Callable[[Upstream], bool]
) -> None:
    await wait_until(
        lambda: all(condition(find_removed(each)) for each in instances)
    )


@pytest.mark.parametrize(
    ('outage_ago', 'lost_after'), [(0.5, 1.5), (6, 1.5), (6, 2), (1000, 1.5)]
)
def test_removed_upstream_ends_in_time(
    outage_ago: float, lost_after: float
) -> None:
    """After an outage, it waited until the loss of the reader was noticed."""

    async def scenario(fleet: Fleet) -> None:
        reader, *others = await start_fleet(fleet, outage_ago)
        await fleet.put('servers', REMOVED, None)
        removed_at = steady_seconds()
        await asyncio.sleep(lost_after)
        await reader.stop()
        await wait_for_all(others, lambda each: each.ended_at > 0)
        for each in others:
            seconds = find_removed(each).ended_at - removed_at
            assert MISSING_SECONDS - 0.5 < seconds < DRAIN_SECONDS

    run_with_fleet(scenario)


@pytest.mark.parametrize('outage_ago', [6, 1000])
def test_removal_that_the_lost_reader_told_nobody_ends_in_time(
    outage_ago: float,
) -> None:
    """The wait began when another instance read the platform, 2.25 s later."""

    async def scenario(fleet: Fleet) -> None:
        reader, *others = await start_fleet(fleet, outage_ago)
        await reader.stop()
        await fleet.put('servers', REMOVED, None)
        removed_at = steady_seconds()
        await wait_for_all(others, lambda each: each.ended_at > 0)
        for each in others:
            assert find_removed(each).ended_at - removed_at < DRAIN_SECONDS

    run_with_fleet(scenario)


def test_removal_that_the_reader_cannot_read_ends_in_time() -> None:
    """The reader loses the store alone, and waits for a response for 1.8 s."""

    async def scenario(fleet: Fleet) -> None:
        reader, *others = await start_fleet(fleet, 1000)
        assert reader.links is not None
        reader.links[1].free_at = float('inf')
        await fleet.put('servers', REMOVED, None)
        removed_at = steady_seconds()
        await wait_for_all(others, lambda each: each.ended_at > 0)
        for each in others:
            assert find_removed(each).ended_at - removed_at < DRAIN_SECONDS

    run_with_fleet(scenario)


def test_removal_that_is_read_at_once_is_not_backdated() -> None:
    """The upstream would end before it could register again."""

    async def scenario(fleet: Fleet) -> None:
        instances = await start_fleet(fleet, 1000)
        await asyncio.sleep(0.5)
        await fleet.put('servers', REMOVED, None)
        removed_at = steady_seconds()
        await wait_for_all(instances, lambda each: each.missing_since > 0)
        for each in instances:
            assert find_removed(each).missing_since > removed_at - 0.4

    run_with_fleet(scenario)


def test_removal_that_was_missed_counts_from_when_the_platform_was_heard() -> (
    None
):
    """An instance that fetches the whole list does not know when it changed."""

    async def scenario(fleet: Fleet) -> None:
        await fleet.register(REMOVED)
        reader = await fleet.add('n1')
        other = await fleet.add('n2', '127.9.2.1')
        await wait_until(lambda: len(other.upstreams) == 2)
        reader.heartbeats.cancel()
        for task in (*other.tasks[:3], *reader.tasks[:3]):
            task.cancel()
        heard_at = other.gossip.confirmed_at_by_topic[Topic.UPSTREAMS]
        await asyncio.sleep(0.5)
        other.node.whole_needed.add(Topic.UPSTREAMS)
        reader.steering.pool.by_name[REMOVED].missing_since = steady_seconds()
        reader.gossip.revision_by_topic[Topic.UPSTREAMS] += 1
        await fetch_topic(other.node, Topic.UPSTREAMS, reader.endpoint)
        assert find_removed(other).missing_since == heard_at

    run_with_fleet(scenario)
