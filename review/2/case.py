"""A host that is gone gets new flows for too long (DRAIN).

The only host of a service is cut off from the store, so its entry is removed.
Meanwhile the process that reads the store for the others loses power.
"""

import asyncio
import pathlib
import time
from typing import Final

from fleet import find_reader, lose_power
from hosts import Host
from record import log_line, report_violation
from store import remove
from world import (
    DOMAINS,
    World,
    add_host,
    add_service,
    run_case,
    send_flows,
    start_task,
)

CATALOG_PORT: Final = 8443
SURVEY_PORT: Final = 8080
CATALOG_HOSTS: Final = 7
FLOWS_PER_SECOND: Final = 40.0
# Longer than `contact_ms`.
CALM_SECONDS: Final = 6.0
# From the removal to the loss of power, and for how long.
POWER_LOST_SECONDS: Final = 1.5
DARK_SECONDS: Final = 3.5
DRAIN_SECONDS: Final = 3.0


def prepare(world: World) -> None:
    """Add two services; one of them has a single host."""
    add_service(world, 'catalog', CATALOG_PORT)
    for number in range(CATALOG_HOSTS):
        add_host(world, 'catalog', DOMAINS[number % len(DOMAINS)])
    add_service(world, 'survey', SURVEY_PORT)
    add_host(world, 'survey', DOMAINS[0])


async def act(world: World) -> None:
    """Remove the entry, and check which flows reach the host later."""
    for port in (CATALOG_PORT, SURVEY_PORT):
        flows = send_flows(world, ('127.0.5.1', port), FLOWS_PER_SECOND)
        start_task(world, flows)
    await asyncio.sleep(CALM_SECONDS)
    if world.has_trouble:
        await _remove_entry(world, world.hosts[-1])
    else:
        await asyncio.sleep(CALM_SECONDS)


async def _remove_entry(world: World, host: Host) -> None:
    await remove(world.store, 'servers', host.name)
    removed_at = time.monotonic()
    log_line(world.record, f'the store removed the entry of {host.name}')
    await asyncio.sleep(POWER_LOST_SECONDS)
    reader = find_reader(world.fleet)
    log_line(world.record, f'{reader.name} loses power')
    await lose_power(world.fleet, reader, DARK_SECONDS)
    await asyncio.sleep(CALM_SECONDS)
    for opening in world.record.opened:
        delay = opening.at - removed_at
        is_in_touch = opening.node != reader.address
        if opening.host == host.name and is_in_touch and delay > DRAIN_SECONDS:
            line = (
                f'DRAIN: the flow of {opening.key[0]} opened at {host.name} '
                f'through {opening.node}, {delay:.2f} s after it was gone'
            )
            report_violation(world.record, line)


run_case(str(pathlib.Path(__file__).parent), prepare, act)
