"""Measure broken flows, imbalance and misdelivery in the steady state."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Collection, Iterator
from typing import Final

import msgspec

from bench.callers import FlowPlan
from bench.deployment import (
    Deployment,
    fetch_statuses,
    open_deployment,
    stop_upstreams,
)
from bench.load import (
    count_broken,
    measure_hash_imbalance,
    measure_imbalance,
    start_flows,
    wait_for_open_flows,
)
from marlbend.ownership.wire.messages import Status

__all__ = ('SteadyReport', 'run_steady')

INSTANCES: Final = 8
CATALOG_FLOWS: Final = 2100
SURVEY_FLOWS: Final = 660
FLOWS_PER_SECOND: Final = 500
REQUESTS_PER_FLOW: Final = 8
PAUSE_AFTER_REQUEST_SECONDS: Final = 1.5
FEW_FLOWS: Final = 28
FEW_FLOWS_PER_SECOND: Final = 10
FEW_FLOWS_REQUESTS: Final = 4
FEW_FLOWS_PAUSE_AFTER_REQUEST_SECONDS: Final = 1.0


class SteadyReport(msgspec.Struct, frozen=True):
    """Report the steady state.

    `flows` is the number of flows open at once.  `imbalance` is the highest
    ratio of open flows to capacity of any upstream, relative to the mean ratio,
    and `imbalance_hash` the same if plain hashing had placed the same flows.
    `few_spread` is the difference between the most and the fewest flows of an
    upstream when few flows are open.  `relay_share` is the mean over the
    instances.
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
    """Keep flows open at all instances and measure them."""
    async with open_deployment('consortium', INSTANCES, seed) as deployment:
        return await _measure(deployment)


async def _measure(deployment: Deployment) -> SteadyReport:
    callers = deployment.callers
    few_spread = await _measure_few_flows(deployment)
    tasks = await start_flows(
        callers, _generate_plans(deployment), FLOWS_PER_SECOND
    )
    open_flows = await wait_for_open_flows(
        callers, CATALOG_FLOWS + SURVEY_FLOWS
    )
    await asyncio.gather(*tasks)
    statuses = await fetch_statuses(deployment)
    counts = await stop_upstreams(deployment)
    faults = count_broken(callers)
    return SteadyReport(
        flows=len(open_flows),
        broken=faults.total(),
        imbalance=measure_imbalance(deployment.spec_by_service, open_flows),
        imbalance_hash=measure_hash_imbalance(
            deployment.spec_by_service, open_flows
        ),
        misdelivered=sum(count.misdelivered for count in counts.values()),
        few_spread=few_spread,
        relay_share=_mean_relay_share(statuses.values()),
        faults=dict(faults),
    )


async def _measure_few_flows(deployment: Deployment) -> int:
    """Return how unevenly few long flows spread over equal upstreams.

    This is the difference between the most and the fewest flows of an upstream.
    """
    plan = FlowPlan(
        deployment.endpoint('catalog'),
        FEW_FLOWS_REQUESTS,
        FEW_FLOWS_PAUSE_AFTER_REQUEST_SECONDS,
    )
    plans = itertools.repeat(plan, FEW_FLOWS)
    tasks = await start_flows(deployment.callers, plans, FEW_FLOWS_PER_SECOND)
    open_flows = await wait_for_open_flows(deployment.callers, FEW_FLOWS)
    counts = Counter(flow.upstream for flow in open_flows)
    names = [
        each.name for each in deployment.spec_by_service['catalog'].upstreams
    ]
    await asyncio.gather(*tasks)
    return max(counts.values()) - min(counts[name] for name in names)


def _mean_relay_share(statuses: Collection[Status]) -> float:
    return sum(status.relay_share for status in statuses) / len(statuses)


def _generate_plans(deployment: Deployment) -> Iterator[FlowPlan]:
    survey = FlowPlan(
        deployment.endpoint('survey'),
        REQUESTS_PER_FLOW,
        PAUSE_AFTER_REQUEST_SECONDS,
    )
    catalog = FlowPlan(
        deployment.endpoint('catalog'),
        REQUESTS_PER_FLOW,
        PAUSE_AFTER_REQUEST_SECONDS,
    )
    for number in range(CATALOG_FLOWS):
        yield catalog
        if number < SURVEY_FLOWS:
            yield survey
