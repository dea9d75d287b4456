"""Demonstrate that flows survive a drain and a graceful stop under load."""

import asyncio
import sys
import time
from typing import Final

import msgspec

from bench.callers import FlowPlan
from bench.changes import publish_and_time, set_draining, stop_instance
from bench.deployment import (
    Deployment,
    fetch_statuses,
    open_deployment,
    stop_upstreams,
)
from bench.load import (
    BackgroundLoad,
    count_opened_after,
    finish_background_load,
    measure_imbalance,
    start_background_load,
)

__all__ = ('DemoReport', 'run_demo')

EXAMPLE: Final = 'consortium'
INSTANCES: Final = 8
LONG_FLOWS: Final = 1200
REQUESTS_PER_LONG_FLOW: Final = 14
LONG_PAUSE_SECONDS: Final = 1.0
DRAINED_UPSTREAM: Final = 'catalog-3'
SHORT_FLOWS_PER_SECOND: Final = 100
SETTLE_SECONDS: Final = 1.0


class DemoReport(msgspec.Struct, frozen=True):
    """Report the demonstration.

    `moved` counts the flows that were handed over to another owner, and
    `late_flows` the flows that the drained upstream accepted after every
    instance had applied the drain.
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
        """Return whether no flow broke and no packet was misdelivered."""
        return not self.broken and not self.misdelivered


async def run_demo(seed: int) -> DemoReport:
    """Drain an upstream and stop an instance; print each step."""
    _print_step(
        f'starting 3 failure domains, {INSTANCES} instances, 10 upstreams'
    )
    async with open_deployment(EXAMPLE, INSTANCES, seed) as deployment:
        return await _demonstrate(deployment)


async def _demonstrate(deployment: Deployment) -> DemoReport:
    background = BackgroundLoad(deployment.callers)
    open_flows = await start_background_load(
        background,
        _list_long_plans(deployment),
        FlowPlan(deployment.endpoint('catalog'), 1, 0),
        SHORT_FLOWS_PER_SECOND,
    )
    imbalance = measure_imbalance(deployment.spec_by_service, open_flows)
    _print_step(f'{len(open_flows)} flows open, imbalance {imbalance:.3f}')
    seconds_to_apply = await _drain_upstream(deployment)
    drain_applied_at = time.monotonic()
    seconds_to_stop = await _stop_instance(deployment)
    faults = await finish_background_load(background)
    statuses = await fetch_statuses(deployment)
    counts = await stop_upstreams(deployment)
    return DemoReport(
        flows=len(deployment.callers.flows),
        broken=faults.total(),
        misdelivered=sum(count.misdelivered for count in counts.values()),
        moved=sum(status.flows_taken for status in statuses.values()),
        imbalance=imbalance,
        seconds_in_force=seconds_to_apply,
        seconds_to_stop=seconds_to_stop,
        late_flows=count_opened_after(
            deployment.callers, DRAINED_UPSTREAM, drain_applied_at
        ),
        faults=dict(faults),
    )


async def _drain_upstream(deployment: Deployment) -> float:
    set_draining(deployment, 'catalog', DRAINED_UPSTREAM, draining=True)
    seconds = await publish_and_time(deployment)
    _print_step(
        f'{DRAINED_UPSTREAM} drains: '
        f'applied by all instances after {seconds:.2f} s'
    )
    await asyncio.sleep(SETTLE_SECONDS)
    return seconds


async def _stop_instance(deployment: Deployment) -> float:
    name = next(iter(deployment.listed_by_name))
    seconds = await stop_instance(deployment, name)
    _print_step(f'instance {name} stopped gracefully in {seconds:.2f} s')
    await asyncio.sleep(SETTLE_SECONDS)
    return seconds


def _list_long_plans(deployment: Deployment) -> list[FlowPlan]:
    plan_cycle = [
        FlowPlan(
            deployment.endpoint(service),
            REQUESTS_PER_LONG_FLOW,
            LONG_PAUSE_SECONDS,
        )
        for service in ('catalog', 'catalog', 'catalog', 'survey')
    ]
    return plan_cycle * (LONG_FLOWS // len(plan_cycle))


def _print_step(text: str) -> None:
    sys.stderr.write(f'{text}\n')
