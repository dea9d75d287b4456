"""Run instances as processes, and route packets to the ready ones."""

import asyncio
import json
import pathlib
import signal
import socket
import sys
import zlib
from collections.abc import Iterator
from contextlib import suppress
from functools import partial
from typing import Final

import msgspec

from bench.endpoints.packets import Endpoint
from bench.endpoints.upstreams import COOKIE_FABRIC_PORT
from marlbend.errors import MarlbendError
from marlbend.http import Connection
from marlbend.sockets import open_socket, start_reading_with_sender
from marlbend.steering.placement.method import PlacementMethod
from soak.checker import Checker, report
from soak.links import Links, Node, transmit
from soak.proxies import Proxy, start_proxy

__all__ = (
    'Fleet',
    'Instance',
    'add_instance',
    'choose_instance',
    'claim_network',
    'send_signal',
    'stop_fleet',
    'write_settings',
)

STORE_PORT: Final = 6090
# Each run has a loopback network of its own, with one of these second bytes.
FIRST_NETWORK: Final = 16
NETWORK_COUNT: Final = 200
# Third bytes of its addresses.  An open port in the first claims the network.
CLAIM_NET: Final = 0
INSTANCE_NET: Final = 1
# Other instances reach an instance there; this process forwards to it.
ADVERTISED_NET: Final = 2
# Each instance reaches the store through its own proxy.
STORE_PROXY_NET: Final = 3
UPSTREAM_NET: Final = 4
CALLER_NET: Final = 5
STORE_NET: Final = 6
READY_PORT: Final = 6082
CONTROL_PORT: Final = 6083
RESTART_DELAY_SECONDS: Final = 0.5
READINESS_POLL_SECONDS: Final = 0.5
# The routers avoid an instance after this many failed polls in a row.
UNREADY_POLLS: Final = 2
# Number of instances, from the first, that are seeds of the membership.
SEED_COUNT: Final = 3
# The platform kills a process that has not stopped by then.
STOP_GRACE_SECONDS: Final = 6.0
_HTTP_OK: Final = 200

METHODS: Final = tuple(PlacementMethod)


class Instance(msgspec.Struct):
    """Hold an instance, its process and the proxies in front of it.

    Other instances reach it through `peer_socket` (UDP) and `peer_proxy` (TCP)
    at its advertised address; it reaches the store through `store_proxy`.
    `process_number` counts the starts of its process.  `exit_expected` is set
    when the run ends the process on purpose, `failed_polls` counts the
    readiness polls that failed in a row.
    """

    node: Node
    address: str
    settings: dict[str, object]
    peer_socket: socket.socket
    peer_proxy: Proxy
    store_proxy: Proxy
    process: asyncio.subprocess.Process | None = None
    process_number: int = 0
    failed_polls: int = UNREADY_POLLS
    exit_expected: bool = False

    @property
    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.returncode is None


class Fleet(msgspec.Struct):
    """Hold the instances by name and by the address that they send from.

    `prefix` is the first two bytes of every loopback address.  With
    `places_by_work`, the processes place flows by the three methods in turn.
    """

    prefix: str
    folder: pathlib.Path
    checker: Checker
    links: Links
    by_name: dict[str, Instance] = {}
    by_address: dict[str, Instance] = {}
    stopping: bool = False
    places_by_work: bool = False
    tasks: set[asyncio.Task[None]] = set()


def claim_network() -> tuple[str, socket.socket]:
    """Return the prefix of an unused network, and the socket that claims it."""
    for network in range(FIRST_NETWORK, FIRST_NETWORK + NETWORK_COUNT):
        prefix = f'127.{network}'
        with suppress(MarlbendError):
            # If opening the port fails, another run has claimed the network.
            return prefix, open_socket(f'{prefix}.{CLAIM_NET}.1', STORE_PORT)
    raise OSError('all loopback networks for soak runs are in use')


async def add_instance(fleet: Fleet, number: int, domain: str) -> None:
    """Set up an instance with its proxies, and supervise its process."""
    node = Node(f'n-{number}', domain)
    prefix = fleet.prefix
    address = f'{prefix}.{INSTANCE_NET}.{number}'
    advertised = (f'{prefix}.{ADVERTISED_NET}.{number}', CONTROL_PORT)
    store = (f'{prefix}.{STORE_PROXY_NET}.{number}', STORE_PORT)
    instance = Instance(
        node,
        address,
        _make_settings(fleet, number, domain),
        open_socket(*advertised),
        Proxy((address, CONTROL_PORT)),
        Proxy((f'{prefix}.{STORE_NET}.1', STORE_PORT)),
    )
    fleet.by_name[node.name] = instance
    fleet.by_address[address] = instance
    start_reading_with_sender(
        instance.peer_socket,
        partial(_forward_datagram, fleet, instance),
        lambda: None,
    )
    await start_proxy(instance.store_proxy, store)
    await start_proxy(instance.peer_proxy, advertised)
    (fleet.folder / f'{node.name}.shift').write_text('0')
    for job in (_supervise, _poll_readiness):
        task = asyncio.create_task(job(fleet, instance))
        fleet.tasks.add(task)
        task.add_done_callback(fleet.tasks.discard)


