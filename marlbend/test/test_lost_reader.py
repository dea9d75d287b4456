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
from marlbend.topics.knowledge import Topic

# The share of the users' bound of 3 s that the daemon uses.
STALENESS_LIMIT_SECONDS = 2.25
# The users' bound, from the removal to the last new flow.
DRAIN_SECONDS = 3.0
REMOVED = 'i-2'


async def start_fleet(fleet: Fleet, outage_ago: float) -> list[Instance]:
    """Start instances, the reader first, some seconds after an outage."""
    for name in ('i-2', 'i-3', 'i-4'):
        await fleet.register(name)
    for number in range(1, 5):
        instance = await fleet.add(f'n{number}', '127.9.2.1')
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
