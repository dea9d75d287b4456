"""Run daemon processes, with sockets as their caller and upstreams."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from aiohttp.test_utils import TestServer

from bench.platform import STORE_KEY, make_application
from bench.store import Faults, Store, put_object, set_faults
from marlbend.http import Connection
from marlbend.test.edge import make_registration
from marlbend.test.test_header import SYN_PACKET

ROOT = pathlib.Path(__file__).parents[2]
FABRIC_PORT = 6081
READY_PORT = 6082
CONTROL_PORT = 6083
ROUTE = bytes.fromhex('01bbc6120001')


class Cluster:
    """Hold a store, daemons and upstreams, and act as a caller."""

    def __init__(self, store: Store, port: int, folder: pathlib.Path) -> None:
        self.store = store
        self.port = port
        self.folder = folder
        self.daemons: list[asyncio.subprocess.Process] = []
        self.upstreams: list[socket.socket] = []
        self.caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.caller.bind(('127.9.3.200', FABRIC_PORT))
        self.caller.setblocking(False)

    async def start(self, *numbers: int) -> None:
        """Start daemons and wait until they are ready."""
        for number in numbers:
            address = f'127.9.3.{number}'
            settings = {
                'name': f'n-{number}',
                'address': address,
                'domain': 'a',
                'platform': f'http://127.0.0.1:{self.port}',
                'cookie': {
                    'fabric': f'{address}:{FABRIC_PORT}',
                    'ready': f'{address}:{READY_PORT}',
                    'control': f'{address}:{CONTROL_PORT}',
                    'seeds': [f'127.9.3.1:{CONTROL_PORT}'],
                },
            }
            path = self.folder / f'{number}.json'
            path.write_text(json.dumps(settings))
            log = (self.folder / f'{number}.log').open('ab')
            self.daemons.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    '-m',
                    'marlbend.main',
                    stdout=log,
                    stderr=log,
                    cwd=ROOT,
                    env={**os.environ, 'MARLBEND_BOOT': str(path)},
                )
            )
        for number in numbers:
            while (
                await self.get_status(number, READY_PORT, '/api/ready') != 200
            ):
                await asyncio.sleep(0.02)

    async def get_status(self, number: int, port: int, path: str) -> int:
        """Return the HTTP status of a page, zero if there is no response."""
        connection = Connection((f'127.9.3.{number}', port))
        try:
            return (await connection.request('GET', path, 1)).status
        except Exception:
            return 0
        finally:
            connection.close()

    def read_log(self, number: int) -> list[dict[str, object]]:
        """Return the log lines of a daemon."""
        text = (self.folder / f'{number}.log').read_text()
        return [json.loads(line) for line in text.splitlines()]

    async def wait_for_event(self, number: int, event: int) -> None:
        """Wait until a daemon has logged an event."""
        async with asyncio.timeout(5):
            while event not in {
                line.get('event') for line in self.read_log(number)
            }:
                await asyncio.sleep(0.02)

    async def add_upstream(self, name: str, service: str = 'catalog') -> None:
        """Open a socket and register it as an upstream."""
        endpoint = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        endpoint.bind(('127.9.3.100', 0))
        endpoint.setblocking(False)
        self.upstreams.append(endpoint)
        spec = make_registration(
            service=service, address=f'127.9.3.100:{endpoint.getsockname()[1]}'
        )
        await self.put('servers', name, spec)

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object, or delete it if `spec` is `None`."""
        body = None if spec is None else json.dumps(spec).encode()
        await put_object(self.store, (kind, name), body)

    async def publish(self, version: int, service: str = 'catalog') -> None:
        """Publish a configuration with the caller's only route."""
        route = {
            'name': 'r',
            'hostname': '198.18.0.1',
            'path_prefix': '/443/',
            'kind': 'safe',
            'service': service,
        }
        spec = {'version': version, 'routes': [route], 'services': []}
        await self.put('config', 'main', spec)

    def send(
        self, number: int, port: int, cookie: int = 0, payload: bytes = b''
    ) -> None:
        """Send a packet of a flow, a SYN if there is no cookie."""
        raw = bytearray(SYN_PACKET + payload)
        raw[34:36] = len(payload).to_bytes(2)
        raw[0] = 16 if cookie else 1
        raw[14:18] = cookie.to_bytes(4)
        raw[18:22] = socket.inet_aton('127.9.3.200')
        raw[22:24] = port.to_bytes(2)
        self.caller.sendto(raw, (f'127.9.3.{number}', FABRIC_PORT))

    async def receive(self, seconds: float = 3) -> tuple[int, int]:
        """Wait for a packet; return its upstream's index and its cookie."""
        async with asyncio.timeout(seconds):
            while True:
                for index, endpoint in enumerate(self.upstreams):
                    datagram = receive_datagram(endpoint)
                    if datagram:
                        return index, int.from_bytes(datagram[22:26])
                await asyncio.sleep(0.005)

    async def open_flow(self, number: int, port: int) -> tuple[int, int]:
        """Open a flow; return the index of its upstream, and its cookie."""
        self.send(number, port)
        index, cookie = await self.receive()
        self.send(number, port, cookie)
        assert await self.receive() == (index, cookie)
        return index, cookie

    async def receive_reset(self) -> bytes:
        """Wait for a reset at the caller, and return it."""
        async with asyncio.timeout(3):
            while True:
                datagram = receive_datagram(self.caller)
                if datagram:
                    return datagram
                await asyncio.sleep(0.005)

    async def close(self) -> None:
        """Stop the daemons and close the sockets."""
        for daemon in self.daemons:
            if daemon.returncode is None:
                daemon.kill()
            await daemon.wait()
        for endpoint in (*self.upstreams, self.caller):
            endpoint.close()


