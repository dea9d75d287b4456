"""Measure planned changes in sequence under load."""

import asyncio
import itertools
import time
from collections.abc import Iterator
from typing import Final

import msgspec

from bench.callers import FlowPlan
from bench.changes import (
    join_instance,
    publish_and_time,
    replace_upstreams,
    roll_instances,
    set_draining,
    stop_instance,
)
from bench.deployment import Deployment, open_deployment, stop_upstreams
from bench.load import (
    BackgroundLoad,
    count_unopened,
    finish_background_load,
    last_opened_at,
    start_background_load,
)
from marlbend.config import UpstreamSpec

__all__ = ('PlannedReport', 'run_planned')

EXAMPLE: Final = 'consortium'
SERVICE: Final = 'catalog'
DRAINED_UPSTREAM: Final = 'catalog-2'
INSTANCES: Final = 8
LONG_FLOWS: Final = 2000
REQUESTS_PER_LONG_FLOW: Final = 24
LONG_PAUSE_SECONDS: Final = 1.5
SHORT_FLOWS_PER_SECOND: Final = 500
PAUSE_AFTER_CHANGE_SECONDS: Final = 0.5
DRAIN_SECONDS: Final = 3.0


class PlannedReport(msgspec.Struct, frozen=True):
    """Report the effect of planned changes.

    `broken` counts the broken flows, as `bench.callers` defines them, and
    `refused` those of them that failed to open.  `seconds_to_no_new_work` is
    the time from the publication of a drain to the last new flow of the drained
    upstream, and `seconds_in_force` the time until every instance has applied
    the drain.
    """

    flows: int
    broken: int
    refused: int
    misdelivered: int
    seconds_to_no_new_work: float
    seconds_in_force: float
    faults: dict[str, int]


async def run_planned(seed: int) -> PlannedReport:
    """Make each kind of planned change while flows are open."""
    async with open_deployment(EXAMPLE, INSTANCES, seed) as deployment:
        return await _measure(deployment)


async def _measure(deployment: Deployment) -> PlannedReport:
    all_upstreams = deployment.spec_by_service[SERVICE].upstreams
    replace_upstreams(deployment, SERVICE, all_upstreams[:-1])
    await publish_and_time(deployment)
    background = BackgroundLoad(deployment.callers)
    await start_background_load(
        background,
        tuple(_generate_long_plans(deployment)),
        FlowPlan(deployment.endpoint(SERVICE), 1, 0),
        SHORT_FLOWS_PER_SECOND,
    )
    drain_times = await _drain(deployment, all_upstreams)
    await _change_instances(deployment)
    faults = await finish_background_load(background)
    counts = await stop_upstreams(deployment)
    return PlannedReport(
        flows=len(deployment.callers.flows),
        broken=faults.total(),
        refused=count_unopened(deployment.callers),
        misdelivered=sum(count.misdelivered for count in counts.values()),
        seconds_to_no_new_work=drain_times.seconds_to_last_flow,
        seconds_in_force=drain_times.seconds_to_apply,
        faults=dict(faults),
    )


def _generate_long_plans(deployment: Deployment) -> Iterator[FlowPlan]:
    plan = FlowPlan(
        deployment.endpoint(SERVICE), REQUESTS_PER_LONG_FLOW, LONG_PAUSE_SECONDS
    )
    yield from itertools.repeat(plan, LONG_FLOWS)


class _DrainTimes(msgspec.Struct, frozen=True):
    """Hold the seconds until a drain was applied and until it took effect."""

    seconds_to_apply: float
    seconds_to_last_flow: float


async def _drain(
    deployment: Deployment,
    all_upstreams: tuple[UpstreamSpec, ...],
) -> _DrainTimes:
    """Drain an upstream, then add the one that was left out at the start."""
    set_draining(deployment, SERVICE, DRAINED_UPSTREAM, draining=True)
    drained_at = time.monotonic()
    seconds_to_apply = await publish_and_time(deployment)
    await asyncio.sleep(DRAIN_SECONDS)
    last_flow_at = last_opened_at(deployment.callers, DRAINED_UPSTREAM)
    added_upstream = msgspec.structs.replace(all_upstreams[-1], draining=False)
    replace_upstreams(
        deployment,
        SERVICE,
        (*deployment.spec_by_service[SERVICE].upstreams, added_upstream),
    )
    await publish_and_time(deployment)
    await asyncio.sleep(PAUSE_AFTER_CHANGE_SECONDS)
    return _DrainTimes(seconds_to_apply, max(0, last_flow_at - drained_at))


async def _change_instances(deployment: Deployment) -> None:
    first_name = next(iter(deployment.listed_by_name))
    await join_instance(
        deployment, deployment.listed_by_name[first_name].domain
    )
    await asyncio.sleep(PAUSE_AFTER_CHANGE_SECONDS)
    await stop_instance(deployment, first_name)
    await asyncio.sleep(PAUSE_AFTER_CHANGE_SECONDS)
    await roll_instances(deployment)
