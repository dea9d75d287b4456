"""Spread large configurations among instances behind slow links."""

import asyncio
from random import Random

import msgspec
import pytest
from hypothesis import given, settings, strategies

from bench.store import Faults, set_faults
from marlbend.clock import steady_seconds
from marlbend.edge.reload import STALENESS_SHARE
from marlbend.http import Connection
from marlbend.ownership.watch import watch_object
from marlbend.platform.client import PlatformClient
from marlbend.steering.documents import Publication, RouteSpec, ServiceLimits
from marlbend.steering.routes import change_publication, compare_publications
from marlbend.test.edge import (
    STALENESS_LIMIT_SECONDS,
    Fleet,
    Instance,
    make_configuration,
    run_with_fleet,
    wait_until,
)
from marlbend.test.links import Link, start_link
from marlbend.topics.contents import decode_topic
from marlbend.topics.knowledge import Topic
from marlbend.topics.reader import LIST_TIMEOUT_SECONDS
from marlbend.wire.compression import MAX_BYTES, compress, decompress

# The users' target for a change of the configuration on grown deployments.
APPLY_SECONDS = 5.0
# Half of 10 Mbit/s; callers' packets use the rest.
LINK_BYTES_PER_SECOND = 625_000
# Half of 5 Mbit/s.
SLOWEST_LINK_BYTES_PER_SECOND = 312_500
FAST_LINK_BYTES_PER_SECOND = 50_000_000
ROUTES = 1_640
MANY_ROUTES = 3_040
UPSTREAMS = 1_500
INSTANCES = 8
STORM_SECONDS = 8.0
STORM_INTERVAL_SECONDS = 0.33
LINK_ENDPOINT = ('127.9.2.1', 6073)
# Nothing listens there, so that the instance cannot reach the store.
UNREACHABLE_STORE = ('127.0.0.1', 9)

specs = strategies.builds(
    RouteSpec,
    strategies.sampled_from(('r-1', 'r-2')),
    strategies.binary(min_size=1, max_size=1),
    strategies.sampled_from(((('s-1', 1),), (('s-2', 1),))),
    strategies.booleans(),
)
versions = strategies.builds(
    Publication,
    strategies.integers(1, 9),
    strategies.lists(specs, unique_by=lambda spec: spec.endpoint).map(tuple),
    strategies.dictionaries(
        strategies.sampled_from(('s-1', 's-2')),
        strategies.builds(ServiceLimits, strategies.integers(0, 2)),
    ),
)


def test_storm_of_changes_to_many_routes_does_not_delay_them() -> None:
    """Links cannot carry every version whole to every instance."""

    async def scenario(fleet: Fleet) -> None:
        instances = await start_instances(fleet)
        seconds_by_version = await publish_storm(fleet, instances)
        assert fleet.version in seconds_by_version, seconds_by_version
        assert max(seconds_by_version.values()) < APPLY_SECONDS

    run_with_fleet(scenario)


def test_storm_of_changes_to_many_upstreams_does_not_delay_them() -> None:
    async def scenario(fleet: Fleet) -> None:
        names = [f'i-{number:04x}' for number in range(1, UPSTREAMS + 1)]
        for name in names:
            await fleet.register(name)
        for number in range(INSTANCES):
            await add_with_target(fleet, f'n{number}')
        instances = fleet.instances
        await wait_until(
            lambda: all(len(each.upstreams) > UPSTREAMS for each in instances)
        )
        slots = 1
        storm_ends_at = steady_seconds() + STORM_SECONDS
        while steady_seconds() < storm_ends_at:
            slots += 1
            for name in names:
                await fleet.register(name, slots=slots)
            await asyncio.sleep(STORM_INTERVAL_SECONDS)
        seconds = await wait_until(
            lambda: all(
                each.steering.pool.by_name[name].entry.slots == slots
                for each in instances
                for name in names
            )
        )
        assert seconds < APPLY_SECONDS

    run_with_fleet(scenario)


