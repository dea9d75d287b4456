"""Make planned and unplanned changes to a running stage."""

import asyncio
import time
from typing import Final

import msgspec

from bench.deployment import (
    Deployment,
    add_instance,
    publish,
    tell_fabric,
    wait_in_force,
    wait_until_home,
    write_instances,
)
from bench.processes import end_process, kill_process
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


async def publish_and_time(deployment: Deployment) -> float:
    """Publish and return the seconds until it is in force everywhere."""
    started = time.monotonic()
    await wait_in_force(deployment, await publish(deployment))
    return time.monotonic() - started


def change_upstream(
    deployment: Deployment,
    service: str,
    name: str,
    *,
    draining: bool,
) -> None:
    """Mark an upstream in its service file; publish it to take effect."""
    spec = deployment.specs[service]
    upstreams = tuple(
        msgspec.structs.replace(upstream, draining=draining)
        if upstream.name == name
        else upstream
        for upstream in spec.upstreams
    )
    deployment.specs[service] = msgspec.structs.replace(
        spec, upstreams=upstreams
    )


async def join_instance(deployment: Deployment, domain: str) -> str:
    """Start an instance and return its name once all serve."""
    name = await add_instance(deployment, domain)
    await write_instances(deployment)
    await wait_until_home(deployment, name)
    return name


async def stop_instance(deployment: Deployment, name: str) -> float:
    """Stop an instance gracefully and return how long that took.

    The platform's list and the fabric lag behind.
    """
    started = time.monotonic()
    stopping = asyncio.create_task(end_process(deployment.processes, name))
    await asyncio.sleep(FABRIC_LAG_SECONDS)
    await _delist(deployment, name)
    await stopping
    return time.monotonic() - started


async def kill_instance(deployment: Deployment, name: str) -> None:
    """End an instance at once; the list and the fabric lag behind."""
    await kill_process(deployment.processes, name)
    await asyncio.sleep(FABRIC_LAG_SECONDS)
    await _delist(deployment, name)


def replace_upstreams(
    deployment: Deployment,
    service: str,
    upstreams: tuple[UpstreamSpec, ...],
) -> None:
    """Change the upstreams of a service file; publish it to take effect."""
    deployment.specs[service] = msgspec.structs.replace(
        deployment.specs[service], upstreams=upstreams
    )


async def roll_instances(deployment: Deployment) -> None:
    """Replace every instance by a new one of its domain, one by one."""
    stops = []
    for listed in tuple(deployment.listed_by_name.values()):
        await join_instance(deployment, listed.domain)
        stops.append(
            asyncio.create_task(stop_instance(deployment, listed.name))
        )
        await asyncio.sleep(ROLL_PAUSE_SECONDS)
    await asyncio.gather(*stops)


async def _delist(deployment: Deployment, name: str) -> None:
    deployment.listed_by_name.pop(name)
    tell_fabric(deployment, tuple(deployment.listed_by_name))
    await write_instances(deployment)
