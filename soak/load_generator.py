"""Generate load: a steady rate of callers, idle flows, probes, and bursts."""

import asyncio
from contextlib import suppress
from random import Random
from typing import Final

from bench.endpoints.callers import FlowEnded, Route, open_flow, send_requests
from soak.run_state import DOMAINS, ROUTES, SWITCHING_ENDPOINT, Run, marker_of
from soak.schedule import Step

__all__ = ('send_burst', 'send_idle_load', 'send_load', 'send_route_probes')

# Flows that the callers of each domain start.  A flow carries up to eight
# requests, depending on its route.
FLOWS_PER_SECOND: Final = 6.0
ROUTE_PROBES_PER_SECOND: Final = 6.0
# Number of latest releases whose marker routes are probed.
PROBED_RELEASES: Final = 5
BURST_FLOWS: Final = 150
# Instances take an upstream for alive for 2.2 s after its last response; flows
# that are idle for longer give no such proof.
IDLE_SECONDS: Final = (3.0, 8.0)
IDLE_FLOWS_PER_SECOND: Final = 2.0
IDLE_FLOW_REQUESTS: Final = 4


async def send_burst(run: Run, step: Step, random: Random) -> None:
    """Overload the fleet: open many flows during the step."""
    for number in range(BURST_FLOWS):
        route = Route(
            ROUTES[number % 2].endpoint, at_most_once=False, requests=1
        )
        caller = run.caller_by_domain[random.choice(DOMAINS)]
        coroutine = send_requests(caller, route, f'crowd{step.luck}-{number}')
        _track(run, asyncio.create_task(coroutine))
        await asyncio.sleep(step.seconds / BURST_FLOWS)


async def send_load(run: Run) -> None:
    """Start callers at a steady rate until the run stops."""
    number = 0
    while not run.fleet.stopping:
        for domain in DOMAINS:
            number += 1
            route = run.random.choice(
                (
                    *ROUTES,
                    Route(SWITCHING_ENDPOINT, at_most_once=False, requests=1),
                )
            )
            coroutine = send_requests(
                run.caller_by_domain[domain], route, f'{domain}{number}'
            )
            _track(run, asyncio.create_task(coroutine))
        await asyncio.sleep(1 / FLOWS_PER_SECOND)


async def send_idle_load(run: Run) -> None:
    """Start callers with long pauses between requests until the run stops."""
    route = Route(
        ROUTES[0].endpoint,
        at_most_once=False,
        requests=IDLE_FLOW_REQUESTS,
        pause_seconds=IDLE_SECONDS,
    )
    number = 0
    while not run.fleet.stopping:
        number += 1
        domain = run.random.choice(DOMAINS)
        coroutine = send_requests(
            run.caller_by_domain[domain], route, f'idle{number}'
        )
        _track(run, asyncio.create_task(coroutine))
        await asyncio.sleep(1 / IDLE_FLOWS_PER_SECOND)


async def send_route_probes(run: Run) -> None:
    """Open flows on added and dropped marker routes, at each ready instance."""
    while not run.fleet.stopping:
        for instance in tuple(run.fleet.by_name.values()):
            if not instance.failed_polls:
                coroutine = _send_route_probe(run, instance.node.name)
                _track(run, asyncio.create_task(coroutine))
            await asyncio.sleep(1 / ROUTE_PROBES_PER_SECOND)


async def _send_route_probe(run: Run, instance: str) -> None:
    latest = len(run.checker.releases)
    version = run.random.randint(max(latest - PROBED_RELEASES, 0) + 1, latest)
    caller = run.caller_by_domain[DOMAINS[0]]
    # `open_flow` uses this port.
    run.pinned_instance_by_port[caller.next_port] = instance
    # Rejections are checked where they arrive at the caller.
    with suppress(FlowEnded):
        flow = await open_flow(caller, marker_of(version))
        caller.flow_by_port.pop(flow.source[1], None)


def _track(run: Run, task: asyncio.Task[None]) -> None:
    run.tasks.add(task)
    task.add_done_callback(run.tasks.discard)
