"""Assemble a small deployment, and run a case on it.

A case is a function that acts on the world and returns when it is over; the
rules that it found broken are in the record.
"""

import asyncio
import contextlib
import itertools
import os
import pathlib
import random
import socket
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from functools import partial
from typing import Final

from clients import Client, start_client, use_flow
from fleet import (
    Fleet,
    Ports,
    add_node,
    forward_packet,
    poll_readiness,
    start_node,
    stop_fleet,
    wait_ready,
)
from hosts import Host, start_host
from record import Record, log_line
from store import Document, Store, put, serve_store
from wire import Endpoint

DOMAINS: Final = ('bole', 'kality', 'yeka')
NODES_BY_DOMAIN: Final = (3, 3, 2)
# Below the range that the system hands out by itself.
PORT_RANGE: Final = (12_000, 30_000)
ADDRESS: Final = '127.0.0.1'
# Of the store, and the first machine, client and host.
PROBED: Final = (ADDRESS, '127.0.1.1', '127.0.2.1', '127.0.3.1')
CASE_SECONDS: Final = 110.0
FIRST_HOST_NUMBER: Final = 0x7F3A91C0
LIMITS: Final = 15_000
EXIT_HELD: Final = 0
EXIT_BROKEN: Final = 1
EXIT_NOT_RUN: Final = 2


class World:
    """Hold the deployment: store, machines, hosts and clients.

    `nodes_by_domain` is how many machines each zone has.  `has_trouble` is
    false if the case runs without its disruption.
    """

    __slots__ = (
        'clients',
        'config',
        'fleet',
        'has_trouble',
        'hosts',
        'nodes_by_domain',
        'record',
        'spec_by_host',
        'store',
        'tasks',
    )

    def __init__(self, fleet: Fleet, record: Record) -> None:
        """Start without hosts and clients."""
        self.fleet = fleet
        self.record = record
        self.store = Store()
        self.hosts: list[Host] = []
        self.nodes_by_domain = NODES_BY_DOMAIN
        self.clients: list[Client] = []
        self.spec_by_host: dict[str, Document] = {}
        self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
        self.tasks: list[asyncio.Task[None]] = []
        self.config: Document = {
            'version': 7,
            'routes': [],
            'services': [],
            'limits': {'idle_timeout_ms': LIMITS},
        }


Case = Callable[[World], Awaitable[None]]


def run_case(folder: str, prepare: Callable[[World], None], act: Case) -> None:
    """Run a case and exit with 1 if a rule was broken, 0 if it held."""
    record = Record(pathlib.Path(folder).resolve() / 'record.txt')
    status = EXIT_NOT_RUN
    try:
        status = asyncio.run(_run(record, prepare, act))
    except Exception:
        traceback.print_exc(file=record.text)
        traceback.print_exc()
    log_line(record, f'counts: {record.counts}')
    log_line(record, f'exit {status}')
    record.text.close()
    for line in record.violations:
        sys.stdout.write(f'{line}\n')
    sys.stdout.write(f'exit {status}, {record.counts}\n')
    sys.exit(status)


def add_service(
    world: World, name: str, port: int, **limits: float
) -> Endpoint:
    """Add a service with one route; return the route's endpoint."""
    route = {
        'name': f'r-{name}',
        'hostname': '127.0.5.1',
        'path_prefix': f'/{port}/',
        'kind': 'safe',
        'timeout_ms': 4000,
        'target_latency_ms': 250,
        'priority': 2,
        'service': name,
        'max_attempts': 2,
    }
    service = {
        'name': name,
        'health_path': '/health',
        'max_conns': 2000,
        'protocol': 'h1',
        'tls': False,
        'warmup_s': 2.0,
        'warmup_per_s': 0,
    }
    world.config['routes'].append(route)
    world.config['services'].append(service | limits)
    return '127.0.5.1', port


def add_host(world: World, service: str, domain: str, name: str = '') -> Host:
    """Add a host of a service; it registers when the case starts."""
    number = len(world.hosts) + 1
    digits = format(FIRST_HOST_NUMBER + number, '08x')
    name = name or f'i-{digits}'
    address = (f'127.0.3.{number}', world.fleet.ports.host)
    host = Host(name, address, service, domain, world.record)
    world.hosts.append(host)
    start_host(host, world.fleet.ports.packets)
    world.spec_by_host[name] = {
        'service': service,
        'address': ':'.join(map(str, address)),
        'zone': domain,
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'warmup_left_ms': 0,
        'seq': 0,
        'born': int(time.time() * 1000),
    }
    return host


async def register(world: World, host: Host, **changes: object) -> None:
    """Let a host write its entry.

    Heartbeats don't change an entry, so they are left out.
    """
    spec = world.spec_by_host[host.name]
    spec.update(changes)
    spec['seq'] += 1
    await put(world.store, 'servers', host.name, dict(spec))


def start_task(
    world: World, work: Coroutine[None, None, None]
) -> asyncio.Task[None]:
    """Start a task that is cancelled at the end of the case."""
    task = asyncio.create_task(work)
    world.tasks.append(task)
    return task


class _Processes:
    """End the processes of a fleet when it is closed."""

    __slots__ = ('_fleet',)

    def __init__(self, fleet: Fleet) -> None:
        """Keep the fleet."""
        self._fleet = fleet

    def close(self) -> None:
        """Kill all processes."""
        stop_fleet(self._fleet)


async def _run(
    record: Record, prepare: Callable[[World], None], act: Case
) -> int:
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(pathlib.Path(folder), Ports(_find_ports()))
        world = World(fleet, record)
        with contextlib.closing(_Processes(fleet)):
            async with asyncio.timeout(CASE_SECONDS):
                await _start(world, prepare)
                await act(world)
        for task in world.tasks:
            task.cancel()
        await asyncio.gather(*world.tasks, return_exceptions=True)
    return EXIT_BROKEN if record.violations else EXIT_HELD


async def _start(world: World, prepare: Callable[[World], None]) -> None:
    fleet = world.fleet
    prepare(world)
    _add_nodes_and_clients(world)
    await serve_store(world.store, ADDRESS, fleet.ports.store)
    await put(world.store, 'config', 'main', world.config)
    for host in world.hosts:
        await register(world, host)
    for node in fleet.nodes:
        start_node(fleet, node)
    start_task(world, poll_readiness(fleet))
    await wait_ready(fleet)
    log_line(world.record, f'all {len(fleet.nodes)} machines are ready')


def _add_nodes_and_clients(world: World) -> None:
    fleet = world.fleet
    for domain, count in zip(DOMAINS, world.nodes_by_domain, strict=True):
        for number in range(1, count + 1):
            add_node(fleet, f'front-{domain}-{number}', domain)
    for client_number, zone in enumerate(DOMAINS, start=1):
        endpoint = (f'127.0.2.{client_number}', fleet.ports.packets)
        send = partial(forward_packet, fleet, zone)
        client = Client(endpoint, world.record, send)
        world.clients.append(client)
        start_client(client)


def _find_ports() -> int:
    """Return the first of five ports that are free on all addresses."""
    while True:
        first = random.randrange(*PORT_RANGE, 10)
        ports = range(first, first + 5)
        if all(_is_free(end) for end in itertools.product(PROBED, ports)):
            return first


def _is_free(endpoint: Endpoint) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(endpoint)
            except OSError:
                return False
    return True


async def send_flows(
    world: World, target: Endpoint, flows_per_second: float
) -> None:
    """Open flows with one request each from all zones in turn."""
    for client in itertools.cycle(world.clients):
        start_task(world, use_flow(client, target, 1, 0))
        await asyncio.sleep(1 / flows_per_second)
