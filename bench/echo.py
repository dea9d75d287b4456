"""Measure an instance that steers by cookies: packets, start, memory, calls."""

import asyncio
import pathlib
import resource
import socket
import statistics
import subprocess
import sys
import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from typing import Final, final

import msgspec
from aiohttp import web

from bench.documents import (
    Document,
    describe_configuration,
    describe_route,
    describe_upstream,
)
from bench.flood import join_packets
from bench.platform import STORE_KEY, make_application
from bench.processes import (
    Processes,
    kill_all,
    kill_process,
    start_instance,
    start_module,
)
from bench.segments import PACKET_PORT
from bench.store import Store, put_object
from marlbend.errors import MarlbendError
from marlbend.http import Connection
from marlbend.platform.paths import KIND_BY_TOPIC
from marlbend.sockets import open_socket
from marlbend.steering.gossip import Topic
from marlbend.steering.upstreams import derive_cookie
from marlbend.wire import STATUS_PATH
from marlbend.wire.status import CookieStatus

__all__ = ('EchoReport', 'run_echo')

STORE_ADDRESS: Final = '127.9.4.250'
SINK_ADDRESS: Final = '127.9.4.251'
BARE_ADDRESS: Final = '127.9.4.252'
STORE_PORT: Final = 6090
CONTROL_PORT: Final = 6091
READY_PORT: Final = 6092
ROUNDS: Final = 3
STARTS: Final = 5
SIZES: Final = (10, 1_000, 10_000)
FLEET: Final = 8
ROUTES_A_BLOCK: Final = 250
# An acknowledgement: flags, padding, seq, ack; the cookie and both ends follow.
HEAD: Final = bytes.fromhex('10000000000000000000000000 00')
TARGET_PORT: Final = 443
# Sum and length.
TAIL_BYTES: Final = 6
COUNT_SECONDS: Final = 1.0
FLOOD_SECONDS: Final = 8.0
REST_SECONDS: Final = 15.0
SETTLE_SECONDS: Final = 1.0
WARM_PACKETS: Final = 2_000
RECEIVE_BYTES: Final = 2_048
_OK: Final = 200
_NAME: Final = 'i-{:010x}'
_MINUTE: Final = 60
_NANOSECONDS: Final = 1_000_000_000


class EchoReport(msgspec.Struct, frozen=True):
    """Report what steering by cookies costs.

    `forward_ratio` compares with a bare asyncio forwarder, `start_ratio` the
    processor seconds to ready with an interpreter that imports asyncio.  Calls
    are those of one instance of eight in a minute.
    """

    forward_ratio: float
    start_ratio: float
    calls_at_rest: float
    calls_at_a_change_a_second: float
    packets_per_s: tuple[float, float]
    start_seconds: tuple[float, float]
    resident_bytes: dict[int, int]
    bytes_a_route_and_upstream: float


@final
class Lab:
    """Hold the store and the processes."""

    __slots__ = ('processes', 'store')

    def __init__(self, store: Store) -> None:
        """Start without processes."""
        self.store = store
        self.processes = Processes()


async def run_echo(seed: int) -> EchoReport:
    """Measure one after the other; `seed` only names the run."""
    async with _open_lab(SIZES[0]) as lab:
        rates = await _measure_packets(lab)
        starts = await _measure_starts(lab)
    resident = {size: await _measure_memory(size) for size in SIZES}
    async with _open_lab(SIZES[0]) as fleet:
        rest, changing = await _measure_calls(fleet)
    grown = resident[SIZES[-1]] - resident[SIZES[0]]
    return EchoReport(
        forward_ratio=rates[0] / rates[1],
        start_ratio=starts[0] / starts[1],
        calls_at_rest=rest,
        calls_at_a_change_a_second=changing,
        packets_per_s=rates,
        start_seconds=starts,
        resident_bytes=resident,
        bytes_a_route_and_upstream=grown / (SIZES[-1] - SIZES[0]),
    )


@asynccontextmanager
async def _open_lab(size: int) -> AsyncIterator[Lab]:
    """Run a store with so many routes and upstreams."""
    application = make_application()
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, STORE_ADDRESS, STORE_PORT).start()
    lab = Lab(application[STORE_KEY])
    await _publish(lab.store, 1, size)
    for number in range(size):
        await _put(lab.store, Topic.UPSTREAMS, _name(number), _entry())
    try:
        yield lab
    finally:
        await kill_all(lab.processes)
        await runner.cleanup()


async def _publish(store: Store, version: int, size: int) -> None:
    routes = list(_make_routes(size))
    document = describe_configuration(version, routes, {'catalog': 0})
    await _put(store, Topic.CONFIGURATION, 'main', document)


def _make_routes(size: int) -> Iterator[Document]:
    for number in range(size):
        high, low = divmod(number, ROUTES_A_BLOCK)
        yield describe_route((f'198.18.{high}.{low}', TARGET_PORT), 'catalog')


def _entry() -> Document:
    return describe_upstream('catalog', (SINK_ADDRESS, PACKET_PORT), 'a')


def _name(number: int) -> str:
    return _NAME.format(number)


async def _put(store: Store, topic: Topic, name: str, spec: object) -> None:
    path = (KIND_BY_TOPIC[topic], name)
    await put_object(store, path, msgspec.json.encode(spec))


