"""Measure instances that steer by cookies, which both endpoints echo.

The measurements are the packet rate, the processor time of a start, the memory
and the rate of requests to the platform.
"""

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
from marlbend.steering.upstreams import derive_cookie
from marlbend.topics.knowledge import Topic
from marlbend.wire import STATUS_PATH
from marlbend.wire.status import CookieStatus

__all__ = ('EchoReport', 'run_echo')

STORE_ADDRESS: Final = '127.9.4.250'
UPSTREAM_ADDRESS: Final = '127.9.4.251'
BASELINE_ADDRESS: Final = '127.9.4.252'
STORE_PORT: Final = 6090
CONTROL_PORT: Final = 6091
READY_PORT: Final = 6092
RATE_ROUNDS: Final = 3
START_ROUNDS: Final = 5
OBJECT_COUNTS: Final = (10, 1_000, 10_000)
FLEET_SIZE: Final = 8
ROUTES_PER_NET: Final = 250
# Flags, padding, sequence and acknowledgment numbers of an ACK packet; the
# cookie and both endpoints follow.
HEADER_START: Final = bytes.fromhex('10000000000000000000000000 00')
TARGET_PORT: Final = 443
# Checksum and payload length, both zero.
HEADER_END_BYTES: Final = 6
MEASURED_SECONDS: Final = 1.0
FLOOD_SECONDS: Final = 8.0
COUNTING_SECONDS: Final = 15.0
SETTLE_SECONDS: Final = 1.0
WARMUP_PACKETS: Final = 2_000
MAX_PACKET_BYTES: Final = 2_048
_OK: Final = 200
_NAME_FORMAT: Final = 'i-{:010x}'
_SECONDS_PER_MINUTE: Final = 60
_NANOSECONDS_PER_SECOND: Final = 1_000_000_000


class EchoReport(msgspec.Struct, frozen=True):
    """Report the cost of steering by cookies.

    `forward_ratio` is the packet rate relative to a bare asyncio forwarder,
    `start_ratio` the processor time until ready relative to an interpreter that
    imports asyncio; `packets_per_s` and `start_seconds` hold both figures.
    `calls_at_rest` is the requests to the platform per minute and instance of a
    fleet of eight, `calls_at_a_change_a_second` the same while the
    configuration changes once a second.  `resident_bytes` is by the number of
    routes and of upstreams.
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
class Testbed:
    """Hold the simulated platform store and the processes."""

    __slots__ = ('processes', 'store')

    def __init__(self, store: Store) -> None:
        """Initialize without processes."""
        self.store = store
        self.processes = Processes()


async def run_echo(seed: int) -> EchoReport:
    """Run the measurements in sequence; `seed` doesn't affect them."""
    async with _open_testbed(OBJECT_COUNTS[0]) as testbed:
        packet_rates = await _measure_packet_rates(testbed)
        start_times = await _measure_start_times(testbed)
    bytes_by_count = {
        object_count: await _measure_memory(object_count)
        for object_count in OBJECT_COUNTS
    }
    async with _open_testbed(OBJECT_COUNTS[0]) as fleet_testbed:
        idle_rate, changing_rate = await _measure_request_rates(fleet_testbed)
    growth_bytes = (
        bytes_by_count[OBJECT_COUNTS[-1]] - bytes_by_count[OBJECT_COUNTS[0]]
    )
    return EchoReport(
        forward_ratio=packet_rates[0] / packet_rates[1],
        start_ratio=start_times[0] / start_times[1],
        calls_at_rest=idle_rate,
        calls_at_a_change_a_second=changing_rate,
        packets_per_s=packet_rates,
        start_seconds=start_times,
        resident_bytes=bytes_by_count,
        bytes_a_route_and_upstream=growth_bytes
        / (OBJECT_COUNTS[-1] - OBJECT_COUNTS[0]),
    )


@asynccontextmanager
async def _open_testbed(object_count: int) -> AsyncIterator[Testbed]:
    """Run a store with a number of routes and as many upstreams."""
    application = make_application()
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, STORE_ADDRESS, STORE_PORT).start()
    testbed = Testbed(application[STORE_KEY])
    await _write_configuration(testbed.store, 1, object_count)
    for number in range(object_count):
        await _write_object(
            testbed.store,
            Topic.UPSTREAMS,
            _upstream_name(number),
            _make_upstream(),
        )
    try:
        yield testbed
    finally:
        await kill_all(testbed.processes)
        await runner.cleanup()


