"""Open flows at a rate and look at how they are spread."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Final

from bench.callers import Callers, Flow, FlowPlan, open_flows, run_flow
from marlbend.config import ServiceSpec
from marlbend.hashing import hash_text

__all__ = (
    'count_broken',
    'hash_imbalance',
    'measure_imbalance',
    'start_flows',
    'wait_for_open',
)

BATCHES_A_SECOND: Final = 50
POLL_SECONDS: Final = 0.1
OPEN_SECONDS: Final = 20

Choose = Callable[[Flow], str]


async def start_flows(
    callers: Callers,
    plans: Iterable[FlowPlan],
    rate: int,
) -> list[asyncio.Task[None]]:
    """Start a flow for each plan, `rate` a second."""
    tasks = []
    batch = max(1, rate // BATCHES_A_SECOND)
    for started, plan in enumerate(plans):
        if started % batch == 0:
            await asyncio.sleep(batch / rate)
        flow = callers.new_flow(plan)
        tasks.append(asyncio.create_task(run_flow(callers, flow)))
    return tasks


async def wait_for_open(callers: Callers, flows: int) -> list[Flow]:
    """Wait until so many flows are open, or time is up; return them."""
    try:
        async with asyncio.timeout(OPEN_SECONDS):
            while len(list(open_flows(callers))) < flows:
                await asyncio.sleep(POLL_SECONDS)
    except TimeoutError:
        return list(open_flows(callers))
    return list(open_flows(callers))


def measure_imbalance(
    specs: Mapping[str, ServiceSpec],
    flows: Iterable[Flow],
) -> float:
    """Return the worst imbalance of the services as the callers see it."""
    return _worst_imbalance(specs, flows, lambda flow: flow.upstream)


def hash_imbalance(
    specs: Mapping[str, ServiceSpec],
    flows: Iterable[Flow],
) -> float:
    """Return what plain hashing would have given for the same flows."""
    by_endpoint = {
        (spec.addresses[0], spec.ports[0]): spec for spec in specs.values()
    }

    def choose(flow: Flow) -> str:
        upstreams = by_endpoint[flow.plan.service].upstreams
        position = hash_text(repr(flow.source)) % len(upstreams)
        return upstreams[position].name

    return _worst_imbalance(specs, flows, choose)


def count_broken(callers: Callers) -> Counter[str]:
    """Count the broken flows by reason."""
    return Counter(flow.fault for flow in callers.flows if flow.fault)


def _worst_imbalance(
    specs: Mapping[str, ServiceSpec],
    flows: Iterable[Flow],
    choose: Choose,
) -> float:
    counts = Counter(choose(flow) for flow in flows)
    return max(
        _imbalance(
            [
                counts[upstream.name] / upstream.connections
                for upstream in spec.upstreams
                if not upstream.draining
            ]
        )
        for spec in specs.values()
    )


def _imbalance(loads: list[float]) -> float:
    mean = sum(loads) / len(loads)
    return max(loads) / mean if mean else 0.0
