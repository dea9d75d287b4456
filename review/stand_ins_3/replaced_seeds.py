"""Replace the three seed machines shortly before a host starts cold."""

import asyncio
import signal
import time

from deployment import (
    BOLE,
    CLIENTS,
    SEEDS,
    ZONES,
    find_route,
    start_deployment,
)
from hosts import leave
from nodes import BOUNDS_BY_NAME, send_signal, wait_ended, write_settings
from traffic import Load, judge_cold_host, send_load
from world import (
    add_clients,
    add_host,
    add_node,
    list_endpoints,
    run_case,
    run_node,
    wait_ready,
)

SERVICE = 'survey'
SLOTS = 16
FLOWS_PER_SECOND = 400
COLD_PER_SECOND = 5
COLD_SECONDS = 2
AWAY_SECONDS = 0.6
READY_SECONDS = 2
WORK_SCALE = 0.1


async def play(world):
    """Replace the seeds, then the only host of the service."""
    world.work_scale = WORK_SCALE
    old = add_host(world, SERVICE, BOLE, SLOTS)
    if not await start_deployment(
        world, SERVICE, COLD_SECONDS, COLD_PER_SECOND
    ):
        return False
    clients = add_clients(world, ZONES, CLIENTS)
    load = Load(find_route(world), FLOWS_PER_SECOND)
    world.run(send_load(world, clients, load))
    await asyncio.sleep(2)
    if world.has_trouble and not await _replace_seeds(world):
        return False
    leave(old)
    await asyncio.sleep(AWAY_SECONDS)
    await _watch_cold_start(world)
    return True


async def _replace_seeds(world):
    seeds = [world.nodes[number] for number in SEEDS]
    for seed in seeds:
        send_signal(seed, signal.SIGTERM)
    for leaving in seeds:
        await wait_ended(leaving)
        world.nodes.remove(leaving)
        world.gone_nodes.append(leaving)
    # The list of seeds lags.
    stale = list(world.seeds)
    for replaced in seeds:
        added = add_node(world, replaced.zone)
        added.seeds = stale
        await run_node(added)
    world.run(_correct_seeds(world))
    return await wait_ready(world, READY_SECONDS)


async def _correct_seeds(world):
    await asyncio.sleep(BOUNDS_BY_NAME['seed_lag_s'])
    world.seeds = list_endpoints(world.nodes[: len(SEEDS)])
    for node in world.nodes:
        node.seeds = None
        write_settings(node)
        send_signal(node, signal.SIGHUP)


async def _watch_cold_start(world):
    began_at = time.monotonic()
    host = add_host(world, SERVICE, BOLE, SLOTS)
    host.warm_at = began_at + COLD_SECONDS
    world.record.note(f'{host.name} starts cold')
    await asyncio.sleep(COLD_SECONDS)
    judge_cold_host(world, host.name, began_at, host.warm_at, COLD_PER_SECOND)


run_case(play, 'FAILBACK')
