"""Measure the effect of the crash of one instance."""

import asyncio
import itertools
import time
from collections.abc import Iterator
from typing import Final

import msgspec

from bench.callers import FlowPlan
from bench.changes import kill_instance
from bench.deployment import (
    Deployment,
    fetch_statuses,
    open_deployment,
    stop_upstreams,
)
from bench.load import (
    BackgroundLoad,
    finish_background_load,
    start_background_load,
)

__all__ = ('CrashReport', 'run_crash')

EXAMPLE: Final = 'consortium'
SERVICE: Final = 'catalog'
INSTANCES: Final = 8
LONG_FLOWS: Final = 2400
REQUESTS_PER_LONG_FLOW: Final = 9
LONG_PAUSE_SECONDS: Final = 1.0
SHORT_FLOWS_PER_SECOND: Final = 200
SETTLE_SECONDS: Final = 1.0
RECOVERY_SECONDS: Final = 4.0


class CrashReport(msgspec.Struct, frozen=True):
    """Report the effect of the crash of one instance.

    `broken_hash` is the number of flows that would have broken if owners kept
    no replicas: the overrides of the crashed owner, since hashing alone would
    not find their upstreams again.  `seconds_to_recover` is the time from the
    crash to the sending of the last packet that got no response.
    """

    flows: int
    broken: int
    broken_hash: int
    misdelivered: int
    seconds_to_recover: float
    faults: dict[str, int]


async def run_crash(seed: int) -> CrashReport:
    """Kill one instance while flows are open."""
    async with open_deployment(EXAMPLE, INSTANCES, seed) as deployment:
        return await _measure(deployment)


async def _measure(deployment: Deployment) -> CrashReport:
    background = BackgroundLoad(deployment.callers)
    open_flows = await start_background_load(
        background,
        tuple(_generate_long_plans(deployment)),
        FlowPlan(deployment.endpoint(SERVICE), 1, 0),
        SHORT_FLOWS_PER_SECOND,
    )
    await asyncio.sleep(SETTLE_SECONDS)
    killed_name = list(deployment.listed_by_name)[
        choose_killed_index(deployment)
    ]
    override_count = (await fetch_statuses(deployment))[
        killed_name
    ].departing_flows
    killed_at = time.monotonic()
    await kill_instance(deployment, killed_name)
    await asyncio.sleep(RECOVERY_SECONDS)
    faults = await finish_background_load(background)
    counts = await stop_upstreams(deployment)
    seconds_after_crash = [
        sent_at - killed_at for sent_at in deployment.callers.unanswered_at
    ]
    return CrashReport(
        flows=len(open_flows),
        broken=faults.total(),
        broken_hash=override_count,
        misdelivered=sum(count.misdelivered for count in counts.values()),
        seconds_to_recover=max(seconds_after_crash, default=0),
        faults=dict(faults),
    )


def _generate_long_plans(deployment: Deployment) -> Iterator[FlowPlan]:
    plan = FlowPlan(
        deployment.endpoint(SERVICE), REQUESTS_PER_LONG_FLOW, LONG_PAUSE_SECONDS
    )
    yield from itertools.repeat(plan, LONG_FLOWS)


def choose_killed_index(deployment: Deployment) -> int:
    """Return the index of the instance to kill, derived from the octet.

    The octet follows from the seed unless another measurement uses it.
    """
    return deployment.octet % len(deployment.listed_by_name)
