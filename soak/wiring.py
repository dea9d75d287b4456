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

from bench.endpoints.upstreams import COOKIE_FABRIC_PORT, UpstreamServer
from bench.platform import STORE_KEY, make_application
from bench.store import Store
from marlbend.clock import steady_seconds
from marlbend.sockets import open_socket, start_reading_with_sender
from soak.checker import Checker, make_callbacks
from soak.fleet import (
    CALLER_NET,
    STORE_NET,
    STORE_PORT,
    UPSTREAM_NET,
    Fleet,
    add_instance,
    claim_network,
    stop_fleet,
)
from soak.links import DisturbanceTracker, Links
from soak.run_state import (
    DOMAINS,
    SERVICE_SECONDS_BY_ENDPOINT,
    UPSTREAM_COUNTS,
    UPSTREAM_NAME_FORMAT,
    Run,
    publish_next_release,
    write_registration,
)
from soak.schedule import Schedule
from soak.traffic import add_caller, deliver_to_upstream

__all__ = ('open_run', 'start_upstream')


@asynccontextmanager
async def open_run(
    schedule: Schedule, folder: pathlib.Path
) -> AsyncIterator[Run]:
    """Set up and run everything except the load and the faults."""
    prefix, claim = claim_network()
    application = make_application()
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, f'{prefix}.{STORE_NET}.1', STORE_PORT).start()
    run = _make_run(application[STORE_KEY], prefix, schedule, folder)
    async with AsyncExitStack() as stack:
        stack.callback(claim.close)
        stack.push_async_callback(runner.cleanup)
        stack.push_async_callback(stop_fleet, run.fleet)
        await _populate_run(run, schedule)
        yield run


def _make_run(
    store: Store, prefix: str, schedule: Schedule, folder: pathlib.Path
) -> Run:
    random = Random(schedule.seed)
    fleet = Fleet(prefix, folder, Checker(DisturbanceTracker()), Links(random))
    fleet.places_by_work = schedule.places_by_work
    return Run(store, fleet, random)


async def _populate_run(run: Run, schedule: Schedule) -> None:
    for service, count in UPSTREAM_COUNTS:
        for number in range(count):
            await start_upstream(run, service, DOMAINS[number % len(DOMAINS)])
    run.idle_routes = schedule.idle_routes
    await publish_next_release(run)
    prefix = run.fleet.prefix
    for number, domain in enumerate(DOMAINS, 1):
        add_caller(run, f'{prefix}.{CALLER_NET}.{number}', domain)
    for position in range(schedule.instances):
        local_domain = DOMAINS[position % len(DOMAINS)]
        await add_instance(run.fleet, position + 1, local_domain)


async def start_upstream(
    run: Run,
    service: str,
    domain: str,
    cold_seconds: float = 0,
    replaced: UpstreamServer | None = None,
) -> UpstreamServer:
    """Start and register an upstream, at the address of `replaced` if given."""
    run.upstreams_created += 1
    number = run.upstreams_created
    name = UPSTREAM_NAME_FORMAT.format(number)
    if replaced is None:
        prefix = run.fleet.prefix
        upstream_socket = open_socket(
            f'{prefix}.{UPSTREAM_NET}.{number}', COOKIE_FABRIC_PORT
        )
    else:
        upstream_socket = replaced.udp_socket
        asyncio.get_running_loop().remove_reader(upstream_socket)
    upstream = UpstreamServer(
        make_callbacks(run.checker), name, service, domain, upstream_socket
    )
    if run.fleet.places_by_work:
        upstream.service_seconds_by_endpoint = SERVICE_SECONDS_BY_ENDPOINT
    run.upstream_by_name[name] = upstream
    start_reading_with_sender(
        upstream_socket,
        partial(deliver_to_upstream, run, upstream),
        lambda: None,
    )
    upstream.cold_until = steady_seconds() + cold_seconds if cold_seconds else 0
    await write_registration(run, upstream)
    return upstream
