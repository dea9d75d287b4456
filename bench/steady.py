"""Measure the steady state: broken flows, imbalance, misdelivery."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Collection, Iterator
from typing import Final

import msgspec

from bench.callers import FlowPlan
from bench.deployment import Deployment, ask_statuses, end_upstreams, open_stage
from bench.load import (
    count_broken,
    hash_imbalance,
    measure_imbalance,
    start_flows,
    wait_for_open,
)
from marlbend.homes.wire.messages import Status

__all__ = ('SteadyReport', 'run_steady')

INSTANCES: Final = 8
CATALOG_FLOWS: Final = 2100
SURVEY_FLOWS: Final = 660
OPENED_A_SECOND: Final = 500
REQUESTS: Final = 8
PAUSE_SECONDS: Final = 1.5
FEW_FLOWS: Final = 28
FEW_A_SECOND: Final = 10
FEW_REQUESTS: Final = 4
FEW_PAUSE_SECONDS: Final = 1.0


class SteadyReport(msgspec.Struct, frozen=True):
    """Report the steady state.

    `flows` were open together; `imbalance` is the largest over the mean of
    open flows per unit of capacity, `imbalance_hash` the same for plain
    hashing of the same flows; `few_spread` is the largest less the smallest
    number of flows of an upstream when few are open; `relay_share` is the mean
    over the instances.
    """

    flows: int
    broken: int
    imbalance: float
    imbalance_hash: float
    misdelivered: int
    few_spread: int
    relay_share: float
    faults: dict[str, int]


async def run_steady(seed: int) -> SteadyReport:
    """Hold flows open over all instances and look at them."""
    async with open_stage('consortium', INSTANCES, seed) as deployment:
        return await _measure(deployment)


async def _measure(deployment: Deployment) -> SteadyReport:
    callers = deployment.callers
    few_spread = await _measure_few(deployment)
    tasks = await start_flows(callers, _plans(deployment), OPENED_A_SECOND)
    open_now = await wait_for_open(callers, CATALOG_FLOWS + SURVEY_FLOWS)
    await asyncio.gather(*tasks)
    statuses = await ask_statuses(deployment)
    counts = await end_upstreams(deployment)
    faults = count_broken(callers)
    return SteadyReport(
        flows=len(open_now),
        broken=faults.total(),
        imbalance=measure_imbalance(deployment.specs, open_now),
        imbalance_hash=hash_imbalance(deployment.specs, open_now),
        misdelivered=sum(count.misdelivered for count in counts.values()),
        few_spread=few_spread,
        relay_share=_mean_relay_share(statuses.values()),
        faults=dict(faults),
    )


async def _measure_few(deployment: Deployment) -> int:
    """Open a few long flows on equal upstreams; return how far they differ."""
    plan = FlowPlan(
        deployment.endpoint('catalog'), FEW_REQUESTS, FEW_PAUSE_SECONDS
    )
    plans = itertools.repeat(plan, FEW_FLOWS)
    tasks = await start_flows(deployment.callers, plans, FEW_A_SECOND)
    open_now = await wait_for_open(deployment.callers, FEW_FLOWS)
    counts = Counter(flow.upstream for flow in open_now)
    names = [each.name for each in deployment.specs['catalog'].upstreams]
    await asyncio.gather(*tasks)
    return max(counts.values()) - min(counts[name] for name in names)


def _mean_relay_share(statuses: Collection[Status]) -> float:
    return sum(status.relay_share for status in statuses) / len(statuses)


def _plans(deployment: Deployment) -> Iterator[FlowPlan]:
    survey = FlowPlan(deployment.endpoint('survey'), REQUESTS, PAUSE_SECONDS)
    catalog = FlowPlan(deployment.endpoint('catalog'), REQUESTS, PAUSE_SECONDS)
    for number in range(CATALOG_FLOWS):
        yield catalog
        if number < SURVEY_FLOWS:
            yield survey
