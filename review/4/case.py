"""A new host takes over the cookie of another one (FLOW).

The digests of the two ids are equal, and the new id is the lower one.
"""

import asyncio
import pathlib
from typing import Final

from clients import use_flow
from hosts import Host
from record import log_line
from world import (
    DOMAINS,
    World,
    add_host,
    add_service,
    register,
    run_case,
    start_task,
)

PORT: Final = 8443
SERVICE: Final = 'catalog'
HOSTS: Final = 6
FLOWS: Final = 84
FLOW_SECONDS: Final = 0.03
REQUESTS: Final = 4
PAUSE_SECONDS: Final = 2.0
# Two of about 200,000 ids at random whose CRC-32 is the same.
NEW_ID: Final = 'i-0fd28605'
OLD_ID: Final = 'i-35a6c9e3'


def prepare(world: World) -> None:
    """Add a service with hosts in all zones."""
    add_service(world, SERVICE, PORT)
    for number in range(HOSTS):
        add_host(world, SERVICE, DOMAINS[number % len(DOMAINS)])
    add_host(world, SERVICE, DOMAINS[0], OLD_ID)


async def act(world: World) -> None:
    """Open long flows, and add a host meanwhile."""
    flows: list[asyncio.Task[None]] = []
    for number in range(FLOWS):
        client = world.clients[number % len(world.clients)]
        flow = use_flow(client, ('198.18.0.1', PORT), REQUESTS, PAUSE_SECONDS)
        flows.append(start_task(world, flow))
        await asyncio.sleep(FLOW_SECONDS)
    if world.has_trouble:
        await _add_new_host(world)
    await asyncio.gather(*flows)


async def _add_new_host(world: World) -> None:
    host: Host = add_host(world, SERVICE, DOMAINS[1], NEW_ID)
    await register(world, host)
    log_line(world.record, f'{host.name} registered')


run_case(str(pathlib.Path(__file__).parent), prepare, act)
