"""Run instances as processes, and route packets to those that are ready."""

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
from bench.endpoints.upstreams import FABRIC_PORT
from marlbend.errors import MarlbendError
from marlbend.http import Connection
from marlbend.sockets import open_socket, start_reading_senders
from soak.judge import Judge, report
from soak.links import Links, Place, carry
from soak.relays import Relay, start_relay

__all__ = (
    'Fleet',
    'Instance',
    'choose_instance',
    'end_fleet',
    'join_instance',
    'send_signal',
    'take_network',
    'write_settings',
)

STORE_PORT: Final = 6090
FIRST_NETWORK: Final = 16
NETWORKS: Final = 200
READY_PORT: Final = 6082
CONTROL_PORT: Final = 6083
RESTART_SECONDS: Final = 0.5
POLL_SECONDS: Final = 0.5
MISSES: Final = 2
# The first instances are seeds.
SEEDS: Final = 3
# The platform kills a process that has not stopped by then.
GRACE_SECONDS: Final = 6.0
_READY: Final = 200


class Instance(msgspec.Struct):
    """Hold an instance, its process and the relays around it.

    `expected` tells that the end of the process was brought about, `misses`
    how often in a row it did not say that it is ready.
    """

    place: Place
    address: str
    settings: dict[str, object]
    peer_end: socket.socket
    peer_relay: Relay
    store_relay: Relay
    process: asyncio.subprocess.Process | None = None
    incarnation: int = 0
    misses: int = MISSES
    expected: bool = False

    @property
    def running(self) -> bool:
        """Tell whether there is a process."""
        return self.process is not None and self.process.returncode is None


class Fleet(msgspec.Struct):
    """Hold the instances by name and by the address they send from.

    `base` is the start of every address of the run.
    """

    base: str
    folder: pathlib.Path
    judge: Judge
    links: Links
    by_name: dict[str, Instance] = {}
    by_address: dict[str, Instance] = {}
    stopping: bool = False
    tasks: set[asyncio.Task[None]] = set()


def take_network() -> tuple[str, socket.socket]:
    """Return the start of addresses that no other run uses, and their claim."""
    for network in range(FIRST_NETWORK, FIRST_NETWORK + NETWORKS):
        base = f'127.{network}'
        with suppress(MarlbendError):
            # Several runs may share a machine.
            return base, open_socket(f'{base}.0.1', STORE_PORT)
    raise OSError('every network of a run is in use')


async def join_instance(fleet: Fleet, number: int, domain: str) -> None:
    """Set up an instance with its relays, and keep its process running."""
    place = Place(f'n-{number}', domain)
    address = f'{fleet.base}.1.{number}'
    advertised = (f'{fleet.base}.2.{number}', CONTROL_PORT)
    store = (f'{fleet.base}.3.{number}', STORE_PORT)
    instance = Instance(
        place,
        address,
        _make_settings(fleet, number, domain),
        open_socket(*advertised),
        Relay((address, CONTROL_PORT)),
        Relay((f'{fleet.base}.6.1', STORE_PORT)),
    )
    fleet.by_name[place.name] = instance
    fleet.by_address[address] = instance
    start_reading_senders(
        instance.peer_end, partial(_relay_beat, fleet, instance), lambda: None
    )
    await start_relay(instance.store_relay, store)
    await start_relay(instance.peer_relay, advertised)
    (fleet.folder / f'{place.name}.shift').write_text('0')
    for work in (_keep_running, _watch_ready):
        task = asyncio.create_task(work(fleet, instance))
        fleet.tasks.add(task)
        task.add_done_callback(fleet.tasks.discard)


def _make_settings(fleet: Fleet, number: int, domain: str) -> dict[str, object]:
    base = fleet.base
    address = f'{base}.1.{number}'
    return {
        'name': f'n-{number}',
        'address': address,
        'domain': domain,
        'platform': f'http://{base}.3.{number}:{STORE_PORT}',
        'cookie': {
            'fabric': f'{address}:{FABRIC_PORT}',
            'ready': f'{address}:{READY_PORT}',
            'control': f'{address}:{CONTROL_PORT}',
            'advertised': f'{base}.2.{number}:{CONTROL_PORT}',
            'seeds': [
                f'{base}.2.{seed}:{CONTROL_PORT}'
                for seed in range(1, SEEDS + 1)
            ],
            'stop_seconds': GRACE_SECONDS,
        },
    }


def write_settings(fleet: Fleet, instance: Instance, log_level: str) -> None:
    """Write the settings file of an instance."""
    name = instance.place.name
    path = fleet.folder / f'{name}.json'
    settings = {**instance.settings, 'log_level': log_level}
    path.write_text(json.dumps(settings))


def send_signal(instance: Instance, number: signal.Signals) -> None:
    """Send a signal to the process of an instance, if there is one."""
    process = instance.process
    if process is not None and process.returncode is None:
        process.send_signal(number)


async def _watch_ready(fleet: Fleet, instance: Instance) -> None:
    """Ask an instance twice a second whether it serves."""
    while not fleet.stopping:
        ready = await _ask_ready(instance)
        instance.misses = 0 if ready else instance.misses + 1
        await asyncio.sleep(POLL_SECONDS)


async def _ask_ready(instance: Instance) -> bool:
    connection = Connection((instance.address, READY_PORT))
    try:
        answer = await connection.call('GET', '/api/ready', POLL_SECONDS)
    except MarlbendError:
        # A process that is gone or busy is a miss.
        return False
    finally:
        connection.close()
    return answer.status == _READY


def choose_instance(fleet: Fleet, domain: str, flow: bytes) -> Instance | None:
    """Return the instance that the routers give a packet of a flow."""
    near = [
        each for each in fleet.by_name.values() if each.place.domain == domain
    ]
    ready = [each for each in near if each.misses < MISSES]
    if len(ready) * 2 < len(near):
        ready = near
    if not ready:
        return None
    return ready[zlib.crc32(flow) % len(ready)]


async def end_fleet(fleet: Fleet) -> None:
    """End every process and task."""
    fleet.stopping = True
    for instance in fleet.by_name.values():
        instance.expected = True
        send_signal(instance, signal.SIGCONT)
        send_signal(instance, signal.SIGKILL)
    for task in tuple(fleet.tasks):
        task.cancel()
    await asyncio.gather(*fleet.tasks, return_exceptions=True)
    for instance in fleet.by_name.values():
        for server in _list_servers(instance):
            server.close()


def _list_servers(instance: Instance) -> Iterator[asyncio.Server]:
    for relay in (instance.store_relay, instance.peer_relay):
        for writer in tuple(relay.writers):
            writer.transport.abort()
        if relay.server is not None:
            yield relay.server


async def _keep_running(fleet: Fleet, instance: Instance) -> None:
    """Start the process again whenever it ends."""
    name = instance.place.name
    while not fleet.stopping:
        # A process that starts finds settings that it can use.
        write_settings(fleet, instance, 'INFO')
        instance.expected = False
        instance.incarnation += 1
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
        if not instance.expected:
            text = f'{name} ended by itself with {status}'
            report(fleet.judge, 'ended', text)
        await asyncio.sleep(RESTART_SECONDS)


def _relay_beat(
    fleet: Fleet, target: Instance, datagram: bytes, sender: Endpoint
) -> None:
    """Pass a datagram between instances on, as from where they advertise."""
    start = fleet.by_address.get(sender[0])
    if start is None:
        return
    end = start.peer_end
    control = (target.address, CONTROL_PORT)

    def deliver() -> None:
        with suppress(OSError):
            end.sendto(datagram, control)

    carry(fleet.links, start.place, target.place, deliver)