async def _write_configuration(
    store: Store, version: int, object_count: int
) -> None:
    routes = list(_make_routes(object_count))
    document = describe_configuration(version, routes, {'catalog': 0})
    await _write_object(store, Topic.CONFIGURATION, 'main', document)


def _make_routes(object_count: int) -> Iterator[Document]:
    for number in range(object_count):
        high, low = divmod(number, ROUTES_PER_NET)
        yield describe_route((f'198.18.{high}.{low}', TARGET_PORT), 'catalog')


def _make_upstream() -> Document:
    return describe_upstream('catalog', (UPSTREAM_ADDRESS, PACKET_PORT), 'a')


def _upstream_name(number: int) -> str:
    return _NAME_FORMAT.format(number + 1)


async def _write_object(
    store: Store, topic: Topic, name: str, spec: object
) -> None:
    path = (KIND_BY_TOPIC[topic], name)
    await put_object(store, path, msgspec.json.encode(spec))


async def _start_ready_instance(testbed: Testbed, number: int) -> str:
    """Start an instance and wait until it is ready; return its name."""
    address = f'127.9.4.{number}'
    name = f'n-{number}'
    settings = {
        'name': name,
        'address': address,
        'domain': 'a',
        'platform': f'http://{STORE_ADDRESS}:{STORE_PORT}',
        'cookie': {
            # `bench.flood` sends to this port.
            'fabric': f'{address}:{PACKET_PORT}',
            'ready': f'{address}:{READY_PORT}',
            'control': f'{address}:{CONTROL_PORT}',
            'seeds': [f'127.9.4.1:{CONTROL_PORT}'],
        },
    }
    await start_instance(testbed.processes, settings)
    while await _fetch(address, READY_PORT, '/api/ready') is None:
        await asyncio.sleep(0)
    return name


async def _fetch(address: str, port: int, path: str) -> bytes | None:
    connection = Connection((address, port))
    try:
        response = await connection.request('GET', path, 1)
    except MarlbendError:
        # The instance isn't listening yet.
        return None
    finally:
        connection.close()
    return response.body if response.status == _OK else None


async def _measure_packet_rates(testbed: Testbed) -> tuple[float, float]:
    """Return the packet rates of an instance and of the bare forwarder."""
    name = await _start_ready_instance(testbed, 1)
    await start_module(
        testbed.processes,
        'bare',
        'bench.forwarder',
        ['--address', BASELINE_ADDRESS, '--target', UPSTREAM_ADDRESS],
    )
    packets_path = testbed.processes.write_file(
        'packets', join_packets(_make_packet(number) for number in range(1_000))
    )
    upstream_socket = open_socket(UPSTREAM_ADDRESS, PACKET_PORT)
    upstream_socket.setblocking(True)
    upstream_socket.settimeout(FLOOD_SECONDS)
    with upstream_socket:
        rounds = [
            (
                await _measure_rate(
                    testbed, upstream_socket, '127.9.4.1', packets_path
                ),
                await _measure_rate(
                    testbed, upstream_socket, BASELINE_ADDRESS, packets_path
                ),
            )
            for _ in range(RATE_ROUNDS)
        ]
    await kill_process(testbed.processes, name)
    return (
        statistics.median(each[0] for each in rounds),
        statistics.median(each[1] for each in rounds),
    )


def _make_packet(number: int) -> bytes:
    """Return an ACK packet of a flow on one of the first upstreams."""
    cookie = derive_cookie(_upstream_name(number % OBJECT_COUNTS[0])).to_bytes(
        4
    )
    flow_endpoints = b''.join(
        (
            bytes((100, 64, 0, 7)),
            (1_024 + number).to_bytes(2),
            TARGET_PORT.to_bytes(2),
            bytes((198, 18, 0, 1)),
        )
    )
    return b''.join(
        (HEADER_START, cookie, flow_endpoints, bytes(HEADER_END_BYTES))
    )


