"""Run the daemon as processes, with callers and upstreams on sockets."""

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
FABRIC = 6081
READY = 6082
CONTROL = 6083
ROUTE = bytes.fromhex('01bbc6120001')


class Stage:
    """Hold a store, daemons and upstreams, and play a caller."""

    def __init__(self, store: Store, port: int, folder: pathlib.Path) -> None:
        self.store = store
        self.port = port
        self.folder = folder
        self.daemons: list[asyncio.subprocess.Process] = []
        self.upstreams: list[socket.socket] = []
        self.caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.caller.bind(('127.9.3.200', FABRIC))
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
                    'fabric': f'{address}:{FABRIC}',
                    'ready': f'{address}:{READY}',
                    'control': f'{address}:{CONTROL}',
                    'seeds': [f'127.9.3.1:{CONTROL}'],
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
            while await self.ask(number, READY, '/api/ready') != 200:
                await asyncio.sleep(0.02)

    async def ask(self, number: int, port: int, path: str) -> int:
        """Return the status of a page, zero if none answers."""
        connection = Connection((f'127.9.3.{number}', port))
        try:
            return (await connection.request('GET', path, 1)).status
        except Exception:
            return 0
        finally:
            connection.close()

    def log(self, number: int) -> list[dict[str, object]]:
        """Return the lines that a daemon has written."""
        text = (self.folder / f'{number}.log').read_text()
        return [json.loads(line) for line in text.splitlines()]

    async def wait_for_event(self, number: int, event: int) -> None:
        """Wait until a daemon has logged an event."""
        async with asyncio.timeout(5):
            while event not in {line.get('event') for line in self.log(number)}:
                await asyncio.sleep(0.02)

    async def add_upstream(self, name: str, service: str = 'catalog') -> None:
        """Open a socket and register it."""
        end = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        end.bind(('127.9.3.100', 0))
        end.setblocking(False)
        self.upstreams.append(end)
        spec = make_registration(
            service=service, address=f'127.9.3.100:{end.getsockname()[1]}'
        )
        await self.put('servers', name, spec)

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object."""
        body = None if spec is None else json.dumps(spec).encode()
        await put_object(self.store, (kind, name), body)

    async def publish(self, version: int, service: str = 'catalog') -> None:
        """Write a configuration with the one route of the caller."""
        route = {
            'name': 'r',
            'hostname': '198.18.0.1',
            'path_prefix': '/443/',
            'kind': 'safe',
            'service': service,
        }
        spec = {'version': version, 'routes': [route], 'services': []}
        await self.put('config', 'main', spec)

    def send(self, number: int, port: int, cookie: int = 0) -> None:
        """Send a packet of a flow, opening it unless there is a cookie."""
        raw = bytearray(SYN_PACKET)
        raw[0] = 16 if cookie else 1
        raw[14:18] = cookie.to_bytes(4)
        raw[18:22] = socket.inet_aton('127.9.3.200')
        raw[22:24] = port.to_bytes(2)
        self.caller.sendto(raw, (f'127.9.3.{number}', FABRIC))

    async def receive(self, seconds: float = 3) -> tuple[int, int]:
        """Return which upstream got a packet, and its cookie."""
        async with asyncio.timeout(seconds):
            while True:
                for place, end in enumerate(self.upstreams):
                    datagram = take_datagram(end)
                    if datagram:
                        return place, int.from_bytes(datagram[22:26])
                await asyncio.sleep(0.005)

    async def open(self, number: int, port: int) -> tuple[int, int]:
        """Open a flow; return its upstream and cookie."""
        self.send(number, port)
        place, cookie = await self.receive()
        self.send(number, port, cookie)
        assert await self.receive() == (place, cookie)
        return place, cookie

    async def hear_reset(self) -> bytes:
        """Return the reset that the caller gets."""
        async with asyncio.timeout(3):
            while True:
                datagram = take_datagram(self.caller)
                if datagram:
                    return datagram
                await asyncio.sleep(0.005)

    async def close(self) -> None:
        """End what was started."""
        for daemon in self.daemons:
            if daemon.returncode is None:
                daemon.kill()
            await daemon.wait()
        for end in (*self.upstreams, self.caller):
            end.close()


def take_datagram(end: socket.socket) -> bytes:
    """Return a datagram that waits, or nothing."""
    try:
        return end.recv(2000)
    except BlockingIOError:
        return b''


def with_stage(work: Callable[[Stage], Awaitable[None]]) -> None:
    """Run `work` with a store that holds one route and two upstreams."""

    async def run(folder: pathlib.Path) -> None:
        application = make_application()
        async with TestServer(application, host='127.0.0.1') as server:
            port = int(server.port or 0)
            stage = Stage(application[STORE_KEY], port, folder)
            try:
                await stage.publish(1)
                await stage.add_upstream('i-1')
                await stage.add_upstream('i-2')
                async with asyncio.timeout(60):
                    await work(stage)
            finally:
                await stage.close()

    with _folder() as folder:
        asyncio.run(run(folder))


@contextmanager
def _folder() -> Iterator[pathlib.Path]:
    with tempfile.TemporaryDirectory() as name:
        yield pathlib.Path(name)


def test_flow_stays_while_its_instances_stop_and_are_killed() -> None:
    async def work(stage: Stage) -> None:
        await stage.start(1, 2, 3, 4)
        home: dict[int, tuple[int, int]] = {}
        for port in range(5000, 5020):
            home[port] = await stage.open(1, port)
        stage.daemons[0].send_signal(signal.SIGTERM)
        stage.daemons[1].kill()
        while await stage.ask(1, READY, '/api/ready') != 503:
            await asyncio.sleep(0.02)
        for number in (1, 3, 4):
            for port, (place, cookie) in home.items():
                stage.send(number, port, cookie)
                assert await stage.receive() == (place, cookie)
        assert await asyncio.wait_for(stage.daemons[0].wait(), 10) == 0

    with_stage(work)


def test_packets_are_refused_and_reset_as_the_platform_says() -> None:
    async def work(stage: Stage) -> None:
        await stage.start(1)
        place, cookie = await stage.open(1, 5000)
        await stage.put('servers', f'i-{place + 1}', {'state': 'draining'})
        await stage.put('servers', f'i-{place + 1}', None)
        # A spoiled entry may have lapsed, so it is believed for 2.2 s.
        await asyncio.sleep(3)
        stage.send(1, 5000, cookie)
        reset = await stage.hear_reset()
        assert reset[0] == 2
        await stage.put(
            'config', 'main', {'version': 2, 'routes': [], 'services': []}
        )
        await asyncio.sleep(1)
        stage.send(1, 5001)
        assert (await stage.hear_reset())[0] == 2
        events = [line.get('event') for line in stage.log(1)]
        assert {100, 200, 600, 610, 611} <= set(events)

    with_stage(work)


def test_restart_while_the_store_is_away() -> None:
    async def work(stage: Stage) -> None:
        await stage.start(1, 2)
        place, cookie = await stage.open(2, 5000)
        await set_faults(stage.store, Faults(down=True))
        stage.daemons[1].kill()
        await stage.daemons[1].wait()
        await stage.start(2)
        stage.send(2, 5000, cookie)
        assert await stage.receive() == (place, cookie)

    with_stage(work)


def test_settings_change_while_serving() -> None:
    async def work(stage: Stage) -> None:
        await stage.start(1)
        place, cookie = await stage.open(1, 5000)
        path = stage.folder / '1.json'
        earlier = path.read_text()
        daemon = stage.daemons[0]
        path.write_text('{"name": 7')
        daemon.send_signal(signal.SIGHUP)
        await stage.wait_for_event(1, 106)
        path.write_text(earlier.replace('"n-1"', '"n-9"'))
        await stage.wait_for_event(1, 104)
        stage.send(1, 5000, cookie)
        assert await stage.receive() == (place, cookie)
        assert daemon.returncode is None

    with_stage(work)


def test_pages_of_the_control_and_metrics_ports() -> None:
    async def work(stage: Stage) -> None:
        await stage.start(1)
        assert await stage.ask(1, CONTROL, '/status') == 200
        assert await stage.ask(1, CONTROL, '/nothing') == 404
        assert await stage.ask(1, 9096, '/metrics') == 200
        tool = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'marlbend.cli',
            'status',
            '--control',
            f'127.9.3.1:{CONTROL}',
            '--json',
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        output, _ = await tool.communicate()
        status = json.loads(output)['instances'][0]
        assert status['configuration'] == 1
        assert len(status['upstreams']) == 2

    with_stage(work)
