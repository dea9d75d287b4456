"""A planned restart leaves open flows to a host that never had them (FLOW).

The network loses some first answers to a SYN, so the SYN goes to a second host
and the flow opens there.  The first host repeats its answer, as it has to, and
the client's echo names it from then on.
"""

import asyncio
import pathlib
from typing import Final

from clients import use_flow
from fleet import restart_gracefully
from record import count, log_line
from wire import FlowKey
from world import DOMAINS, World, add_host, add_service, run_case, start_task

PORT: Final = 8443
HOSTS: Final = 7
FLOWS: Final = 180
FLOW_SECONDS: Final = 0.02
# One in so many flows loses its first SYN and ACK: 12 packets in 3,800.
LOST_ONE_IN: Final = 15
REQUESTS: Final = 6
PAUSE_SECONDS: Final = 2.5
# The first machine of each zone.
RESTARTED: Final = ('front-bole-1', 'front-kality-1', 'front-yeka-1')


def prepare(world: World) -> None:
    """Add a service with hosts in all zones, behind a network with losses."""
    add_service(world, 'catalog', PORT)
    seen: set[FlowKey] = set()

    def is_lost(key: FlowKey) -> bool:
        # The second host that answers a flow doesn't lose its answer as well.
        is_first = key not in seen
        seen.add(key)
        return is_first and not len(seen) % LOST_ONE_IN

    for number in range(HOSTS):
        host = add_host(world, 'catalog', DOMAINS[number % len(DOMAINS)])
        host.is_lost = is_lost


async def act(world: World) -> None:
    """Open long flows, and restart some machines, one after the other."""
    flows: list[asyncio.Task[None]] = []
    for number in range(FLOWS):
        client = world.clients[number % len(world.clients)]
        flow = use_flow(client, ('127.0.5.1', PORT), REQUESTS, PAUSE_SECONDS)
        flows.append(start_task(world, flow))
        await asyncio.sleep(FLOW_SECONDS)
    if world.has_trouble:
        await _restart_machines(world)
    await asyncio.gather(*flows)


async def _restart_machines(world: World) -> None:
    for node in world.fleet.nodes:
        if node.name in RESTARTED:
            log_line(world.record, f'SIGTERM to {node.name}')
            count(world.record, 'planned restarts')
            await restart_gracefully(world.fleet, node)


run_case(str(pathlib.Path(__file__).parent), prepare, act)
