"""Restart the only instance of a zone while flows are opened there."""

import asyncio
import signal

from deployment import (
    BOLE,
    CLIENTS,
    KALITY,
    YEKA,
    add_hosts,
    find_route,
    start_deployment,
)
from nodes import restart_node, send_signal, wait_ended
from traffic import Load, send_load
from world import add_clients, run_case

HOST_ZONES = (BOLE, BOLE, BOLE, KALITY, KALITY, YEKA, YEKA)
SLOTS = 16
COLD_SECONDS = 2
FLOWS_PER_SECOND = 150
REQUESTS = 3
RESTARTS = 10
APART_SECONDS = 3.5
LAST_SECONDS = 3


async def play(world):
    """Take one of two instances away, then restart the other ten times."""
    add_hosts(world, 'catalog', HOST_ZONES, SLOTS)
    if not await start_deployment(world, 'catalog', COLD_SECONDS, 0):
        return False
    await _remove_last(world)
    clients = add_clients(world, (YEKA,), CLIENTS)
    load = Load(find_route(world), FLOWS_PER_SECOND, REQUESTS)
    world.run(send_load(world, clients, load))
    for _ in range(RESTARTS):
        await asyncio.sleep(APART_SECONDS)
        if world.has_trouble:
            await restart_node(world.nodes[-1])
    await asyncio.sleep(LAST_SECONDS)
    return True


async def _remove_last(world):
    removed = world.nodes[-1]
    send_signal(removed, signal.SIGTERM)
    await wait_ended(removed)
    world.nodes.remove(removed)
    world.gone_nodes.append(removed)


run_case(play, 'FLOW')
