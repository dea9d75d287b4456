"""Run the programs as a user does, against the platform stand-in."""

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
from marlbend.config.documents import services_in_force
from marlbend.config.publish import (
    CONFIG_PATH,
    drain_upstream,
    publish_configuration,
    read_configuration,
)
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.homes.watch import watch_object
from marlbend.platform.client import Platform
from marlbend.sockets import open_socket

ROOT = pathlib.Path(__file__).parents[2]
ADDRESS = '127.9.0.1'
PORT = 6080

_Found = TypeVar('_Found')
Work = Callable[[Platform, Store], Awaitable[_Found]]


def with_platform(work: Work[_Found]) -> _Found:
    """Run `work` with a client and the store of a fresh stand-in."""

    async def run() -> _Found:
        application = make_application()
        async with TestServer(application) as server:
            client = Platform(str(server.make_url('')))
            return await work(client, application[STORE_KEY])

    return asyncio.run(run())


def run_program(
    module: str, *arguments: str
) -> 'subprocess.CompletedProcess[str]':
    """Run a program to its end."""
    return subprocess.run(
        [sys.executable, '-m', module, *arguments],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def write_settings(folder: pathlib.Path) -> str:
    """Write settings of an instance and return the path."""
    path = folder / 'settings.json'
    settings = {
        'name': 'a-1',
        'address': ADDRESS,
        'domain': 'a',
        'platform': 'http://127.9.0.2:1',
    }
    path.write_text(json.dumps(settings))
    return str(path)


def expect_error(
    run: 'subprocess.CompletedProcess[str]', kind: ErrorKind
) -> None:
    """Check that a program ended with one clear line."""
    error = MarlbendError(kind, '')
    assert run.returncode == error.exit_code
    assert f'error[{kind.value}]' in run.stderr
    assert len(run.stderr.splitlines()) == 1


def test_daemon_refuses_wrong_settings(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'settings.json'
    path.write_text('{"name": 7}')
    run = run_program('marlbend.main', '--settings', str(path))
    expect_error(run, ErrorKind.SETTINGS_INVALID)
    missing = run_program('marlbend.main', '--settings', str(tmp_path / 'no'))
    expect_error(missing, ErrorKind.FILE_UNREADABLE)


def test_daemon_reports_a_port_in_use(tmp_path: pathlib.Path) -> None:
    with open_socket(ADDRESS, PORT):
        run = run_program(
            'marlbend.main', '--settings', write_settings(tmp_path)
        )
    expect_error(run, ErrorKind.ADDRESS_IN_USE)


def test_tool_reports_errors(tmp_path: pathlib.Path) -> None:
    wrong = tmp_path / 'a.json'
    wrong.write_text('{"service": "a"}')
    run = run_program('marlbend.cli', 'check', str(wrong))
    expect_error(run, ErrorKind.SERVICE_INVALID)
    lost = run_program(
        'marlbend.cli', 'status', '--platform=http://127.9.0.2:1'
    )
    expect_error(lost, ErrorKind.PLATFORM_UNREACHABLE)
    silent = run_program('marlbend.cli', 'status')
    expect_error(silent, ErrorKind.USAGE)


def test_tool_answers_in_json(tmp_path: pathlib.Path) -> None:
    files = [
        str(ROOT / f'examples/ukhozi/{name}.json')
        for name in ('listen', 'studio')
    ]
    run = run_program('marlbend.cli', 'check', *files, '--json')
    assert json.loads(run.stdout) == {'services': 2, 'upstreams': 10}
    failed = run_program('marlbend.cli', 'check', str(tmp_path), '--json')
    assert json.loads(failed.stdout)['error'] == 'file-unreadable'


def test_publish_that_comes_second_hears_so() -> None:
    """Trap 4: one of two conflicting publications wins whole."""

    async def work(platform: Platform, store: Store) -> None:
        first = await publish_configuration(platform, Configuration(()), 'a')
        await publish_configuration(platform, Configuration(()), 'b', first)
        with pytest.raises(MarlbendError) as caught:
            await publish_configuration(platform, Configuration(()), 'c', first)
        assert caught.value.kind is ErrorKind.PUBLISH_CONFLICT
        version, document = await read_configuration(platform)
        assert (version, document.publications) == (first + 1, ('b', 'a'))

    with_platform(work)


def test_lost_answer_is_read_back() -> None:
    """Trap 3: what took effect is not written twice nor reported failed."""

    async def work(platform: Platform, store: Store) -> None:
        first = await publish_configuration(platform, Configuration(()), 'a')
        store.faults = Faults(lose_answers=1)
        second = await publish_configuration(platform, Configuration(()), 'b')
        assert second == first + 1
        version, document = await read_configuration(platform)
        assert (version, document.publications) == (second, ('b', 'a'))

    with_platform(work)


def test_drain_outlasts_a_publication() -> None:
    document = collect_services(
        [
            str(ROOT / f'examples/ukhozi/{name}.json')
            for name in ('listen', 'studio')
        ]
    )

    async def work(platform: Platform, store: Store) -> None:
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

    with_platform(work)


def find_draining(document: Configuration) -> list[str]:
    """Return the upstreams that drain."""
    return [
        upstream.name
        for spec in services_in_force(document)
        for upstream in spec.upstreams
        if upstream.draining
    ]


def test_nothing_reverts_while_the_platform_lies() -> None:
    """Trap 5: stale reads and an outage; the follower goes on afterwards."""

    async def work(platform: Platform, store: Store) -> None:
        for name in ('a', 'b'):
            await publish_configuration(platform, Configuration(()), name)
        seen: list[int] = []
        follower = asyncio.create_task(
            watch_object(
                platform,
                CONFIG_PATH,
                lambda stored: seen.append(stored.version),
                Random(1),
            )
        )
        while not seen:
            await asyncio.sleep(0.01)
        for faults in (Faults(down=True), Faults(stale=True, forget=True)):
            await set_faults(store, faults)
            await wait_for_calls(store, store.request_count + 2)
        store.faults = Faults()
        second = seen[0]
        await publish_configuration(platform, Configuration(()), 'c')
        while seen[-1] == second:
            await asyncio.sleep(0.01)
        follower.cancel()
        assert seen == [second, second + 1]

    with_platform(work)


async def wait_for_calls(store: Store, calls: int) -> None:
    """Wait until the platform has been called so often."""
    while store.request_count < calls:
        await asyncio.sleep(0.01)


def test_platform_that_is_down_is_named() -> None:
    async def work(platform: Platform, store: Store) -> None:
        store.faults = Faults(down=True)
        with pytest.raises(MarlbendError) as caught:
            await read_configuration(platform)
        assert caught.value.kind is ErrorKind.PLATFORM_UNREACHABLE

    with_platform(work)


def test_faults_are_typed() -> None:
    assert msgspec.json.decode(b'{"down": true}', type=Faults).down


def test_example_of_embedding_runs() -> None:
    run = subprocess.run(
        [sys.executable, str(ROOT / 'examples/embed.py')],
        capture_output=True,
        text=True,
        timeout=60,
        check=True,
    )
    assert run.stdout.startswith("4 packets to ['10.1.0.")
    assert ',' not in run.stdout
