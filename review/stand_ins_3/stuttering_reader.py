"""Freeze the instance that reads the store twice while a host drains."""

import asyncio
import signal
import time

from deployment import (
    CLIENTS,
    ZONES,
    add_hosts,
    find_route,
    start_deployment,
)
from hosts import register
from nodes import BOUNDS_BY_NAME, send_signal
from traffic import Load, send_load
from world import add_clients, add_host, run_case

SERVICE = 'catalog'
HOST_ZONES = (*ZONES, *ZONES, *ZONES)
SLOTS = 8
COLD_SECONDS = 2
FLOWS_PER_SECOND = 100
ROUNDS = 8
CALM_SECONDS = 3
# From the first new host to the freeze, from there to the second one, and from
# there to the notice of the old host.
LEAD_SECONDS = 0.4
STEP_SECONDS = 0.05
FIRST_FREEZE_SECONDS = 1.1
AWAKE_SECONDS = 0.15
SECOND_FREEZE_SECONDS = 4
WATCHED_SECONDS = 6
MILLISECONDS = 1000


async def play(world):
    """Replace hosts, eight times with a reader that freezes twice."""
    hosts = add_hosts(world, SERVICE, HOST_ZONES, SLOTS)
    if not await start_deployment(world, SERVICE, COLD_SECONDS, 0):
        return False
    clients = add_clients(world, ZONES, CLIENTS)
    load = Load(find_route(world), FLOWS_PER_SECOND)
    world.run(send_load(world, clients, load))
    for old in hosts[:ROUNDS]:
        await asyncio.sleep(CALM_SECONDS)
        await _release(old)
    return True


async def _release(old):
    """Start two new hosts, and let an old one drain."""
    world = old.world
    await _add_host_like(old, LEAD_SECONDS)
    reader = world.store.last_reader
    if world.has_trouble:
        world.run(_freeze_twice(world, reader))
    await asyncio.sleep(STEP_SECONDS)
    await _add_host_like(old, STEP_SECONDS)
    old.state = 'draining'
    register(old)
    await _watch(old, reader)


async def _add_host_like(old, pause_seconds):
    _, zone, _ = old.place
    add_host(old.world, SERVICE, zone, SLOTS)
    await asyncio.sleep(pause_seconds)


async def _watch(old, reader):
    drained_at = time.monotonic()
    old.world.record.note(f'{old.name} drains')
    await asyncio.sleep(WATCHED_SECONDS)
    _judge(old, drained_at, reader)


def _judge(old, drained_at, reader):
    """Judge by DRAIN the flows that undisturbed instances sent on."""
    world = old.world
    last_at = max(
        at
        for at, host, node in world.arrivals
        if host == old.name and node != reader
    )
    seconds = round(last_at - drained_at, 2)
    text = f'the last flow reaches {old.name} {seconds} s after its notice'
    world.record.note(text)
    if seconds * MILLISECONDS > BOUNDS_BY_NAME['drain_ms']:
        world.record.fail('DRAIN', text)


async def _freeze_twice(world, name):
    node_by_name = {node.name: node for node in world.nodes}
    reader = node_by_name[name]
    send_signal(reader, signal.SIGSTOP)
    await asyncio.sleep(FIRST_FREEZE_SECONDS)
    send_signal(reader, signal.SIGCONT)
    await asyncio.sleep(AWAKE_SECONDS)
    send_signal(reader, signal.SIGSTOP)
    await asyncio.sleep(SECOND_FREEZE_SECONDS)
    send_signal(reader, signal.SIGCONT)


run_case(play, 'DRAIN')