def _make_settings(fleet: Fleet, number: int, domain: str) -> dict[str, object]:
    prefix = fleet.prefix
    address = f'{prefix}.{INSTANCE_NET}.{number}'
    return {
        'name': f'n-{number}',
        'address': address,
        'domain': domain,
        'platform': f'http://{prefix}.{STORE_PROXY_NET}.{number}:{STORE_PORT}',
        'cookie': {
            'fabric': f'{address}:{COOKIE_FABRIC_PORT}',
            'ready': f'{address}:{READY_PORT}',
            'control': f'{address}:{CONTROL_PORT}',
            'advertised': f'{prefix}.{ADVERTISED_NET}.{number}:{CONTROL_PORT}',
            'seeds': [
                f'{prefix}.{ADVERTISED_NET}.{seed}:{CONTROL_PORT}'
                for seed in range(1, SEED_COUNT + 1)
            ],
            'stop_seconds': STOP_GRACE_SECONDS,
        },
    }


def write_settings(fleet: Fleet, instance: Instance, log_level: str) -> None:
    """Write the settings file of an instance."""
    name = instance.node.name
    path = fleet.folder / f'{name}.json'
    settings = {**instance.settings, 'log_level': log_level}
    turn = int(name.rpartition('-')[2]) + instance.process_number
    cookie = instance.settings['cookie']
    if fleet.places_by_work and isinstance(cookie, dict):
        method = METHODS[turn % len(METHODS)].value
        settings['cookie'] = {**cookie, 'placement': method}
    path.write_text(json.dumps(settings))


def send_signal(instance: Instance, signal_number: signal.Signals) -> None:
    """Send a signal to the process of an instance, if there is one."""
    process = instance.process
    if process is not None and process.returncode is None:
        process.send_signal(signal_number)


async def _poll_readiness(fleet: Fleet, instance: Instance) -> None:
    """Poll the readiness endpoint of an instance."""
    while not fleet.stopping:
        ready = await _is_ready(instance)
        instance.failed_polls = 0 if ready else instance.failed_polls + 1
        await asyncio.sleep(READINESS_POLL_SECONDS)


async def _is_ready(instance: Instance) -> bool:
    connection = Connection((instance.address, READY_PORT))
    try:
        response = await connection.request(
            'GET', '/api/ready', READINESS_POLL_SECONDS
        )
    except MarlbendError:
        # The process has ended or is too busy to respond.
        return False
    finally:
        connection.close()
    return response.status == _HTTP_OK


def choose_instance(fleet: Fleet, domain: str, flow: bytes) -> Instance | None:
    """Return the instance to which the routers send packets of a flow."""
    local = [
        each for each in fleet.by_name.values() if each.node.domain == domain
    ]
    ready = [each for each in local if each.failed_polls < UNREADY_POLLS]
    # The routers use all local instances if fewer than half of them are ready.
    if len(ready) * 2 < len(local):
        ready = local
    if not ready:
        return None
    return ready[zlib.crc32(flow) % len(ready)]


async def stop_fleet(fleet: Fleet) -> None:
    """Kill every process, cancel every task and close the proxies."""
    fleet.stopping = True
    for instance in fleet.by_name.values():
        instance.exit_expected = True
        send_signal(instance, signal.SIGCONT)
        send_signal(instance, signal.SIGKILL)
    for task in tuple(fleet.tasks):
        task.cancel()
    await asyncio.gather(*fleet.tasks, return_exceptions=True)
    for instance in fleet.by_name.values():
        for server in _abort_connections(instance):
            server.close()


def _abort_connections(instance: Instance) -> Iterator[asyncio.Server]:
    """Abort the connections of an instance's proxies; yield the servers."""
    for proxy in (instance.store_proxy, instance.peer_proxy):
        for writer in tuple(proxy.writers):
            writer.transport.abort()
        if proxy.server is not None:
            yield proxy.server


async def _supervise(fleet: Fleet, instance: Instance) -> None:
    """Start the process, and restart it whenever it ends."""
    name = instance.node.name
    while not fleet.stopping:
        # A reload fault may have left invalid settings in the file.
        write_settings(fleet, instance, 'INFO')
        instance.exit_expected = False
        instance.process_number += 1
        with (fleet.folder / f'{name}.log').open('ab') as log:
            instance.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                'soak.child',
                str(fleet.folder / f'{name}.shift'),
                '--settings',
                str(fleet.folder / f'{name}.json'),
                stdout=log,
                stderr=log,
            )
        status = await instance.process.wait()
        if not instance.exit_expected:
            text = f'{name} exited unexpectedly with status {status}'
            report(fleet.checker, 'ended', text)
        await asyncio.sleep(RESTART_DELAY_SECONDS)


def _forward_datagram(
    fleet: Fleet, target: Instance, datagram: bytes, sender: Endpoint
) -> None:
    """Forward a datagram, from the advertised address of its sender."""
    source = fleet.by_address.get(sender[0])
    if source is None:
        return
    source_socket = source.peer_socket
    control = (target.address, CONTROL_PORT)

    def deliver() -> None:
        with suppress(OSError):
            source_socket.sendto(datagram, control)

    transmit(fleet.links, source.node, target.node, deliver)
