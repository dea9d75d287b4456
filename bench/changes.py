"""Make planned and unplanned changes to a running stage."""

import asyncio
import time
from typing import Final

import msgspec

from bench.processes import end_process, kill_process
from bench.stage import (
    Stage,
    add_instance,
    publish,
    tell_fabric,
    wait_in_force,
    wait_until_home,
    write_instances,
)
from marlbend.config import UpstreamSpec

__all__ = (
    'change_upstream',
    'join_instance',
    'kill_instance',
    'publish_and_time',
    'replace_upstreams',
    'roll_instances',
    'stop_instance',
)

# The fabric learns of a leaving instance this long after it began to leave.
FABRIC_LAG_SECONDS: Final = 1.0
ROLL_PAUSE_SECONDS: Final = 0.2


async def publish_and_time(stage: Stage) -> float:
    """Publish and return the seconds until it is in force everywhere."""
    started = time.monotonic()
    await wait_in_force(stage, await publish(stage))
    return time.monotonic() - started


def change_upstream(
    stage: Stage,
    service: str,
    name: str,
    *,
    draining: bool,
) -> None:
    """Mark an upstream in its service file; publish it to take effect."""
    spec = stage.specs[service]
    upstreams = tuple(
        msgspec.structs.replace(upstream, draining=draining)
        if upstream.name == name
        else upstream
        for upstream in spec.upstreams
    )
    stage.specs[service] = msgspec.structs.replace(spec, upstreams=upstreams)


async def join_instance(stage: Stage, domain: str) -> str:
    """Start an instance and return its name once all serve."""
    name = await add_instance(stage, domain)
    await write_instances(stage)
    await wait_until_home(stage, name)
    return name


async def stop_instance(stage: Stage, name: str) -> float:
    """Stop an instance gracefully and return how long that took.

    The platform's list and the fabric lag behind.
    """
    started = time.monotonic()
    stopping = asyncio.create_task(end_process(stage.processes, name))
    await asyncio.sleep(FABRIC_LAG_SECONDS)
    await _delist(stage, name)
    await stopping
    return time.monotonic() - started


async def kill_instance(stage: Stage, name: str) -> None:
    """End an instance at once; the list and the fabric lag behind."""
    await kill_process(stage.processes, name)
    await asyncio.sleep(FABRIC_LAG_SECONDS)
    await _delist(stage, name)


def replace_upstreams(
    stage: Stage,
    service: str,
    upstreams: tuple[UpstreamSpec, ...],
) -> None:
    """Change the upstreams of a service file; publish it to take effect."""
    stage.specs[service] = msgspec.structs.replace(
        stage.specs[service], upstreams=upstreams
    )


async def roll_instances(stage: Stage) -> None:
    """Replace every instance by a new one of its domain, one by one."""
    stops = []
    for listed in tuple(stage.listed.values()):
        await join_instance(stage, listed.domain)
        stops.append(asyncio.create_task(stop_instance(stage, listed.name)))
        await asyncio.sleep(ROLL_PAUSE_SECONDS)
    await asyncio.gather(*stops)


async def _delist(stage: Stage, name: str) -> None:
    stage.listed.pop(name)
    tell_fabric(stage, tuple(stage.listed))
    await write_instances(stage)
