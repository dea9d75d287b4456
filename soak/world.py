"""Wire a run: store, upstreams, routers, callers, instances and the judge.

This is the composition root of the soak.
"""

import asyncio
import json
import pathlib
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from random import Random
from types import MappingProxyType
from typing import Final

import msgspec
from aiohttp import web

from bench.documents import (
    describe_configuration,
    describe_route,
    describe_upstream,
)
from bench.ends.callers import Caller, Route, is_fitting
from bench.ends.hosts import (
    FABRIC_PORT,
    NUMBER_BYTES,
    Host,
    State,
    crash_host,
    holds_flow,
    take_datagram,
)
from bench.ends.packets import (
    SYN,
    Endpoint,
    Packet,
    build_packet,
    flow_key,
    read_packet,
)
from bench.ends.witness import shorten
from bench.platform import STORE_KEY, make_application
from bench.store import Store, put_object
from marlbend.clock import steady_seconds
from marlbend.sockets import make_sender, open_socket, start_reading_senders
from soak.fleet import (
    STORE_PORT,
    Fleet,
    choose_instance,
    end_fleet,
    join_instance,
    take_network,
)
from soak.judge import (
    CONTACT_SECONDS,
    CORE,
    Arrival,
    Judge,
    Release,
    judge_opening,
    judge_refusal,
    judge_reset,
    make_witness,
)
from soak.links import Links, Peace, Place, carry
from soak.schedule import Schedule

__all__ = (
    'DOMAINS',
    'MOVING',
    'NAME',
    'ROUTES',
    'SERVICES',
    'World',
    'add_host',
    'marker_of',
    'open_world',
    'publish',
    'put',
    'remove_host',
    'write_entry',
)

DOMAINS: Final = ('a', 'b', 'c')
SERVICES: Final = ('catalog', 'survey')
ROUTES: Final = (
    Route(('198.18.0.1', 443), once=False, requests=8),
    Route(('198.18.0.2', 443), once=True, requests=1),
    Route(('198.18.0.3', 443), once=False, requests=3),
)
KIND_BY_ENDPOINT: Final = MappingProxyType(
    {route.endpoint: 'unsafe' for route in ROUTES if route.once}
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
    host_by_name: dict[str, Host] = {}
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


@asynccontextmanager
async def open_world(
    schedule: Schedule,
    folder: pathlib.Path,
) -> AsyncIterator[World]:
    """Run everything but callers and faults."""
    base, held = take_network()
    application = make_application()
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, f'{base}.6.1', STORE_PORT).start()
    world = _make_world(application[STORE_KEY], base, schedule.seed, folder)
    async with AsyncExitStack() as stack:
        stack.callback(held.close)
        stack.push_async_callback(runner.cleanup)
        stack.push_async_callback(end_fleet, world.fleet)
        await _fill_world(world, schedule)
        yield world


def _make_world(
    store: Store,
    base: str,
    seed: int,
    folder: pathlib.Path,
) -> World:
    random = Random(seed)
    fleet = Fleet(base, folder, Judge(Peace()), Links(random))
    return World(store, fleet, random)


async def _fill_world(world: World, schedule: Schedule) -> None:
    for service, count in HOSTS_BY_SERVICE:
        for number in range(count):
            await add_host(world, service, DOMAINS[number % len(DOMAINS)])
    await publish(world)
    base = world.fleet.base
    for number, domain in enumerate(DOMAINS, 1):
        _join_caller(world, f'{base}.5.{number}', domain)
    for position in range(schedule.instances):
        near = DOMAINS[position % len(DOMAINS)]
        await join_instance(world.fleet, position + 1, near)


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


async def add_host(
    world: World,
    service: str,
    domain: str,
    cold_seconds: float = 0,
    reused: Host | None = None,
) -> Host:
    """Start and register an upstream, perhaps at the address of another."""
    world.hosts_made += 1
    number = world.hosts_made
    name = NAME.format(number)
    if reused is None:
        base = world.fleet.base
        end = open_socket(f'{base}.4.{number}', FABRIC_PORT)
    else:
        end = reused.end
        asyncio.get_running_loop().remove_reader(end)
    host = Host(make_witness(world.judge), name, service, domain, end)
    world.host_by_name[name] = host
    start_reading_senders(end, partial(_reach_host, world, host), lambda: None)
    host.cold_until = steady_seconds() + cold_seconds if cold_seconds else 0
    await write_entry(world, host)
    return host


async def remove_host(world: World, host: Host) -> None:
    """End an upstream and its registration."""
    crash_host(host)
    await put(world, ('servers', host.name), None)


