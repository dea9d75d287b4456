"""Measure planned changes, one after another, under load."""

import asyncio
import itertools
import time
from collections.abc import Iterator
from typing import Final

import msgspec

from bench.callers import FlowPlan
from bench.changes import (
    change_upstream,
    join_instance,
    publish_and_time,
    replace_upstreams,
    roll_instances,
    stop_instance,
)
from bench.deployment import Deployment, end_upstreams, open_stage
from bench.load import (
    Background,
    count_refused,
    finish_background,
    last_opened,
    start_background,
)
from marlbend.config import UpstreamSpec

__all__ = ('PlannedReport', 'run_planned')

DEPLOYMENT: Final = 'consortium'
SERVICE: Final = 'catalog'
DRAINED: Final = 'catalog-2'
INSTANCES: Final = 8
LONG_FLOWS: Final = 2000
LONG_REQUESTS: Final = 24
LONG_PAUSE_SECONDS: Final = 1.5
SHORT_FLOWS_A_SECOND: Final = 500
PAUSE_SECONDS: Final = 0.5
DRAIN_SECONDS: Final = 3.0


class PlannedReport(msgspec.Struct, frozen=True):
    """Report planned changes.

    `seconds_to_no_new_work` is the time from the acceptance of a drain to the
    last new flow of the drained upstream.
    """

    flows: int
    broken: int
    refused: int
    misdelivered: int
    seconds_to_no_new_work: float
    seconds_in_force: float
    faults: dict[str, int]


async def run_planned(seed: int) -> PlannedReport:
    """Make every kind of planned change while flows are open."""
    async with open_stage(DEPLOYMENT, INSTANCES, seed) as deployment:
        return await _measure(deployment)


async def _measure(deployment: Deployment) -> PlannedReport:
    every = deployment.specs[SERVICE].upstreams
    replace_upstreams(deployment, SERVICE, every[:-1])
    await publish_and_time(deployment)
    background = Background(deployment.callers)
    await start_background(
        background,
        tuple(_long_plans(deployment)),
        FlowPlan(deployment.endpoint(SERVICE), 1, 0),
        SHORT_FLOWS_A_SECOND,
    )
    drain = await _drain(deployment, every)
    await _change_instances(deployment)
    faults = await finish_background(background)
    counts = await end_upstreams(deployment)
    return PlannedReport(
        flows=len(deployment.callers.flows),
        broken=faults.total(),
        refused=count_refused(deployment.callers),
        misdelivered=sum(count.misdelivered for count in counts.values()),
        seconds_to_no_new_work=drain.no_new_work,
        seconds_in_force=drain.in_force,
        faults=dict(faults),
    )


def _long_plans(deployment: Deployment) -> Iterator[FlowPlan]:
    plan = FlowPlan(
        deployment.endpoint(SERVICE), LONG_REQUESTS, LONG_PAUSE_SECONDS
    )
    yield from itertools.repeat(plan, LONG_FLOWS)


class _Drain(msgspec.Struct, frozen=True):
    """Give the seconds a drain took to be in force and to take effect."""

    in_force: float
    no_new_work: float


async def _drain(
    deployment: Deployment,
    every: tuple[UpstreamSpec, ...],
) -> _Drain:
    """Drain one upstream, then add the one that was left out."""
    change_upstream(deployment, SERVICE, DRAINED, draining=True)
    started = time.monotonic()
    in_force = await publish_and_time(deployment)
    await asyncio.sleep(DRAIN_SECONDS)
    last = last_opened(deployment.callers, DRAINED)
    added = msgspec.structs.replace(every[-1], draining=False)
    replace_upstreams(
        deployment, SERVICE, (*deployment.specs[SERVICE].upstreams, added)
    )
    await publish_and_time(deployment)
    await asyncio.sleep(PAUSE_SECONDS)
    return _Drain(in_force, max(0, last - started))


async def _change_instances(deployment: Deployment) -> None:
    first = next(iter(deployment.listed_by_name))
    await join_instance(deployment, deployment.listed_by_name[first].domain)
    await asyncio.sleep(PAUSE_SECONDS)
    await stop_instance(deployment, first)
    await asyncio.sleep(PAUSE_SECONDS)
    await roll_instances(deployment)