async def _start(lab: Lab, number: int) -> str:
    """Start an instance and wait until it is ready; return its name."""
    address = f'127.9.4.{number}'
    name = f'n-{number}'
    settings = {
        'name': name,
        'address': address,
        'domain': 'a',
        'platform': f'http://{STORE_ADDRESS}:{STORE_PORT}',
        'cookie': {
            'fabric': f'{address}:{PACKET_PORT}',
            'ready': f'{address}:{READY_PORT}',
            'control': f'{address}:{CONTROL_PORT}',
            'seeds': [f'127.9.4.1:{CONTROL_PORT}'],
        },
    }
    await start_instance(lab.processes, settings)
    while await _ask(address, READY_PORT, '/api/ready') is None:
        await asyncio.sleep(0)
    return name


async def _ask(address: str, port: int, path: str) -> bytes | None:
    connection = Connection((address, port))
    try:
        answer = await connection.request('GET', path, 1)
    except MarlbendError:
        # The instance does not listen yet.
        return None
    finally:
        connection.close()
    return answer.body if answer.status == _OK else None


async def _measure_packets(lab: Lab) -> tuple[float, float]:
    """Return the packets a second of an instance and of the bare forwarder."""
    name = await _start(lab, 1)
    await start_module(
        lab.processes,
        'bare',
        'bench.forwarder',
        ['--address', BARE_ADDRESS, '--target', SINK_ADDRESS],
    )
    packets = lab.processes.write_file(
        'packets', join_packets(_make_packet(number) for number in range(1_000))
    )
    sink = open_socket(SINK_ADDRESS, PACKET_PORT)
    sink.setblocking(True)
    sink.settimeout(FLOOD_SECONDS)
    with sink:
        rounds = [
            (
                await _count(lab, sink, '127.9.4.1', packets),
                await _count(lab, sink, BARE_ADDRESS, packets),
            )
            for _ in range(ROUNDS)
        ]
    await kill_process(lab.processes, name)
    return (
        statistics.median(each[0] for each in rounds),
        statistics.median(each[1] for each in rounds),
    )


def _make_packet(number: int) -> bytes:
    """Return an acknowledgement of a flow on the first upstream."""
    cookie = derive_cookie(_name(number % SIZES[0])).to_bytes(4)
    ends = b''.join(
        (
            bytes((100, 64, 0, 7)),
            (1_024 + number).to_bytes(2),
            TARGET_PORT.to_bytes(2),
            bytes((198, 18, 0, 1)),
        )
    )
    return b''.join((HEAD, cookie, ends, bytes(TAIL_BYTES)))


async def _count(
    lab: Lab,
    sink: socket.socket,
    target: str,
    packets: str,
) -> float:
    options = ['--target', target, '--packets', packets, '--repeat']
    await start_module(
        lab.processes,
        'flood',
        'bench.flood',
        [*options, '--seconds', str(FLOOD_SECONDS)],
    )
    received = await asyncio.to_thread(_receive, sink)
    await kill_process(lab.processes, 'flood')
    await asyncio.sleep(SETTLE_SECONDS)
    await asyncio.to_thread(_drain, sink)
    return received


def _receive(sink: socket.socket) -> float:
    for _ in range(WARM_PACKETS):
        sink.recv(RECEIVE_BYTES)
    started = time.monotonic()
    received = 0
    while time.monotonic() - started < COUNT_SECONDS:
        sink.recv(RECEIVE_BYTES)
        received += 1
    return received / (time.monotonic() - started)


def _drain(sink: socket.socket) -> None:
    sink.settimeout(SETTLE_SECONDS)
    waiting = True
    while waiting:
        try:
            waiting = bool(sink.recv(RECEIVE_BYTES))
        except TimeoutError:
            waiting = False
    sink.settimeout(FLOOD_SECONDS)


async def _measure_starts(lab: Lab) -> tuple[float, float]:
    """Return processor seconds of a start, and of the bare interpreter."""
    started = []
    for _ in range(STARTS):
        name = await _start(lab, 1)
        pid = lab.processes.process_by_name[name].pid
        spent = pathlib.Path(f'/proc/{pid}/schedstat').read_text().split()[0]
        started.append(int(spent) / _NANOSECONDS)
        await kill_process(lab.processes, name)
    bare = [_run_bare() for _ in range(STARTS)]
    return statistics.median(started), statistics.median(bare)


def _run_bare() -> float:
    before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, '-c', 'import asyncio'], check=True)
    after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user = after.ru_utime - before.ru_utime
    return user + after.ru_stime - before.ru_stime


async def _measure_memory(size: int) -> int:
    async with _open_lab(size) as lab:
        await _start(lab, 1)
        await asyncio.sleep(SETTLE_SECONDS)
        answer = await _ask('127.9.4.1', CONTROL_PORT, STATUS_PATH)
        status = msgspec.json.decode(answer or b'', type=CookieStatus)
        return status.resident_bytes


async def _measure_calls(lab: Lab) -> tuple[float, float]:
    """Return the calls of an instance in a minute: at rest, and changing."""
    for number in range(1, FLEET + 1):
        await _start(lab, number)
    await asyncio.sleep(SETTLE_SECONDS * 3)
    before = lab.store.calls
    await asyncio.sleep(REST_SECONDS)
    rested = lab.store.calls
    for version in range(2, int(REST_SECONDS) + 2):
        await _publish(lab.store, version, SIZES[0])
        await asyncio.sleep(1)
    share = FLEET * REST_SECONDS / _MINUTE
    return (rested - before) / share, (lab.store.calls - rested) / share
