"""Set up a small deployment, play a case on it, and write its record."""

import asyncio
import os
import pathlib
import signal
import tempfile
from collections.abc import Awaitable, Callable, Mapping
from contextlib import AsyncExitStack, suppress
from types import MappingProxyType
from typing import Any, Final, final

from bench.documents import describe_configuration, describe_route
from marlbend.clock import steady_seconds
from review.stand_ins_2.fleet import (
    Fleet,
    add_instance,
    claim_network,
    start_instance,
    stop_fleet,
    wait_ready,
)
from review.stand_ins_2.store_server import StoreServer, put, start_store
from review.stand_ins_2.traffic import (
    Traffic,
    add_upstream,
    describe_upstream,
)

__all__ = (
    'BROKEN',
    'HELD',
    'INSTANCES_BY_ZONE',
    'NOT_RUN',
    'Scenario',
    'play_scenario',
    'publish',
    'register',
    'temporary_folder',
)

# Exit codes, which `run.sh` maps to those that the users ask for.  An exception
# ends Python with 1.
HELD: Final = 0
BROKEN: Final = 10
NOT_RUN: Final = 2
# The zones of asgc-marlbend, with the instances of each.
INSTANCES_BY_ZONE: Final = MappingProxyType({'bole': 3, 'kality': 3, 'yeka': 2})
STORE_PORT: Final = 8169
LINE: Final = '{at:8.3f} {text}\n'
READY_SECONDS: Final = 20.0
# All instances know each other by then.
SETTLE_SECONDS: Final = 6.0
# A script may take 120 s.
LIMIT_SECONDS: Final = 110.0


@final
class Scenario:
    """Hold a deployment and its record.

    `routes` and `services` are what the operator publishes.  `has_trouble` is
    false if the case is to be played without its disruption.  `claim` keeps
    other cases off the network.
    """

    __slots__ = (
        'claim',
        'fleet',
        'has_trouble',
        'lines',
        'routes',
        'served',
        'services',
        'started_at',
        'traffic',
        'version',
    )

    def __init__(self, folder: str, *, with_relays: bool = False) -> None:
        """Initialize without a store, instances and upstreams."""
        self.lines: list[str] = []
        self.started_at = steady_seconds()
        path = pathlib.Path(folder)
        network = claim_network()
        prefix = network[0]
        self.claim = network[1]
        self.fleet = Fleet(prefix, path, self.note, with_relays=with_relays)
        self.traffic = Traffic(self.fleet, self.note)
        self.served: StoreServer | None = None
        self.routes: list[dict[str, Any]] = []
        self.services: dict[str, dict[str, Any]] = {}
        self.version = 0
        self.has_trouble = os.environ.get('TROUBLE') != '0'

    def note(self, text: str) -> None:
        """Write a line of the record."""
        at = steady_seconds() - self.started_at
        self.lines.append(LINE.format(at=at, text=text))


def play_scenario(
    scenario: Scenario,
    record: pathlib.Path,
    play: Callable[[Scenario], Awaitable[None]],
    judge: Callable[[Scenario], int],
) -> int:
    """Play a case on eight instances; return the exit code of its script."""
    code = asyncio.run(_run_in_time(scenario, play, judge))
    record.write_text(''.join(scenario.lines))
    return code


async def publish(
    scenario: Scenario, endpoint: tuple[str, int], service: str, kind: str
) -> None:
    """Publish a version of the configuration with a further route."""
    scenario.version += 1
    scenario.routes.append(describe_route(endpoint, service, kind))
    described = describe_configuration(
        scenario.version,
        scenario.routes,
        {route['service']: 0 for route in scenario.routes},
    )
    for each in described['services']:
        each.update(scenario.services.get(each['name'], {}))
    if scenario.served is not None:
        await put(scenario.served, 'config', 'main', described)
    scenario.note(f'version {scenario.version} is acknowledged')


async def register(
    scenario: Scenario, service: str, count_by_zone: Mapping[str, int]
) -> None:
    """Start upstreams of a service, and register them as warm."""
    traffic = scenario.traffic
    for zone, count in count_by_zone.items():
        for _ in range(count):
            number = len(traffic.upstream_by_name) + 1
            upstream = add_upstream(traffic, number, service, zone)
            entry = describe_upstream(upstream, number, scenario.fleet.prefix)
            if scenario.served is not None:
                await put(scenario.served, 'servers', upstream.name, entry)


async def _run_in_time(
    scenario: Scenario,
    play: Callable[[Scenario], Awaitable[None]],
    judge: Callable[[Scenario], int],
) -> int:
    """Run a case; end its processes at the time limit or on SIGTERM."""
    task = asyncio.ensure_future(_run(scenario, play, judge))
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    with suppress(TimeoutError, asyncio.CancelledError):
        return await asyncio.wait_for(task, LIMIT_SECONDS)
    scenario.note('the case was ended')
    return NOT_RUN


async def _run(
    scenario: Scenario,
    play: Callable[[Scenario], Awaitable[None]],
    judge: Callable[[Scenario], int],
) -> int:
    fleet = scenario.fleet
    scenario.served = await start_store((f'{fleet.prefix}.6.1', STORE_PORT))
    async with AsyncExitStack() as stack:
        stack.push_async_callback(stop_fleet, fleet)
        for zone, count in INSTANCES_BY_ZONE.items():
            for _ in range(count):
                add_instance(fleet, zone)
        await publish(scenario, ('198.18.0.1', 443), 'catalog', 'safe')
        await register(scenario, 'catalog', {'bole': 2, 'kality': 3, 'yeka': 2})
        for instance in fleet.instances:
            await start_instance(fleet, instance)
        if not await wait_ready(fleet, READY_SECONDS):
            return NOT_RUN
        await asyncio.sleep(SETTLE_SECONDS)
        await play(scenario)
    return judge(scenario)


def temporary_folder() -> tempfile.TemporaryDirectory[str]:
    """Return a folder for settings and logs, which is removed at the end."""
    return tempfile.TemporaryDirectory(prefix='review')