def test_stale_instance_does_not_read_versions_that_were_replaced() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1', link_bytes_per_second=10_000_000)
        await wait_until(lambda: instance.version == 3)
        await set_faults(fleet.store, Faults(silent=True))
        for version in range(4, 14):
            await publish_routes(fleet, version)
        await asyncio.sleep(2 * STALENESS_LIMIT_SECONDS)
        await set_faults(fleet.store, Faults())
        await wait_until(lambda: instance.version == 13)
        transfers = instance.gossip.transfers_by_topic[Topic.CONFIGURATION]
        assert not transfers.superseded

    run_with_fleet(scenario)


def test_reader_lists_what_changes_faster_than_it_is_read() -> None:
    """Each watch would return more versions than the one before."""

    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add(
            'n1', link_bytes_per_second=LINK_BYTES_PER_SECOND
        )
        await wait_until(lambda: instance.version == 3)
        for version in range(4, 24):
            await publish_routes(fleet, version)
            await asyncio.sleep(0.1)
        seconds = await wait_until(lambda: instance.version == 23)
        assert seconds < APPLY_SECONDS

    run_with_fleet(scenario)


def test_reader_that_loses_the_store_does_not_delay_a_large_configuration() -> (
    None
):
    """Another instance had too little time left to read it."""

    async def scenario(fleet: Fleet) -> None:
        # Fast links keep the watches of all topics in step at first.
        await publish_routes(fleet, 4, MANY_ROUTES)
        instances = [
            await add_with_target(fleet, name, FAST_LINK_BYTES_PER_SECOND)
            for name in ('a', 'b')
        ]
        reader = min(instances, key=lambda each: each.gossip.myself.rank)
        other = max(instances, key=lambda each: each.gossip.myself.rank)
        await wait_until(lambda: reader.version == other.version == 4)
        assert other.links is not None
        for link in other.links:
            link.bytes_per_second = SLOWEST_LINK_BYTES_PER_SECOND
        confirmed_at = reader.gossip.confirmed_at_by_topic
        previous = confirmed_at[Topic.CONFIGURATION]
        await wait_until(lambda: confirmed_at[Topic.CONFIGURATION] > previous)
        assert reader.links is not None
        reader.links[1].free_at = float('inf')
        await publish_routes(fleet, 5, MANY_ROUTES)
        seconds = await wait_until(lambda: other.version == 5)
        assert seconds < APPLY_SECONDS

    run_with_fleet(scenario)


def test_watcher_does_not_read_every_version_of_a_large_object() -> None:
    """Steering by owner watches whole configurations, too."""

    async def scenario(fleet: Fleet) -> None:
        server = await start_link(
            Link(LINK_BYTES_PER_SECOND), LINK_ENDPOINT, fleet.address
        )
        seen: list[int] = []
        address, port = LINK_ENDPOINT
        watcher = asyncio.create_task(
            watch_object(
                PlatformClient(f'http://{address}:{port}'),
                ('config', 'main'),
                lambda stored: seen.append(stored.revision),
                Random(1),
            )
        )
        await wait_until(lambda: bool(seen))
        for version in range(4, 24):
            await publish_routes(fleet, version)
            await asyncio.sleep(0.1)
        seconds = await wait_until(lambda: seen[-1] == fleet.store.revision)
        assert seconds < APPLY_SECONDS
        watcher.cancel()
        server.close()

    run_with_fleet(scenario)


def test_response_that_takes_longer_than_its_time_limit_is_received() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1', link_bytes_per_second=100_000)
        await wait_until(lambda: instance.version == 3)
        await publish_routes(fleet, 4)
        seconds = await wait_until(lambda: instance.version == 4)
        assert LIST_TIMEOUT_SECONDS < seconds < APPLY_SECONDS

    run_with_fleet(scenario)


