"""Open flows at a rate and count how they end and how they are distributed."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, final

from bench.callers import Callers, Flow, FlowPlan, open_flows, run_flow
from marlbend.config import ServiceSpec
from marlbend.hashing import hash_text

__all__ = (
    'BackgroundLoad',
    'count_broken',
    'count_opened_after',
    'count_unopened',
    'finish_background_load',
    'last_opened_at',
    'measure_hash_imbalance',
    'measure_imbalance',
    'start_background_load',
    'start_flows',
    'wait_for_open_flows',
)

BATCHES_PER_SECOND: Final = 50
LONG_FLOWS_PER_SECOND: Final = 500
POLL_SECONDS: Final = 0.1
OPEN_TIMEOUT_SECONDS: Final = 20

ChooseUpstream = Callable[[Flow], str]


async def start_flows(
    callers: Callers,
    plans: Iterable[FlowPlan],
    flows_per_second: int,
) -> list[asyncio.Task[None]]:
    """Start a flow for each plan at a rate and return their tasks."""
    tasks = []
    batch_size = max(1, flows_per_second // BATCHES_PER_SECOND)
    for started_count, plan in enumerate(plans):
        if started_count % batch_size == 0:
            await asyncio.sleep(batch_size / flows_per_second)
        flow = callers.new_flow(plan)
        tasks.append(asyncio.create_task(run_flow(callers, flow)))
    return tasks


@final
class BackgroundLoad:
    """Hold flows that run while changes are made.

    `opening` is the task that opens short flows until `stopped` is set.
    """

    __slots__ = ('callers', 'opening', 'stopped', 'tasks')

    def __init__(self, callers: Callers) -> None:
        """Initialize without flows."""
        self.callers = callers
        self.stopped = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.opening: asyncio.Task[list[asyncio.Task[None]]] | None = None


async def start_background_load(
    background: BackgroundLoad,
    long_plans: Sequence[FlowPlan],
    short_plan: FlowPlan,
    short_flows_per_second: int,
) -> list[Flow]:
    """Open long flows and return them; keep opening short flows at a rate."""
    callers = background.callers
    background.tasks = await start_flows(
        callers, long_plans, LONG_FLOWS_PER_SECOND
    )
    open_now = await wait_for_open_flows(callers, len(long_plans))
    short_plans = itertools.takewhile(
        lambda _: not background.stopped.is_set(),
        itertools.repeat(short_plan),
    )
    background.opening = asyncio.create_task(
        start_flows(callers, short_plans, short_flows_per_second)
    )
    return open_now


async def finish_background_load(background: BackgroundLoad) -> Counter[str]:
    """Stop opening flows, wait for all to end, count broken ones by reason."""
    background.stopped.set()
    if background.opening is not None:
        background.tasks.extend(await background.opening)
    await asyncio.gather(*background.tasks)
    return count_broken(background.callers)


def count_opened_after(callers: Callers, upstream: str, after: float) -> int:
    """Count the flows of an upstream that opened after a monotonic time."""
    return sum(
        flow.opened_at > after
        for flow in callers.flows
        if flow.upstream == upstream
    )


def last_opened_at(callers: Callers, upstream: str) -> float:
    """Return the monotonic time at which an upstream's last flow opened."""
    return max(
        (flow.opened_at for flow in callers.flows if flow.upstream == upstream),
        default=0,
    )


def count_unopened(callers: Callers) -> int:
    """Count the flows that failed to open."""
    return sum(bool(flow.failure) and not flow.opened for flow in callers.flows)


async def wait_for_open_flows(callers: Callers, flow_count: int) -> list[Flow]:
    """Wait for a number of open flows or a timeout; return the open flows."""
    try:
        async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
            while len(list(open_flows(callers))) < flow_count:
                await asyncio.sleep(POLL_SECONDS)
    except TimeoutError:
        return list(open_flows(callers))
    return list(open_flows(callers))


def measure_imbalance(
    spec_by_service: Mapping[str, ServiceSpec],
    flows: Iterable[Flow],
) -> float:
    """Return the highest imbalance of any service, as seen by the callers."""
    return _highest_imbalance(
        spec_by_service, flows, lambda flow: flow.upstream
    )


def measure_hash_imbalance(
    spec_by_service: Mapping[str, ServiceSpec],
    flows: Iterable[Flow],
) -> float:
    """Return the highest imbalance as if plain hashing chose the upstreams."""
    spec_by_endpoint = {
        (spec.addresses[0], spec.ports[0]): spec
        for spec in spec_by_service.values()
    }

    def choose_by_hash(flow: Flow) -> str:
        upstreams = spec_by_endpoint[flow.plan.endpoint].upstreams
        index = hash_text(repr(flow.source)) % len(upstreams)
        return upstreams[index].name

    return _highest_imbalance(spec_by_service, flows, choose_by_hash)


def count_broken(callers: Callers) -> Counter[str]:
    """Count the broken flows by reason, including those that did not open."""
    return Counter(flow.failure for flow in callers.flows if flow.failure)


def _highest_imbalance(
    spec_by_service: Mapping[str, ServiceSpec],
    flows: Iterable[Flow],
    choose_upstream: ChooseUpstream,
) -> float:
    flows_by_upstream = Counter(choose_upstream(flow) for flow in flows)
    return max(
        _compute_imbalance(
            [
                flows_by_upstream[upstream.name] / upstream.connections
                for upstream in spec.upstreams
                if not upstream.draining
            ]
        )
        for spec in spec_by_service.values()
    )


def _compute_imbalance(loads: list[float]) -> float:
    """Return the highest load relative to the mean load."""
    mean_load = sum(loads) / len(loads)
    return max(loads) / mean_load if mean_load else 0
