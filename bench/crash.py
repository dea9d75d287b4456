"""Measure the loss of one instance."""

import asyncio
import itertools
import time
from collections.abc import Iterator
from typing import Final

import msgspec

from bench.callers import FlowPlan
from bench.changes import kill_instance
from bench.deployment import Deployment, ask_statuses, end_upstreams, open_stage
from bench.load import Background, finish_background, start_background

__all__ = ('CrashReport', 'run_crash')

DEPLOYMENT: Final = 'consortium'
SERVICE: Final = 'catalog'
INSTANCES: Final = 8
LONG_FLOWS: Final = 2400
LONG_REQUESTS: Final = 9
LONG_PAUSE_SECONDS: Final = 1.0
SHORT_FLOWS_A_SECOND: Final = 200
SETTLE_SECONDS: Final = 1.0
AFTER_SECONDS: Final = 4.0


class CrashReport(msgspec.Struct, frozen=True):
    """Report the loss of one instance.

    `broken_hash` is what a home with a table only would have lost: the flows
    of the lost home that were not where plain hashing finds them again.
    `seconds_to_recover` is the time from the loss to the last packet that got
    no answer.
    """

    flows: int
    broken: int
    broken_hash: int
    misdelivered: int
    seconds_to_recover: float
    faults: dict[str, int]


async def run_crash(seed: int) -> CrashReport:
    """Kill one instance while flows are open."""
    async with open_stage(DEPLOYMENT, INSTANCES, seed) as deployment:
        return await _measure(deployment)


async def _measure(deployment: Deployment) -> CrashReport:
    background = Background(deployment.callers)
    open_now = await start_background(
        background,
        tuple(_long_plans(deployment)),
        FlowPlan(deployment.endpoint(SERVICE), 1, 0),
        SHORT_FLOWS_A_SECOND,
    )
    await asyncio.sleep(SETTLE_SECONDS)
    victim = list(deployment.listed_by_name)[seed_position(deployment)]
    departing = (await ask_statuses(deployment))[victim].departing_flows
    killed_at = time.monotonic()
    await kill_instance(deployment, victim)
    await asyncio.sleep(AFTER_SECONDS)
    faults = await finish_background(background)
    counts = await end_upstreams(deployment)
    lost = [sent - killed_at for sent in deployment.callers.lost_at]
    return CrashReport(
        flows=len(open_now),
        broken=faults.total(),
        broken_hash=departing,
        misdelivered=sum(count.misdelivered for count in counts.values()),
        seconds_to_recover=max(lost, default=0),
        faults=dict(faults),
    )


def _long_plans(deployment: Deployment) -> Iterator[FlowPlan]:
    plan = FlowPlan(
        deployment.endpoint(SERVICE), LONG_REQUESTS, LONG_PAUSE_SECONDS
    )
    yield from itertools.repeat(plan, LONG_FLOWS)


def seed_position(deployment: Deployment) -> int:
    """Return which instance is to be lost."""
    return deployment.octet % len(deployment.listed_by_name)
