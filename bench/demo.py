"""Show the main job: flows survive a drain and a stop under load."""

import asyncio
import sys
import time
from typing import Final

import msgspec

from bench.callers import FlowPlan
from bench.changes import change_upstream, publish_and_time, stop_instance
from bench.deployment import Deployment, ask_statuses, end_upstreams, open_stage
from bench.load import (
    Background,
    count_late,
    finish_background,
    measure_imbalance,
    start_background,
)

__all__ = ('DemoReport', 'run_demo')

DEPLOYMENT: Final = 'consortium'
INSTANCES: Final = 8
LONG_FLOWS: Final = 1200
LONG_REQUESTS: Final = 14
LONG_PAUSE_SECONDS: Final = 1.0
DRAINED: Final = 'catalog-3'
SHORT_FLOWS_A_SECOND: Final = 100
SETTLE_SECONDS: Final = 1.0


class DemoReport(msgspec.Struct, frozen=True):
    """Report the demonstration.

    `moved` counts flows that were handed to another home; times are seconds.
    `late_flows` went to the drained upstream after the change was in force.
    """

    flows: int
    broken: int
    misdelivered: int
    moved: int
    imbalance: float
    seconds_in_force: float
    seconds_to_stop: float
    late_flows: int
    faults: dict[str, int]

    def is_good(self) -> bool:
        """Tell whether nothing broke."""
        return not self.broken and not self.misdelivered


async def run_demo(seed: int) -> DemoReport:
    """Run one deployment through a drain and a stop, telling of each step."""
    _tell(f'starting 3 domains, {INSTANCES} instances, 10 upstreams')
    async with open_stage(DEPLOYMENT, INSTANCES, seed) as deployment:
        return await _show(deployment)


async def _show(deployment: Deployment) -> DemoReport:
    background = Background(deployment.callers)
    open_now = await start_background(
        background,
        _long_plans(deployment),
        FlowPlan(deployment.endpoint('catalog'), 1, 0),
        SHORT_FLOWS_A_SECOND,
    )
    imbalance = measure_imbalance(deployment.specs, open_now)
    _tell(f'{len(open_now)} flows open, imbalance {imbalance:.3f}')
    in_force = await _drain(deployment)
    drained_at = time.monotonic()
    stop_seconds = await _stop(deployment)
    faults = await finish_background(background)
    statuses = await ask_statuses(deployment)
    counts = await end_upstreams(deployment)
    return DemoReport(
        flows=len(deployment.callers.flows),
        broken=faults.total(),
        misdelivered=sum(count.misdelivered for count in counts.values()),
        moved=sum(status.flows_taken for status in statuses.values()),
        imbalance=imbalance,
        seconds_in_force=in_force,
        seconds_to_stop=stop_seconds,
        late_flows=count_late(deployment.callers, DRAINED, drained_at),
        faults=dict(faults),
    )


async def _drain(deployment: Deployment) -> float:
    change_upstream(deployment, 'catalog', DRAINED, draining=True)
    seconds = await publish_and_time(deployment)
    _tell(f'{DRAINED} drains: in force everywhere after {seconds:.2f} s')
    await asyncio.sleep(SETTLE_SECONDS)
    return seconds


async def _stop(deployment: Deployment) -> float:
    name = next(iter(deployment.listed_by_name))
    seconds = await stop_instance(deployment, name)
    _tell(f'instance {name} stopped gracefully in {seconds:.2f} s')
    await asyncio.sleep(SETTLE_SECONDS)
    return seconds


def _long_plans(deployment: Deployment) -> list[FlowPlan]:
    pattern = [
        FlowPlan(
            deployment.endpoint(service), LONG_REQUESTS, LONG_PAUSE_SECONDS
        )
        for service in ('catalog', 'catalog', 'catalog', 'survey')
    ]
    return pattern * (LONG_FLOWS // len(pattern))


def _tell(text: str) -> None:
    sys.stderr.write(f'{text}\n')
