"""Wire a run: store, upstreams, routers, callers, instances and the judge.

This is the composition root of the soak.
"""

import asyncio
import pathlib
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from random import Random

from aiohttp import web

from bench.endpoints.upstreams import FABRIC_PORT, UpstreamHost
from bench.platform import STORE_KEY, make_application
from bench.store import Store
from marlbend.clock import steady_seconds
from marlbend.sockets import open_socket, start_reading_senders
from soak.fleet import STORE_PORT, Fleet, end_fleet, join_instance, take_network
from soak.judge import Judge, make_witness
from soak.links import Links, Peace
from soak.schedule import Schedule
from soak.traffic import join_caller, reach_host
from soak.world import (
    DOMAINS,
    HOSTS_BY_SERVICE,
    NAME,
    World,
    publish,
    write_entry,
)

__all__ = ('add_host', 'open_world')


@asynccontextmanager
async def open_world(
    schedule: Schedule, folder: pathlib.Path
) -> AsyncIterator[World]:
    """Run everything but callers and faults."""
    base, held = take_network()
    application = make_application()
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, f'{base}.6.1', STORE_PORT).start()
    world = _make_world(application[STORE_KEY], base, schedule.seed, folder)
    async with AsyncExitStack() as stack:
        stack.callback(held.close)
        stack.push_async_callback(runner.cleanup)
        stack.push_async_callback(end_fleet, world.fleet)
        await _fill_world(world, schedule)
        yield world


def _make_world(
    store: Store, base: str, seed: int, folder: pathlib.Path
) -> World:
    random = Random(seed)
    fleet = Fleet(base, folder, Judge(Peace()), Links(random))
    return World(store, fleet, random)


async def _fill_world(world: World, schedule: Schedule) -> None:
    for service, count in HOSTS_BY_SERVICE:
        for number in range(count):
            await add_host(world, service, DOMAINS[number % len(DOMAINS)])
    await publish(world)
    base = world.fleet.base
    for number, domain in enumerate(DOMAINS, 1):
        join_caller(world, f'{base}.5.{number}', domain)
    for position in range(schedule.instances):
        near = DOMAINS[position % len(DOMAINS)]
        await join_instance(world.fleet, position + 1, near)


async def add_host(
    world: World,
    service: str,
    domain: str,
    cold_seconds: float = 0,
    reused: UpstreamHost | None = None,
) -> UpstreamHost:
    """Start and register an upstream, perhaps at the address of another."""
    world.hosts_made += 1
    number = world.hosts_made
    name = NAME.format(number)
    if reused is None:
        base = world.fleet.base
        end = open_socket(f'{base}.4.{number}', FABRIC_PORT)
    else:
        end = reused.udp_socket
        asyncio.get_running_loop().remove_reader(end)
    host = UpstreamHost(make_witness(world.judge), name, service, domain, end)
    world.host_by_name[name] = host
    start_reading_senders(end, partial(reach_host, world, host), lambda: None)
    host.cold_until = steady_seconds() + cold_seconds if cold_seconds else 0
    await write_entry(world, host)
    return host
