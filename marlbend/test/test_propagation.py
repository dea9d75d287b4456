"""Spread large configurations among instances behind slow links."""

import asyncio

from marlbend.clock import steady_seconds
from marlbend.edge.reload import STALENESS_SHARE
from marlbend.steering.gossip import Topic
from marlbend.test.edge import (
    Fleet,
    Instance,
    make_configuration,
    run_with_fleet,
    wait_until,
)

# The users' target for a change of the configuration on grown deployments.
APPLY_SECONDS = 5.0
# Half of 10 Mbit/s; callers' packets use the rest.
LINK_BYTES_PER_SECOND = 625_000
ROUTES = 1_640
INSTANCES = 8
STORM_SECONDS = 8.0
STORM_INTERVAL_SECONDS = 0.33


def test_storm_of_changes_to_many_routes_does_not_delay_them() -> None:
    """Links cannot carry every version whole to every instance."""

    async def scenario(fleet: Fleet) -> None:
        instances = await start_instances(fleet)
        seconds_by_version = await publish_storm(fleet, instances)
        assert fleet.version in seconds_by_version, seconds_by_version
        assert max(seconds_by_version.values()) < APPLY_SECONDS

    run_with_fleet(scenario)


async def start_instances(fleet: Fleet) -> list[Instance]:
    """Return instances that all have the configuration of many routes."""
    for number in range(INSTANCES):
        instance = await fleet.add(
            f'n{number}',
            '127.9.2.1',
            link_bytes_per_second=LINK_BYTES_PER_SECOND,
        )
        instance.announces_changes = True
        instance.gossip.staleness_limit_by_topic = dict.fromkeys(
            Topic, STALENESS_SHARE * APPLY_SECONDS
        )
    fleet.version = 4
    await publish_routes(fleet, fleet.version)
    instances = fleet.instances
    await wait_until(lambda: all(each.version == 4 for each in instances))
    return instances


async def publish_routes(fleet: Fleet, version: int) -> None:
    """Publish many routes, one of which depends on the version."""
    configuration = make_configuration(version, ROUTES)
    routes = configuration['routes']
    assert isinstance(routes, list)
    for route in routes:
        route.update(timeout_ms=2500, target_latency_ms=400, priority=2)
    routes[0]['target_latency_ms'] = version
    await fleet.put('config', 'main', configuration)


async def publish_storm(
    fleet: Fleet, instances: list[Instance]
) -> dict[int, float]:
    """Publish one version after another.

    Return how many seconds it took until each was in force everywhere, without
    those that were not when the time for the last one was over.
    """
    seconds_by_version: dict[int, float] = {}
    published_at = await start_storm(fleet, instances, seconds_by_version)
    ends_at = published_at[fleet.version] + APPLY_SECONDS
    while steady_seconds() < ends_at and fleet.version not in (
        seconds_by_version
    ):
        await asyncio.sleep(0.01)
        record_versions(instances, published_at, seconds_by_version)
    return seconds_by_version


async def start_storm(
    fleet: Fleet,
    instances: list[Instance],
    seconds_by_version: dict[int, float],
) -> dict[int, float]:
    """Publish each version; return when."""
    published_at: dict[int, float] = {}
    storm_ends_at = steady_seconds() + STORM_SECONDS
    while steady_seconds() < storm_ends_at:
        fleet.version += 1
        published_at[fleet.version] = steady_seconds()
        await publish_routes(fleet, fleet.version)
        next_at = published_at[fleet.version] + STORM_INTERVAL_SECONDS
        while steady_seconds() < next_at:
            await asyncio.sleep(0.01)
            record_versions(instances, published_at, seconds_by_version)
    return published_at


def record_versions(
    instances: list[Instance],
    published_at: dict[int, float],
    seconds_by_version: dict[int, float],
) -> None:
    """Record the versions that have come into force everywhere."""
    in_force = min(each.version for each in instances)
    for version, at in published_at.items():
        if version <= in_force:
            seconds_by_version.setdefault(version, steady_seconds() - at)