def test_change_of_one_route_does_not_send_all_routes() -> None:
    """The other instance can neither read nor fetch the whole."""

    async def scenario(fleet: Fleet) -> None:
        await publish_routes(fleet, 4)
        reader = await fleet.add('n1')
        reader.announces_changes = True
        other = await fleet.add('n2', '127.9.2.1', store=UNREACHABLE_STORE)
        await wait_until(lambda: other.version == 4)
        assert reader.server is not None
        reader.server.close()
        await publish_routes(fleet, 5)
        await wait_until(lambda: other.version == 5)
        assert (
            other.steering.routes.publication
            == reader.steering.routes.publication
        )

    run_with_fleet(scenario)


def test_change_from_another_version_leads_to_a_fetch_of_the_whole() -> None:
    async def scenario(fleet: Fleet) -> None:
        reader = await fleet.add('n1')
        reader.announces_changes = True
        other = await fleet.add('n2', '127.9.2.1', store=UNREACHABLE_STORE)
        await wait_until(lambda: other.version == 3)
        # A periodic heartbeat would report that version 3 is missing.
        reader.heartbeats.cancel()
        routes = other.steering.routes
        routes.publication = msgspec.structs.replace(
            routes.publication, version=2, routes=()
        )
        await fleet.publish(4, routes=20)
        await wait_until(lambda: other.version == 4)
        assert len(routes.by_endpoint) == 20
        transfers = other.gossip.transfers_by_topic[Topic.CONFIGURATION]
        assert transfers.unusable_changes

    run_with_fleet(scenario)


def test_instance_of_an_earlier_release_gets_uncompressed_contents() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        instance.announces_changes = True
        await wait_until(lambda: instance.version == 3)
        revision = instance.gossip.revision_by_topic[Topic.CONFIGURATION]
        await fleet.publish(4)
        await wait_until(lambda: instance.version == 4)
        connection = Connection(instance.endpoint)
        response = await connection.request(
            'GET', f'/beliefs/0?since={revision}', 1
        )
        connection.close()
        reply = msgspec.msgpack.decode(response.body)
        body, changes = reply[2:4]
        assert decode_topic(Topic.CONFIGURATION, body)
        assert not changes

    run_with_fleet(scenario)


@settings(deadline=None, derandomize=True)
@given(versions, versions)
def test_compared_publications_lead_from_one_to_the_other(
    previous: Publication, current: Publication
) -> None:
    change = compare_publications(previous, current)
    changed = change_publication(previous, change)
    assert changed is not None
    assert set(changed.routes) == set(current.routes)
    assert changed.limits_by_service == current.limits_by_service
    assert changed.version == current.version
    other = msgspec.structs.replace(previous, version=previous.version + 1)
    assert change_publication(other, change) is None


def test_malformed_compressed_bodies_are_rejected() -> None:
    compressed = compress(bytes(100))
    assert decompress(compressed) == bytes(100)
    too_long = compress(bytes(MAX_BYTES + 1))
    for malformed in (b'', b'x', compressed[:-1], too_long):
        with pytest.raises(msgspec.DecodeError):
            decompress(malformed)


async def start_instances(fleet: Fleet) -> list[Instance]:
    """Return instances that all have the configuration of many routes."""
    for number in range(INSTANCES):
        await add_with_target(fleet, f'n{number}')
    fleet.version = 4
    await publish_routes(fleet, fleet.version)
    instances = fleet.instances
    await wait_until(lambda: all(each.version == 4 for each in instances))
    return instances


async def add_with_target(
    fleet: Fleet,
    name: str,
    link_bytes_per_second: float = LINK_BYTES_PER_SECOND,
) -> Instance:
    """Start an instance behind a link, with the target of the users."""
    instance = await fleet.add(
        name, '127.9.2.1', link_bytes_per_second=link_bytes_per_second
    )
    instance.announces_changes = True
    instance.gossip.staleness_limit_by_topic = dict.fromkeys(
        Topic, STALENESS_SHARE * APPLY_SECONDS
    )
    return instance


async def publish_routes(
    fleet: Fleet, version: int, route_count: int = ROUTES
) -> None:
    """Publish many routes, one of which depends on the version."""
    configuration = make_configuration(version, route_count)
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
