"""Let callers come all the time, and crowds of them now and then."""

import asyncio
from contextlib import suppress
from random import Random
from typing import Final

from bench.endpoints.callers import FlowEnded, Route, open_flow, send_requests
from soak.schedule import Step
from soak.world import DOMAINS, MOVING, ROUTES, World, marker_of

__all__ = ('send_crowd', 'send_load', 'send_probes')

# Each domain's callers start so many flows a second; a flow of the longest
# route carries eight requests.
FLOWS_A_SECOND: Final = 6.0
PROBES_A_SECOND: Final = 6.0
# Releases whose routes are probed.
PROBED_RELEASES: Final = 5
CROWD_FLOWS: Final = 150


async def send_crowd(world: World, step: Step, random: Random) -> None:
    """Let many callers open a flow each within a second."""
    for number in range(CROWD_FLOWS):
        route = Route(
            ROUTES[number % 2].endpoint, at_most_once=False, requests=1
        )
        caller = world.caller_by_domain[random.choice(DOMAINS)]
        work = send_requests(caller, route, f'crowd{step.luck}-{number}')
        _keep(world, asyncio.create_task(work))
        await asyncio.sleep(step.seconds / CROWD_FLOWS)


async def send_load(world: World) -> None:
    """Start callers all the time."""
    number = 0
    while not world.fleet.stopping:
        for domain in DOMAINS:
            number += 1
            route = world.random.choice(
                (*ROUTES, Route(MOVING, at_most_once=False, requests=1))
            )
            work = send_requests(
                world.caller_by_domain[domain], route, f'{domain}{number}'
            )
            _keep(world, asyncio.create_task(work))
        await asyncio.sleep(1 / FLOWS_A_SECOND)


async def send_probes(world: World) -> None:
    """Try new and dropped routes on each instance in turn."""
    while not world.fleet.stopping:
        for instance in tuple(world.fleet.by_name.values()):
            if not instance.misses:
                work = _probe_once(world, instance.place.name)
                _keep(world, asyncio.create_task(work))
            await asyncio.sleep(1 / PROBES_A_SECOND)


async def _probe_once(world: World, instance: str) -> None:
    latest = len(world.judge.releases)
    version = world.random.randint(max(latest - PROBED_RELEASES, 0) + 1, latest)
    caller = world.caller_by_domain[DOMAINS[0]]
    world.forced_by_port[caller.next_port] = instance
    # Refusals are judged where they arrive.
    with suppress(FlowEnded):
        flow = await open_flow(caller, marker_of(version))
        caller.flow_by_port.pop(flow.source[1], None)


def _keep(world: World, task: asyncio.Task[None]) -> None:
    world.tasks.add(task)
    task.add_done_callback(world.tasks.discard)
