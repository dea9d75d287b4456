"""Test the daemon, the tool and publication against a simulated platform."""

import asyncio
import json
import pathlib
import subprocess
import sys
from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import msgspec
import pytest
from aiohttp.test_utils import TestServer

from bench.platform import STORE_KEY, make_application
from bench.store import Faults, Store, set_faults
from marlbend.config import Configuration, collect_services
from marlbend.config.documents import effective_services
from marlbend.config.publish import (
    CONFIG_PATH,
    drain_upstream,
    publish_configuration,
    read_configuration,
)
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.ownership.watch import watch_object
from marlbend.platform.client import PlatformClient
from marlbend.sockets import open_socket

ROOT = pathlib.Path(__file__).parents[2]
ADDRESS = '127.9.0.1'
PORT = 6080

_Returned = TypeVar('_Returned')
Operation = Callable[[PlatformClient, Store], Awaitable[_Returned]]


def run_with_platform(operation: Operation[_Returned]) -> _Returned:
    """Run a coroutine function with a client and the simulated store."""

    async def run() -> _Returned:
        application = make_application()
        async with TestServer(application) as server:
            client = PlatformClient(str(server.make_url('')))
            return await operation(client, application[STORE_KEY])

    return asyncio.run(run())


def run_module(
    module: str, *arguments: str
) -> 'subprocess.CompletedProcess[str]':
    """Run a program until it exits."""
    return subprocess.run(
        [sys.executable, '-m', module, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def write_settings(directory: pathlib.Path) -> str:
    """Write a settings file and return its path."""
    path = directory / 'settings.json'
    settings = {
        'name': 'a-1',
        'address': ADDRESS,
        'domain': 'a',
        'platform': 'http://127.9.0.2:1',
    }
    path.write_text(json.dumps(settings))
    return str(path)


def expect_error(
    completed: 'subprocess.CompletedProcess[str]', kind: ErrorKind
) -> None:
    """Check the exit code of a program and its single error line."""
    error = MarlbendError(kind, '')
    assert completed.returncode == error.exit_code
    assert f'error[{kind.value}]' in completed.stderr
    assert len(completed.stderr.splitlines()) == 1


def test_daemon_rejects_invalid_settings(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'settings.json'
    path.write_text('{"name": 7}')
    completed = run_module('marlbend.main', '--settings', str(path))
    expect_error(completed, ErrorKind.SETTINGS_INVALID)
    missing = run_module('marlbend.main', '--settings', str(tmp_path / 'no'))
    expect_error(missing, ErrorKind.FILE_UNREADABLE)


def test_daemon_reports_port_in_use(tmp_path: pathlib.Path) -> None:
    with open_socket(ADDRESS, PORT):
        completed = run_module(
            'marlbend.main', '--settings', write_settings(tmp_path)
        )
    expect_error(completed, ErrorKind.ADDRESS_IN_USE)


def test_tool_reports_errors(tmp_path: pathlib.Path) -> None:
    invalid = tmp_path / 'a.json'
    invalid.write_text('{"service": "a"}')
    completed = run_module('marlbend.cli', 'check', str(invalid))
    expect_error(completed, ErrorKind.SERVICE_INVALID)
    unreachable = run_module(
        'marlbend.cli', 'status', '--platform=http://127.9.0.2:1'
    )
    expect_error(unreachable, ErrorKind.PLATFORM_UNREACHABLE)
    no_platform = run_module('marlbend.cli', 'status')
    expect_error(no_platform, ErrorKind.USAGE)


def test_tool_prints_json(tmp_path: pathlib.Path) -> None:
    files = [
        str(ROOT / f'examples/ukhozi/{name}.json')
        for name in ('listen', 'studio')
    ]
    completed = run_module('marlbend.cli', 'check', *files, '--json')
    assert json.loads(completed.stdout) == {'services': 2, 'upstreams': 10}
    failed = run_module('marlbend.cli', 'check', str(tmp_path), '--json')
    assert json.loads(failed.stdout)['error'] == 'file-unreadable'


def test_conflicting_publication_is_rejected() -> None:
    """Two publications that expect the same version conflict.

    The second must be rejected, and the first must stay in force unchanged.
    """

    async def operation(platform: PlatformClient, store: Store) -> None:
        first = await publish_configuration(platform, Configuration(()), 'a')
        await publish_configuration(platform, Configuration(()), 'b', first)
        with pytest.raises(MarlbendError) as caught:
            await publish_configuration(platform, Configuration(()), 'c', first)
        assert caught.value.kind is ErrorKind.PUBLISH_CONFLICT
        version, document = await read_configuration(platform)
        assert (version, document.publications) == (first + 1, ('b', 'a'))

    run_with_platform(operation)


def test_publication_survives_lost_response() -> None:
    """The platform applies a write, but its response is lost.

    The publisher must read back that its write took effect, and neither repeat
    it nor report a failure.
    """

    async def operation(platform: PlatformClient, store: Store) -> None:
        first = await publish_configuration(platform, Configuration(()), 'a')
        store.faults = Faults(lose_answers=1)
        second = await publish_configuration(platform, Configuration(()), 'b')
        assert second == first + 1
        version, document = await read_configuration(platform)
        assert (version, document.publications) == (second, ('b', 'a'))

    run_with_platform(operation)


def test_drain_survives_publication() -> None:
    document = collect_services(
        [
            str(ROOT / f'examples/ukhozi/{name}.json')
            for name in ('listen', 'studio')
        ]
    )

    async def operation(platform: PlatformClient, store: Store) -> None:
        await publish_configuration(platform, document, 'a')
        await drain_upstream(platform, 'listen', 'listen-2', 'b')
        await publish_configuration(platform, document, 'c')
        current = (await read_configuration(platform))[1]
        assert find_draining(current) == ['listen-2']
        with pytest.raises(MarlbendError) as caught:
            await drain_upstream(platform, 'listen', 'studio-1', 'd')
        assert caught.value.kind is ErrorKind.UPSTREAM_UNKNOWN
        await drain_upstream(platform, 'listen', 'listen-2', 'e', undo=True)
        current = (await read_configuration(platform))[1]
        assert not find_draining(current)

    run_with_platform(operation)


def find_draining(document: Configuration) -> list[str]:
    """Return the names of the draining upstreams."""
    return [
        upstream.name
        for spec in effective_services(document)
        for upstream in spec.upstreams
        if upstream.draining
    ]


def test_watcher_ignores_stale_reads() -> None:
    """After an outage, the platform serves stale data and no history.

    The watcher must not apply older versions, and must resume afterwards.
    """

    async def operation(platform: PlatformClient, store: Store) -> None:
        for name in ('a', 'b'):
            await publish_configuration(platform, Configuration(()), name)
        versions: list[int] = []
        watcher = asyncio.create_task(
            watch_object(
                platform,
                CONFIG_PATH,
                lambda stored: versions.append(stored.revision),
                Random(1),
            )
        )
        while not versions:
            await asyncio.sleep(0.01)
        for faults in (Faults(down=True), Faults(stale=True, forget=True)):
            await set_faults(store, faults)
            await wait_for_requests(store, store.request_count + 2)
        store.faults = Faults()
        second = versions[0]
        await publish_configuration(platform, Configuration(()), 'c')
        while versions[-1] == second:
            await asyncio.sleep(0.01)
        watcher.cancel()
        assert versions == [second, second + 1]

    run_with_platform(operation)


async def wait_for_requests(store: Store, count: int) -> None:
    """Wait until the platform has received a number of requests."""
    while store.request_count < count:
        await asyncio.sleep(0.01)


def test_platform_outage_is_reported() -> None:
    async def operation(platform: PlatformClient, store: Store) -> None:
        store.faults = Faults(down=True)
        with pytest.raises(MarlbendError) as caught:
            await read_configuration(platform)
        assert caught.value.kind is ErrorKind.PLATFORM_UNREACHABLE

    run_with_platform(operation)


def test_faults_decode_to_their_type() -> None:
    assert msgspec.json.decode(b'{"down": true}', type=Faults).down


def test_embedding_example_runs() -> None:
    completed = subprocess.run(
        [sys.executable, str(ROOT / 'examples/embed.py')],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert completed.stdout.startswith("4 packets to ['10.1.0.")
    assert ',' not in completed.stdout
