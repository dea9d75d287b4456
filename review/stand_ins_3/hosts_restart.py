"""Let two hosts of a service restart, one shortly after the other, cold."""

import asyncio

from deployment import (
    BOLE,
    CLIENTS,
    ZONES,
    add_hosts,
    find_route,
    start_deployment,
)
from traffic import Load, restart_and_judge, send_load
from world import add_clients, run_case

HOST_ZONES = (BOLE, BOLE, BOLE, BOLE)
SLOTS = 4
FLOWS_PER_SECOND = 300
COLD_PER_SECOND = 5
COLD_SECONDS = 2
DOWN_SECONDS = 0.2
RESTARTED = 2
APART_SECONDS = 0.05
ROUNDS = 5
BETWEEN_SECONDS = 5
# Requests are short, so that no host is overloaded.
WORK_SCALE = 0.3


async def play(world):
    """Restart two of four hosts five times."""
    world.work_scale = WORK_SCALE
    hosts = add_hosts(world, 'survey', HOST_ZONES, SLOTS)
    if not await start_deployment(
        world, 'survey', COLD_SECONDS, COLD_PER_SECOND
    ):
        return False
    clients = add_clients(world, ZONES, CLIENTS)
    load = Load(find_route(world), FLOWS_PER_SECOND)
    world.run(send_load(world, clients, load))
    for _ in range(ROUNDS):
        await asyncio.sleep(BETWEEN_SECONDS)
        if world.has_trouble:
            await asyncio.gather(*map(_restart, hosts, range(RESTARTED)))
    return True


async def _restart(host, position):
    await asyncio.sleep(position * APART_SECONDS)
    await restart_and_judge(host, DOWN_SECONDS, COLD_SECONDS, COLD_PER_SECOND)


run_case(play, 'FAILBACK')
