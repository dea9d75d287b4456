"""Make planned and unplanned changes to a running deployment."""

import asyncio
import time
from typing import Final

import msgspec

from bench.deployment import (
    Deployment,
    add_instance,
    add_to_fabric_when_owner,
    publish,
    set_fabric_instances,
    wait_until_applied,
    write_instance_list,
)
from bench.processes import kill_process, stop_process
from marlbend.config import UpstreamSpec

__all__ = (
    'join_instance',
    'kill_instance',
    'publish_and_time',
    'replace_upstreams',
    'roll_instances',
    'set_draining',
    'stop_instance',
)

# The delay with which the platform and the fabric learn that an instance leaves
# or has crashed.
FABRIC_LAG_SECONDS: Final = 1.0
ROLL_PAUSE_SECONDS: Final = 0.2


async def publish_and_time(deployment: Deployment) -> float:
    """Publish and return the seconds until every instance has applied it."""
    published_at = time.monotonic()
    await wait_until_applied(deployment, await publish(deployment))
    return time.monotonic() - published_at


def set_draining(
    deployment: Deployment,
    service: str,
    name: str,
    *,
    draining: bool,
) -> None:
    """Set whether an upstream drains; this takes effect with a publication."""
    spec = deployment.spec_by_service[service]
    upstreams = tuple(
        msgspec.structs.replace(upstream, draining=draining)
        if upstream.name == name
        else upstream
        for upstream in spec.upstreams
    )
    deployment.spec_by_service[service] = msgspec.structs.replace(
        spec, upstreams=upstreams
    )


async def join_instance(deployment: Deployment, domain: str) -> str:
    """Start an instance and return its name once it owns hash slots."""
    name = await add_instance(deployment, domain)
    await write_instance_list(deployment)
    await add_to_fabric_when_owner(deployment, name)
    return name


async def stop_instance(deployment: Deployment, name: str) -> float:
    """Stop an instance gracefully and return the seconds until it has ended.

    The platform's list and the fabric are updated with a delay.
    """
    stop_started_at = time.monotonic()
    stop_task = asyncio.create_task(stop_process(deployment.processes, name))
    await asyncio.sleep(FABRIC_LAG_SECONDS)
    await _remove_instance(deployment, name)
    await stop_task
    return time.monotonic() - stop_started_at


async def kill_instance(deployment: Deployment, name: str) -> None:
    """Kill an instance.

    The platform's list and the fabric are updated with a delay.
    """
    await kill_process(deployment.processes, name)
    await asyncio.sleep(FABRIC_LAG_SECONDS)
    await _remove_instance(deployment, name)


def replace_upstreams(
    deployment: Deployment,
    service: str,
    upstreams: tuple[UpstreamSpec, ...],
) -> None:
    """Replace a service's upstreams; this takes effect with a publication."""
    deployment.spec_by_service[service] = msgspec.structs.replace(
        deployment.spec_by_service[service], upstreams=upstreams
    )


async def roll_instances(deployment: Deployment) -> None:
    """Do a rolling replacement of all instances, each within its domain."""
    stop_tasks = []
    for listed in tuple(deployment.listed_by_name.values()):
        await join_instance(deployment, listed.domain)
        stop_tasks.append(
            asyncio.create_task(stop_instance(deployment, listed.name))
        )
        await asyncio.sleep(ROLL_PAUSE_SECONDS)
    await asyncio.gather(*stop_tasks)


async def _remove_instance(deployment: Deployment, name: str) -> None:
    deployment.listed_by_name.pop(name)
    set_fabric_instances(deployment, tuple(deployment.listed_by_name))
    await write_instance_list(deployment)