async def _measure_rate(
    testbed: Testbed,
    upstream_socket: socket.socket,
    target: str,
    packets_path: str,
) -> float:
    options = ['--target', target, '--packets', packets_path, '--repeat']
    await start_module(
        testbed.processes,
        'flood',
        'bench.flood',
        [*options, '--seconds', str(FLOOD_SECONDS)],
    )
    packet_rate = await asyncio.to_thread(
        _measure_receive_rate, upstream_socket
    )
    await kill_process(testbed.processes, 'flood')
    await asyncio.sleep(SETTLE_SECONDS)
    await asyncio.to_thread(_empty_socket, upstream_socket)
    return packet_rate


def _measure_receive_rate(upstream_socket: socket.socket) -> float:
    """Return the packets per second that an upstream receives."""
    for _ in range(WARMUP_PACKETS):
        upstream_socket.recv(MAX_PACKET_BYTES)
    started_at = time.monotonic()
    received = 0
    while time.monotonic() - started_at < MEASURED_SECONDS:
        upstream_socket.recv(MAX_PACKET_BYTES)
        received += 1
    return received / (time.monotonic() - started_at)


def _empty_socket(upstream_socket: socket.socket) -> None:
    """Discard packets until none arrives for `SETTLE_SECONDS`."""
    upstream_socket.settimeout(SETTLE_SECONDS)
    has_packets = True
    while has_packets:
        try:
            has_packets = bool(upstream_socket.recv(MAX_PACKET_BYTES))
        except TimeoutError:
            has_packets = False
    upstream_socket.settimeout(FLOOD_SECONDS)


async def _measure_start_times(testbed: Testbed) -> tuple[float, float]:
    """Return the processor seconds to start an instance and an interpreter."""
    instance_seconds = []
    for _ in range(START_ROUNDS):
        name = await _start_ready_instance(testbed, 1)
        pid = testbed.processes.process_by_name[name].pid
        processor_nanoseconds = (
            pathlib.Path(f'/proc/{pid}/schedstat').read_text().split()[0]
        )
        instance_seconds.append(
            int(processor_nanoseconds) / _NANOSECONDS_PER_SECOND
        )
        await kill_process(testbed.processes, name)
    baseline_seconds = [_run_baseline() for _ in range(START_ROUNDS)]
    return statistics.median(instance_seconds), statistics.median(
        baseline_seconds
    )


def _run_baseline() -> float:
    """Return the processor seconds of an interpreter that imports asyncio."""
    usage_before = resource.getrusage(resource.RUSAGE_CHILDREN)
    subprocess.run([sys.executable, '-c', 'import asyncio'], check=True)
    usage_after = resource.getrusage(resource.RUSAGE_CHILDREN)
    user = usage_after.ru_utime - usage_before.ru_utime
    return user + usage_after.ru_stime - usage_before.ru_stime


async def _measure_memory(object_count: int) -> int:
    """Return the resident bytes with a number of routes and upstreams."""
    async with _open_testbed(object_count) as testbed:
        await _start_ready_instance(testbed, 1)
        await asyncio.sleep(SETTLE_SECONDS)
        response = await _fetch('127.9.4.1', CONTROL_PORT, STATUS_PATH)
        status = msgspec.json.decode(response or b'', type=CookieStatus)
        return status.resident_bytes


async def _measure_request_rates(testbed: Testbed) -> tuple[float, float]:
    """Return the requests per minute of an instance: idle, and with changes.

    The configuration changes once a second.
    """
    for number in range(1, FLEET_SIZE + 1):
        await _start_ready_instance(testbed, number)
    await asyncio.sleep(SETTLE_SECONDS * 3)
    requests_before = testbed.store.request_count
    await asyncio.sleep(COUNTING_SECONDS)
    requests_after_idle = testbed.store.request_count
    for version in range(2, int(COUNTING_SECONDS) + 2):
        await _write_configuration(testbed.store, version, OBJECT_COUNTS[0])
        await asyncio.sleep(1)
    instance_minutes = FLEET_SIZE * COUNTING_SECONDS / _SECONDS_PER_MINUTE
    return (requests_after_idle - requests_before) / instance_minutes, (
        testbed.store.request_count - requests_after_idle
    ) / instance_minutes
