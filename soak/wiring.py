"""Wire a run: store, upstreams, routers, callers, instances and the checker.

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
from marlbend.sockets import open_socket, start_reading_with_sender
from soak.checker import Checker, make_callbacks
from soak.fleet import (
    STORE_PORT,
    Fleet,
    add_instance,
    claim_network,
    stop_fleet,
)
from soak.links import DisturbanceTracker, Links
from soak.run_state import (
    DOMAINS,
    HOST_COUNTS,
    UPSTREAM_NAME_FORMAT,
    Run,
    publish_next_release,
    register_host,
)
from soak.schedule import Schedule
from soak.traffic import add_caller, deliver_to_host

__all__ = ('add_host', 'open_run')


@asynccontextmanager
async def open_run(
    schedule: Schedule, folder: pathlib.Path
) -> AsyncIterator[Run]:
    """Run everything except load and faults."""
    prefix, claim = claim_network()
    application = make_application()
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, f'{prefix}.6.1', STORE_PORT).start()
    run = _make_run(application[STORE_KEY], prefix, schedule.seed, folder)
    async with AsyncExitStack() as stack:
        stack.callback(claim.close)
        stack.push_async_callback(runner.cleanup)
        stack.push_async_callback(stop_fleet, run.fleet)
        await _populate_run(run, schedule)
        yield run


def _make_run(
    store: Store, prefix: str, seed: int, folder: pathlib.Path
) -> Run:
    random = Random(seed)
    fleet = Fleet(prefix, folder, Checker(DisturbanceTracker()), Links(random))
    return Run(store, fleet, random)


async def _populate_run(run: Run, schedule: Schedule) -> None:
    for service, count in HOST_COUNTS:
        for number in range(count):
            await add_host(run, service, DOMAINS[number % len(DOMAINS)])
    await publish_next_release(run)
    prefix = run.fleet.prefix
    for number, domain in enumerate(DOMAINS, 1):
        add_caller(run, f'{prefix}.5.{number}', domain)
    for position in range(schedule.instances):
        local_domain = DOMAINS[position % len(DOMAINS)]
        await add_instance(run.fleet, position + 1, local_domain)


async def add_host(
    run: Run,
    service: str,
    domain: str,
    cold_seconds: float = 0,
    replaced: UpstreamHost | None = None,
) -> UpstreamHost:
    """Start and register an upstream, perhaps at the address of another."""
    run.hosts_created += 1
    number = run.hosts_created
    name = UPSTREAM_NAME_FORMAT.format(number)
    if replaced is None:
        prefix = run.fleet.prefix
        host_socket = open_socket(f'{prefix}.4.{number}', FABRIC_PORT)
    else:
        host_socket = replaced.udp_socket
        asyncio.get_running_loop().remove_reader(host_socket)
    host = UpstreamHost(
        make_callbacks(run.checker), name, service, domain, host_socket
    )
    run.host_by_name[name] = host
    start_reading_with_sender(
        host_socket, partial(deliver_to_host, run, host), lambda: None
    )
    host.cold_until = steady_seconds() + cold_seconds if cold_seconds else 0
    await register_host(run, host)
    return host
