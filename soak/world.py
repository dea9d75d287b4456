"""Hold a run, and write what operators and upstreams leave in its store."""

import asyncio
import json
from random import Random
from types import MappingProxyType
from typing import Final

import msgspec

from bench.documents import (
    describe_configuration,
    describe_route,
    describe_upstream,
)
from bench.endpoints.callers import Caller, Route
from bench.endpoints.packets import Endpoint
from bench.endpoints.upstreams import HostState, UpstreamHost, crash_host
from bench.store import Store, put_object
from marlbend.clock import steady_seconds
from soak.fleet import Fleet
from soak.judge import CONTACT_SECONDS, CORE, Judge, Release

__all__ = (
    'DOMAINS',
    'MOVING',
    'NAME',
    'ROUTES',
    'SERVICES',
    'World',
    'marker_of',
    'publish',
    'put',
    'remove_host',
    'write_entry',
)

DOMAINS: Final = ('a', 'b', 'c')
SERVICES: Final = ('catalog', 'survey')
ROUTES: Final = (
    Route(('198.18.0.1', 443), at_most_once=False, requests=8),
    Route(('198.18.0.2', 443), at_most_once=True, requests=1),
    Route(('198.18.0.3', 443), at_most_once=False, requests=3),
)
KIND_BY_ENDPOINT: Final = MappingProxyType(
    {route.endpoint: 'unsafe' for route in ROUTES if route.at_most_once}
)
# Its service changes with each release.
MOVING: Final = ('198.18.0.4', 443)
# Each release adds a route; it is dropped again so many releases later.
MARKED_RELEASES: Final = 3
MARKER_NETWORK: Final = '198.18.1.{}'
MARKERS: Final = 250
HOSTS_BY_SERVICE: Final = (('catalog', 6), ('survey', 3))
# New flows a second that a cold upstream bears.
COLD_RATE: Final = 1.0
# Upstreams know their packets by the number at the end.
NAME: Final = 'h-{:012x}'
POLL_SECONDS: Final = 0.05
_MILLISECONDS: Final = 1000


class World(msgspec.Struct):
    """Hold the parts of a run.

    `forced_by_port` names the instance that gets the packets of a caller's
    port, whatever the routers say, `domains_out` the domains that an operator
    has taken out.  `muted_seconds` adds up for how long the
    machine had no time.
    """

    store: Store
    fleet: Fleet
    random: Random
    host_by_name: dict[str, UpstreamHost] = {}
    hosts_made: int = 0
    caller_by_domain: dict[str, Caller] = {}
    forced_by_port: dict[int, str] = {}
    muted_seconds: float = 0
    domains_out: set[str] = set()
    tasks: set[asyncio.Task[None]] = set()

    @property
    def judge(self) -> Judge:
        """Return the judge of the run."""
        return self.fleet.judge


async def publish(world: World) -> None:
    """Publish the next release."""
    judge = world.judge
    version = len(judge.releases) + 1
    service_by_endpoint = _route_release(version)
    # What an unwell store acknowledges is in force, but nobody is held to it.
    held_to = judge.peace.holds(CONTACT_SECONDS, CORE)
    judge.releases.append(Release(version, float('inf'), service_by_endpoint))
    routes = [
        describe_route(
            endpoint, service, KIND_BY_ENDPOINT.get(endpoint, 'safe')
        )
        for endpoint, service in service_by_endpoint.items()
    ]
    rates = dict.fromkeys(SERVICES, COLD_RATE)
    document = describe_configuration(version, routes, rates)
    await put(world, ('config', 'main'), document)
    if held_to:
        judge.releases[version - 1] = Release(
            version, steady_seconds(), service_by_endpoint
        )


def _route_release(version: int) -> dict[Endpoint, str]:
    """Return the service of each route of a release."""
    service_by_endpoint = {
        ROUTES[0].endpoint: SERVICES[0],
        ROUTES[1].endpoint: SERVICES[0],
        ROUTES[2].endpoint: SERVICES[1],
        MOVING: SERVICES[version % len(SERVICES)],
    }
    for marked in range(max(version - MARKED_RELEASES, 0) + 1, version + 1):
        service_by_endpoint[marker_of(marked)] = SERVICES[0]
    return service_by_endpoint


def marker_of(version: int) -> Endpoint:
    """Return the route that a release adds."""
    return MARKER_NETWORK.format(version % MARKERS), 443


async def remove_host(world: World, host: UpstreamHost) -> None:
    """End an upstream and its registration."""
    crash_host(host)
    await put(world, ('servers', host.name), None)


async def write_entry(world: World, host: UpstreamHost) -> None:
    """Register an upstream as it is now."""
    left = max(host.cold_until - steady_seconds(), 0)
    entry = describe_upstream(
        host.service,
        host.udp_socket.getsockname(),
        host.domain,
        state='draining' if host.state is HostState.DRAINING else 'ready',
        warmup_left_ms=int(left * _MILLISECONDS),
        born=host.born,
    )
    await put(world, ('servers', host.name), entry)


async def put(world: World, path: tuple[str, str], spec: object) -> None:
    """Write an object of the store, or remove it where there is no spec.

    Who writes waits for a store that takes it.
    """
    while world.store.faults.down:
        await asyncio.sleep(POLL_SECONDS)
    if spec is None and path not in world.store.object_by_path:
        return
    body = None if spec is None else json.dumps(spec).encode()
    await put_object(world.store, path, body)
