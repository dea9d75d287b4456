"""Hold the parts of a run, and write operators' and upstreams' objects."""

import asyncio
import json
from collections.abc import Iterator
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
from bench.endpoints.upstreams import (
    UpstreamServer,
    UpstreamState,
    simulate_crash,
)
from bench.store import Store, put_object
from marlbend.clock import steady_seconds
from soak.checker import QUIET_SECONDS, STORE, Checker, Release
from soak.fleet import Fleet

__all__ = (
    'DOMAINS',
    'ROUTES',
    'SERVICES',
    'SERVICE_SECONDS_BY_ENDPOINT',
    'SWITCHING_ENDPOINT',
    'UPSTREAM_NAME_FORMAT',
    'Run',
    'marker_of',
    'publish_next_release',
    'remove_upstream',
    'write_object',
    'write_registration',
)

DOMAINS: Final = ('a', 'b', 'c')
SERVICES: Final = ('catalog', 'survey')
ROUTES: Final = (
    Route(('198.18.0.1', 443), at_most_once=False, requests=8),
    Route(('198.18.0.2', 443), at_most_once=True, requests=1),
    Route(('198.18.0.3', 443), at_most_once=False, requests=3),
)
ROUTE_KIND_BY_ENDPOINT: Final = MappingProxyType(
    {route.endpoint: 'unsafe' for route in ROUTES if route.at_most_once}
)
# A route whose service changes with each release.
SWITCHING_ENDPOINT: Final = ('198.18.0.4', 443)
# How long requests take where processes place flows by work.  Each service gets
# requests of different costs.
SERVICE_SECONDS_BY_ENDPOINT: Final = MappingProxyType(
    {
        ROUTES[0].endpoint: 0.055,
        ROUTES[1].endpoint: 0.072,
        ROUTES[2].endpoint: 0.005,
        SWITCHING_ENDPOINT: 0.005,
    }
)
# Each release adds a marker route, and drops the one of this many releases ago.
MARKER_RELEASES: Final = 3
MARKER_ADDRESS_FORMAT: Final = '198.18.1.{}'
# After this many releases, markers have the same addresses again.
MARKER_COUNT: Final = 250
# The first part counts nets, the second one the addresses of a net.
IDLE_ADDRESS_FORMAT: Final = '198.19.{}.{}'
IDLE_ROUTES_PER_NET: Final = 256
# Upstreams of each service at the start of a run.
UPSTREAM_COUNTS: Final = (('catalog', 6), ('survey', 3))
WARMUP_FLOWS_PER_SECOND: Final = 1.0
# Packets to an upstream carry the number at the end of its name.
UPSTREAM_NAME_FORMAT: Final = 'h-{:012x}'
STORE_POLL_SECONDS: Final = 0.05
_MILLISECONDS_PER_SECOND: Final = 1000


class Run(msgspec.Struct):
    """Hold the parts of a run.

    `pinned_instance_by_port` names the instance that gets the packets of a
    caller's port instead of the one that the routers would choose.
    `domains_out` holds the domains that an operator has taken out.
    `unregistered` names the upstreams that serve without a registration.
    `lost_handshake_share` is the share of SYN+ACKs that callers do not get.
    `idle_routes` is the number of routes without traffic in each release.
    `starved_seconds` is the total time in which the machine starved the run's
    processes of CPU time.
    """

    store: Store
    fleet: Fleet
    random: Random
    upstream_by_name: dict[str, UpstreamServer] = {}
    upstreams_created: int = 0
    caller_by_domain: dict[str, Caller] = {}
    pinned_instance_by_port: dict[int, str] = {}
    starved_seconds: float = 0
    idle_routes: int = 0
    domains_out: set[str] = set()
    unregistered: set[str] = set()
    lost_handshake_share: float = 0
    tasks: set[asyncio.Task[None]] = set()

    @property
    def checker(self) -> Checker:
        """Return the checker of the run."""
        return self.fleet.checker


async def publish_next_release(run: Run) -> None:
    """Publish the next release."""
    checker = run.checker
    version = len(checker.releases) + 1
    service_by_endpoint = _make_routes(version)
    # A write that a disturbed store acknowledges starts no time bound.
    has_time_bound = checker.disturbances.is_quiet(QUIET_SECONDS, STORE)
    checker.releases.append(Release(version, float('inf'), service_by_endpoint))
    routes = [
        describe_route(
            endpoint, service, ROUTE_KIND_BY_ENDPOINT.get(endpoint, 'safe')
        )
        for endpoint, service in service_by_endpoint.items()
    ]
    routes.extend(_list_idle_routes(run.idle_routes))
    warmup_rates = dict.fromkeys(SERVICES, WARMUP_FLOWS_PER_SECOND)
    document = describe_configuration(version, routes, warmup_rates)
    await write_object(run, ('config', 'main'), document)
    if has_time_bound:
        checker.releases[version - 1] = Release(
            version, steady_seconds(), service_by_endpoint
        )


def _list_idle_routes(count: int) -> Iterator[dict[str, object]]:
    for number in range(count):
        address_parts = divmod(number, IDLE_ROUTES_PER_NET)
        address = IDLE_ADDRESS_FORMAT.format(*address_parts)
        yield describe_route((address, 443), SERVICES[0])


def _make_routes(version: int) -> dict[Endpoint, str]:
    """Return the service of each route in a release."""
    service_by_endpoint = {
        ROUTES[0].endpoint: SERVICES[0],
        ROUTES[1].endpoint: SERVICES[0],
        ROUTES[2].endpoint: SERVICES[1],
        SWITCHING_ENDPOINT: SERVICES[version % len(SERVICES)],
    }
    for marker in range(max(version - MARKER_RELEASES, 0) + 1, version + 1):
        service_by_endpoint[marker_of(marker)] = SERVICES[0]
    return service_by_endpoint


def marker_of(version: int) -> Endpoint:
    """Return the endpoint of the marker route that a release adds."""
    return MARKER_ADDRESS_FORMAT.format(version % MARKER_COUNT), 443


async def remove_upstream(run: Run, upstream: UpstreamServer) -> None:
    """Crash an upstream and remove its registration."""
    simulate_crash(upstream)
    await write_object(run, ('servers', upstream.name), None)


async def write_registration(run: Run, upstream: UpstreamServer) -> None:
    """Write the registration of an upstream in its current state."""
    warmup_left = max(upstream.cold_until - steady_seconds(), 0)
    registration = describe_upstream(
        upstream.service,
        upstream.udp_socket.getsockname(),
        upstream.domain,
        state='draining'
        if upstream.state is UpstreamState.DRAINING
        else 'ready',
        warmup_left_ms=int(warmup_left * _MILLISECONDS_PER_SECOND),
        born=upstream.born,
    )
    await write_object(run, ('servers', upstream.name), registration)


async def write_object(run: Run, path: tuple[str, str], spec: object) -> None:
    """Write an object to the store, or remove it if `spec` is None.

    Wait while the store is down.
    """
    while run.store.faults.down:
        await asyncio.sleep(STORE_POLL_SECONDS)
    if spec is None and path not in run.store.object_by_path:
        return
    body = None if spec is None else json.dumps(spec).encode()
    await put_object(run.store, path, body)
