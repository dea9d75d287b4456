"""Measure the steady state: broken flows, imbalance, misdelivery."""

import asyncio
from collections.abc import Collection, Iterator
from typing import Final

import msgspec

from bench.callers import FlowPlan
from bench.load import (
    count_broken,
    hash_imbalance,
    measure_imbalance,
    start_flows,
    wait_for_open,
)
from bench.stage import Stage, ask_statuses, end_upstreams, open_stage
from marlbend.wire.messages import Status

__all__ = ('SteadyReport', 'run_steady')

INSTANCES: Final = 8
CATALOG_FLOWS: Final = 2100
SURVEY_FLOWS: Final = 660
OPENED_A_SECOND: Final = 500
REQUESTS: Final = 8
PAUSE_SECONDS: Final = 1.5


class SteadyReport(msgspec.Struct, frozen=True):
    """Report the steady state.

    `flows` were open together; `imbalance` is the largest over the mean of
    open flows per unit of capacity, `imbalance_hash` the same for plain
    hashing of the same flows; `relay_share` is the mean over the instances.
    """

    flows: int
    broken: int
    imbalance: float
    imbalance_hash: float
    misdelivered: int
    relay_share: float
    faults: dict[str, int]


async def run_steady(seed: int) -> SteadyReport:
    """Hold flows open over all instances and look at them."""
    async with open_stage('consortium', INSTANCES, seed) as stage:
        return await _measure(stage)


async def _measure(stage: Stage) -> SteadyReport:
    callers = stage.callers
    tasks = await start_flows(callers, _plans(stage), OPENED_A_SECOND)
    open_now = await wait_for_open(callers, CATALOG_FLOWS + SURVEY_FLOWS)
    await asyncio.gather(*tasks)
    statuses = await ask_statuses(stage)
    counts = await end_upstreams(stage)
    faults = count_broken(callers)
    return SteadyReport(
        flows=len(open_now),
        broken=faults.total(),
        imbalance=measure_imbalance(stage.specs, open_now),
        imbalance_hash=hash_imbalance(stage.specs, open_now),
        misdelivered=sum(count.misdelivered for count in counts.values()),
        relay_share=_mean_relay_share(statuses.values()),
        faults=dict(faults),
    )


def _mean_relay_share(statuses: Collection[Status]) -> float:
    return sum(status.relay_share for status in statuses) / len(statuses)


def _plans(stage: Stage) -> Iterator[FlowPlan]:
    survey = FlowPlan(stage.endpoint('survey'), REQUESTS, PAUSE_SECONDS)
    catalog = FlowPlan(stage.endpoint('catalog'), REQUESTS, PAUSE_SECONDS)
    for number in range(CATALOG_FLOWS):
        yield catalog
        if number < SURVEY_FLOWS:
            yield survey