def receive_datagram(endpoint: socket.socket) -> bytes:
    """Return a received datagram, or `b''` if there is none."""
    try:
        return endpoint.recv(2000)
    except BlockingIOError:
        return b''


def run_with_cluster(scenario: Callable[[Cluster], Awaitable[None]]) -> None:
    """Run `scenario` with a store of one route and two upstreams."""

    async def run(folder: pathlib.Path) -> None:
        application = make_application()
        async with TestServer(application, host='127.0.0.1') as server:
            port = int(server.port or 0)
            cluster = Cluster(application[STORE_KEY], port, folder)
            try:
                await cluster.publish(1)
                await cluster.add_upstream('i-1')
                await cluster.add_upstream('i-2')
                async with asyncio.timeout(60):
                    await scenario(cluster)
            finally:
                await cluster.close()

    with _temporary_folder() as folder:
        asyncio.run(run(folder))


@contextmanager
def _temporary_folder() -> Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


def test_flows_survive_stopped_and_killed_instances() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.start(1, 2, 3, 4)
        upstream_by_port: dict[int, tuple[int, int]] = {}
        for port in range(5000, 5020):
            upstream_by_port[port] = await cluster.open_flow(1, port)
        cluster.daemons[0].send_signal(signal.SIGTERM)
        cluster.daemons[1].kill()
        while await cluster.get_status(1, READY_PORT, '/api/ready') != 503:
            await asyncio.sleep(0.02)
        for number in (1, 3, 4):
            for port, (index, cookie) in upstream_by_port.items():
                cluster.send(number, port, cookie)
                assert await cluster.receive() == (index, cookie)
        assert await asyncio.wait_for(cluster.daemons[0].wait(), 10) == 0

    run_with_cluster(scenario)


def test_caller_is_reset_without_upstream_or_route() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.start(1)
        index, cookie = await cluster.open_flow(1, 5000)
        await cluster.put('servers', f'i-{index + 1}', {'state': 'draining'})
        await cluster.put('servers', f'i-{index + 1}', None)
        # A malformed registration counts as missing, and the upstream ends only
        # after 2.2 s, as its registration may have expired in an outage.
        await asyncio.sleep(3)
        # The upstream stays silent, and the caller retransmits its data.
        for seconds in (0.2, 0.4, 0.8, 0):
            cluster.send(1, 5000, cookie, b'data')
            await asyncio.sleep(seconds)
        reset = await cluster.receive_reset()
        assert reset[0] == 2
        await cluster.put(
            'config', 'main', {'version': 2, 'routes': [], 'services': []}
        )
        await asyncio.sleep(1)
        cluster.send(1, 5001)
        assert (await cluster.receive_reset())[0] == 2
        events = [line.get('event') for line in cluster.read_log(1)]
        assert {100, 200, 600, 610, 611} <= set(events)

    run_with_cluster(scenario)


def test_restart_while_the_store_is_down() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.start(1, 2)
        index, cookie = await cluster.open_flow(2, 5000)
        await set_faults(cluster.store, Faults(down=True))
        cluster.daemons[1].kill()
        await cluster.daemons[1].wait()
        await cluster.start(2)
        cluster.send(2, 5000, cookie)
        assert await cluster.receive() == (index, cookie)

    run_with_cluster(scenario)


def test_settings_are_reloaded_while_serving() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.start(1)
        index, cookie = await cluster.open_flow(1, 5000)
        path = cluster.folder / '1.json'
        previous = path.read_text()
        daemon = cluster.daemons[0]
        path.write_text('{"name": 7')
        daemon.send_signal(signal.SIGHUP)
        await cluster.wait_for_event(1, 106)
        path.write_text(previous.replace('"n-1"', '"n-9"'))
        await cluster.wait_for_event(1, 104)
        cluster.send(1, 5000, cookie)
        assert await cluster.receive() == (index, cookie)
        assert daemon.returncode is None

    run_with_cluster(scenario)


def test_pages_of_the_control_and_metrics_ports() -> None:
    async def scenario(cluster: Cluster) -> None:
        await cluster.start(1)
        assert await cluster.get_status(1, CONTROL_PORT, '/status') == 200
        assert await cluster.get_status(1, CONTROL_PORT, '/nothing') == 404
        assert await cluster.get_status(1, 9096, '/metrics') == 200
        tool = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'marlbend.cli',
            'status',
            '--control',
            f'127.9.3.1:{CONTROL_PORT}',
            '--json',
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        output, _ = await tool.communicate()
        status = json.loads(output)['instances'][0]
        assert status['configuration'] == 1
        assert len(status['upstreams']) == 2

    run_with_cluster(scenario)