async def write_entry(world: World, host: Host) -> None:
    """Register an upstream as it is now."""
    left = max(host.cold_until - steady_seconds(), 0)
    entry = describe_upstream(
        host.service,
        host.end.getsockname(),
        host.domain,
        state='draining' if host.state is State.DRAINING else 'ready',
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
    if spec is None and path not in world.store.by_path:
        return
    body = None if spec is None else json.dumps(spec).encode()
    await put_object(world.store, path, body)


def _reach_host(
    world: World,
    host: Host,
    datagram: bytes,
    sender: Endpoint,
) -> None:
    """Carry a datagram from an instance to an upstream."""
    instance = world.fleet.by_address.get(sender[0])
    if instance is None:
        return

    def deliver() -> None:
        name = instance.place.name
        _judge_way(world, host, datagram, name)
        opening = take_datagram(host, datagram)
        if opening is None:
            return
        judge_opening(
            world.judge,
            Arrival(
                opening.target,
                _find_sent(world, opening),
                host.name,
                host.service,
                host.domain,
                (name, instance.incarnation),
                COLD_RATE if host.cold_until > steady_seconds() else 0,
            ),
        )

    carry(
        world.fleet.links,
        instance.place,
        Place(host.name, host.domain),
        deliver,
    )


def _judge_way(world: World, host: Host, datagram: bytes, name: str) -> None:
    """Judge that a packet of an open flow goes to the upstream that has it."""
    packet = read_packet(datagram[NUMBER_BYTES:])
    if packet is None or packet.flags & SYN:
        return
    key = flow_key(packet)
    for other in world.host_by_name.values():
        if other is not host and holds_flow(other, key):
            text = f'{key} sent to {host.name}'
            judge_reset(world.judge, name, other.name, text)


def _find_sent(world: World, opening: Packet) -> float:
    """Return when the caller sent an opening packet, zero if unknown."""
    for caller in world.caller_by_domain.values():
        flow = caller.flow_by_port.get(opening.source[1])
        if caller.address == opening.source[0] and flow is not None:
            return flow.sent_at[opening.acknowledged]
    return 0


def _join_caller(world: World, address: str, domain: str) -> None:
    end = open_socket(address, FABRIC_PORT)
    send_raw = make_sender(end, lambda: None)
    router = Place(f'router {domain}', domain)

    def send(packet: Packet) -> None:
        flow = f'{packet.source}{packet.target}'.encode()
        forced = world.forced_by_port.get(packet.source[1])
        instance = world.fleet.by_name.get(forced or '')
        instance = instance or choose_instance(world.fleet, domain, flow)
        if instance is None:
            return
        target = (instance.address, FABRIC_PORT)
        raw = build_packet(packet)
        carry(
            world.fleet.links,
            router,
            instance.place,
            lambda: send_raw(raw, target),
        )

    caller = Caller(address, make_witness(world.judge), world.random, send)
    world.caller_by_domain[domain] = caller
    start_reading_senders(
        end, partial(_reach_caller, world, caller), lambda: None
    )


def _reach_caller(
    world: World,
    caller: Caller,
    datagram: bytes,
    sender: Endpoint,
) -> None:
    packet = read_packet(datagram)
    if packet is None:
        caller.witness.broken('mixed', f'{sender} sent {shorten(datagram)}')
        return
    flow = caller.flow_by_port.get(packet.target[1])
    if flow is None or packet.source != flow.endpoint:
        return
    if not packet.genuine:
        instance = world.fleet.by_address.get(sender[0])
        if instance is None or not is_fitting(flow, packet):
            caller.witness.broken('mixed', f'{sender} wrote {packet}')
            return
        if flow.opened_at:
            age = steady_seconds() - flow.opened_at
            text = f'{flow.source} after {age}'
            judge_reset(world.judge, instance.place.name, flow.upstream, text)
        else:
            _judge_refused(world, flow.endpoint, flow.sent_at[0], sender[0])
    flow.inbox.put_nowait(packet)


def _is_spare(world: World, host: Host) -> bool:
    """Tell whether an upstream is sure to be known and to take flows."""
    if host.state is not State.READY or host.cold_until:
        return False
    judge = world.judge
    calm = judge.peace.holds(CONTACT_SECONDS, host.name)
    return calm and host.domain not in world.domains_out


def _judge_refused(
    world: World,
    endpoint: Endpoint,
    sent_at: float,
    sender: str,
) -> None:
    """Judge a refusal where the route's service has upstreams to spare."""
    instance = world.fleet.by_address[sender]
    newest = world.judge.releases[-1]
    service = newest.service_by_endpoint.get(endpoint)
    same_service = (
        host for host in world.host_by_name.values() if host.service == service
    )
    if not any(_is_spare(world, host) for host in same_service):
        return
    incarnation = (instance.place.name, instance.incarnation)
    judge_refusal(world.judge, endpoint, sent_at, incarnation)
