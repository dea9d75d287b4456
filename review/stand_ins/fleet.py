"""Run instances as the platform does, and stand in for its routers."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import subprocess
import tomllib
import zlib
from contextlib import suppress
from typing import Final

import wire

ROOT: Final = pathlib.Path(__file__).resolve().parents[2]
POLL_SECONDS: Final = 0.5
POLL_TIMEOUT_SECONDS: Final = 0.4
# A machine is out of rotation after this many polls without a 200.
MISSES: Final = 2
RESTART_SECONDS: Final = 0.3
CHECK_SECONDS: Final = 0.02
READY_TIMEOUT_SECONDS: Final = 20.0
PASSED_VARIABLES: Final = ('PATH', 'HOME', 'LANG')


class Ports:
    """Hold the ports, which are the same on all machines of a day."""

    __slots__ = ('control', 'host', 'packets', 'ready', 'store')

    def __init__(self, first: int) -> None:
        """Take the ports from the first one on."""
        self.store = first
        self.packets = first + 1
        self.ready = first + 2
        self.control = first + 3
        self.host = first + 4


class Node:
    """Hold one machine, its process and the missed polls in a row."""

    __slots__ = ('address', 'domain', 'misses', 'name', 'process')

    def __init__(self, name: str, address: str, domain: str) -> None:
        """Start without a process, out of rotation."""
        self.name = name
        self.address = address
        self.domain = domain
        self.misses = MISSES
        self.process: subprocess.Popen[bytes] | None = None


class Fleet:
    """Hold the machines, and the socket of the routers."""

    __slots__ = ('folder', 'nodes', 'ports', 'router')

    def __init__(self, folder: pathlib.Path, ports: Ports) -> None:
        """Start without machines."""
        self.folder = folder
        self.ports = ports
        self.nodes: list[Node] = []
        self.router = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.router.setblocking(False)


def add_node(fleet: Fleet, name: str, domain: str) -> Node:
    """Add a machine."""
    number = len(fleet.nodes) + 1
    node = Node(name, f'127.0.1.{number}', domain)
    fleet.nodes.append(node)
    return node


def start_node(fleet: Fleet, node: Node) -> None:
    """Start the process of a machine with the command of the deploy file."""
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    command = deploy['roles']['instance']['run'].split()
    path = fleet.folder / f'{node.name}.json'
    path.write_text(json.dumps(_make_settings(fleet, node)))
    variables = {
        name: os.environ[name]
        for name in PASSED_VARIABLES
        if name in os.environ
    }
    variables['MARLBEND_BOOT'] = str(path)
    variables['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
    variables['PYTHONDONTWRITEBYTECODE'] = '1'
    with (fleet.folder / f'{node.name}.log').open('ab') as log:
        node.process = subprocess.Popen(
            command, cwd=ROOT, env=variables, stdout=log, stderr=log
        )


def stop_fleet(fleet: Fleet) -> None:
    """Kill all processes."""
    for node in fleet.nodes:
        if node.process is not None and node.process.poll() is None:
            node.process.kill()
            node.process.wait()


async def restart_gracefully(fleet: Fleet, node: Node) -> None:
    """Stop a process with SIGTERM and start it again."""
    if node.process is not None:
        node.process.send_signal(signal.SIGTERM)
        while node.process.poll() is None:
            await asyncio.sleep(CHECK_SECONDS)
    await asyncio.sleep(RESTART_SECONDS)
    start_node(fleet, node)


async def lose_power(fleet: Fleet, node: Node, seconds: float) -> None:
    """Kill a process, and start it again after some seconds."""
    if node.process is not None:
        node.process.kill()
        node.process.wait()
    await asyncio.sleep(seconds)
    start_node(fleet, node)


def find_reader(fleet: Fleet) -> Node:
    """Return the machine that reads the store for the others.

    It is the one whose name has the lowest checksum.
    """
    return min(fleet.nodes, key=_rank_of)


def _rank_of(node: Node) -> int:
    return zlib.crc32(node.name.encode())


async def poll_readiness(fleet: Fleet) -> None:
    """Poll all machines twice per second, until cancelled."""
    while True:
        polls = [_poll(fleet, node) for node in fleet.nodes]
        await asyncio.gather(*polls, asyncio.sleep(POLL_SECONDS))


async def wait_ready(fleet: Fleet) -> None:
    """Wait until all machines are in rotation."""
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while any(node.misses for node in fleet.nodes):
            await asyncio.sleep(CHECK_SECONDS)


def forward_packet(fleet: Fleet, domain: str, datagram: bytes) -> None:
    """Send a client's packet to the machine that its flow hashes to."""
    ready = _list_rotation(fleet, domain)
    if ready:
        node = ready[zlib.crc32(datagram[wire.FLOW_KEY]) % len(ready)]
        with suppress(OSError):
            fleet.router.sendto(datagram, (node.address, fleet.ports.packets))


def _list_rotation(fleet: Fleet, domain: str) -> list[Node]:
    """Return the machines of a zone that are in rotation.

    If they are fewer than half, all of the zone's machines are used, and if
    there is none, those of the other zones.
    """
    local = [node for node in fleet.nodes if node.domain == domain]
    ready = [node for node in local if node.misses < MISSES]
    if not ready:
        return [node for node in fleet.nodes if node.misses < MISSES]
    return local if 2 * len(ready) < len(local) else ready


async def _poll(fleet: Fleet, node: Node) -> None:
    is_ready = False
    with suppress(OSError, EOFError, TimeoutError):
        async with asyncio.timeout(POLL_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(
                node.address, fleet.ports.ready
            )
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: node\r\n\r\n')
            is_ready = b' 200 ' in await reader.readline()
            writer.close()
    node.misses = 0 if is_ready else node.misses + 1


def _make_settings(fleet: Fleet, node: Node) -> dict[str, object]:
    """Return the settings that the template makes for a small deployment."""
    ports = fleet.ports
    seeds = [f'{each.address}:{ports.control}' for each in _list_seeds(fleet)]
    return {
        'name': node.name,
        'address': node.address,
        'domain': node.domain,
        'platform': f'http://127.0.0.1:{ports.store}',
        'cookie': {
            'stop_seconds': 6,
            'apply_milliseconds': 3000,
            'domain_out_milliseconds': 5000,
            'link_megabits': 1000,
            'processor_share': 0.236,
            'seeds': seeds,
            'fabric': f'{node.address}:{ports.packets}',
            'ready': f'{node.address}:{ports.ready}',
            'control': f'{node.address}:{ports.control}',
        },
    }


def _list_seeds(fleet: Fleet) -> list[Node]:
    """Return the first machine of each zone."""
    first_by_domain: dict[str, Node] = {}
    for node in fleet.nodes:
        first_by_domain.setdefault(node.domain, node)
    return list(first_by_domain.values())
