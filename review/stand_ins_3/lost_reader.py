"""Let a host restart cold while the instance that reads the store is frozen."""

import asyncio
import signal

from deployment import (
    BOLE,
    CLIENTS,
    ZONES,
    add_hosts,
    find_route,
    start_deployment,
)
from nodes import send_signal
from traffic import Load, restart_and_judge, send_load
from world import add_clients, run_case

HOST_ZONES = (BOLE, BOLE, BOLE, BOLE)
SLOTS = 4
FLOWS_PER_SECOND = 150
COLD_PER_SECOND = 5
COLD_SECONDS = 2
DOWN_SECONDS = 0.3
FROZEN_SECONDS = 4
FREEZE_LEAD_SECONDS = 0.1
ROUNDS = 3
BETWEEN_SECONDS = 8
# Requests are short, so that no host is overloaded.
WORK_SCALE = 0.3


async def play(world):
    """Restart a host three times; freeze the reader shortly before."""
    world.work_scale = WORK_SCALE
    hosts = add_hosts(world, 'survey', HOST_ZONES, SLOTS)
    if not await start_deployment(
        world, 'survey', COLD_SECONDS, COLD_PER_SECOND
    ):
        return False
    clients = add_clients(world, ZONES, CLIENTS)
    load = Load(find_route(world), FLOWS_PER_SECOND)
    world.run(send_load(world, clients, load))
    for host in hosts[:ROUNDS]:
        await asyncio.sleep(BETWEEN_SECONDS)
        if world.has_trouble:
            world.run(_freeze_reader(world))
        await asyncio.sleep(FREEZE_LEAD_SECONDS)
        await restart_and_judge(
            host, DOWN_SECONDS, COLD_SECONDS, COLD_PER_SECOND
        )
    return True


async def _freeze_reader(world):
    """Freeze the instance that called the store last."""
    node_by_name = {node.name: node for node in world.nodes}
    reader = node_by_name[world.store.last_reader]
    send_signal(reader, signal.SIGSTOP)
    await asyncio.sleep(FROZEN_SECONDS)
    send_signal(reader, signal.SIGCONT)


run_case(play, 'FAILBACK')
