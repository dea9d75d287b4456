"""Open flows at a rate and look at how they are spread."""

import asyncio
import itertools
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, final

from bench.callers import Callers, Flow, FlowPlan, open_flows, run_flow
from marlbend.config import ServiceSpec
from marlbend.hashing import hash_text

__all__ = (
    'Background',
    'count_broken',
    'count_late',
    'count_refused',
    'finish_background',
    'hash_imbalance',
    'last_opened',
    'measure_imbalance',
    'start_background',
    'start_flows',
    'wait_for_open',
)

BATCHES_A_SECOND: Final = 50
OPENED_A_SECOND: Final = 500
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


@final
class Background:
    """Hold flows that run while changes are made.

    `stopped` ends the opening of short flows.
    """

    __slots__ = ('callers', 'opening', 'stopped', 'tasks')

    def __init__(self, callers: Callers) -> None:
        """Start without flows."""
        self.callers = callers
        self.stopped = asyncio.Event()
        self.tasks: list[asyncio.Task[None]] = []
        self.opening: asyncio.Task[list[asyncio.Task[None]]] | None = None


async def start_background(
    background: Background,
    long_plans: Sequence[FlowPlan],
    short_plan: FlowPlan,
    rate: int,
) -> list[Flow]:
    """Open long flows and return them, then keep opening short ones."""
    callers = background.callers
    background.tasks = await start_flows(callers, long_plans, OPENED_A_SECOND)
    open_now = await wait_for_open(callers, len(long_plans))
    endless = itertools.takewhile(
        lambda _: not background.stopped.is_set(),
        itertools.repeat(short_plan),
    )
    background.opening = asyncio.create_task(
        start_flows(callers, endless, rate)
    )
    return open_now


async def finish_background(background: Background) -> Counter[str]:
    """Open no more, wait for every flow, count the broken ones by reason."""
    background.stopped.set()
    if background.opening is not None:
        background.tasks.extend(await background.opening)
    await asyncio.gather(*background.tasks)
    return count_broken(background.callers)


def count_late(callers: Callers, upstream: str, after: float) -> int:
    """Count the flows that an upstream accepted after a monotonic time."""
    return sum(
        flow.opened_at > after
        for flow in callers.flows
        if flow.upstream == upstream
    )


def last_opened(callers: Callers, upstream: str) -> float:
    """Return the monotonic time of an upstream's latest flow."""
    return max(
        (flow.opened_at for flow in callers.flows if flow.upstream == upstream),
        default=0,
    )


def count_refused(callers: Callers) -> int:
    """Count the flows that could not be opened."""
    return sum(bool(flow.fault) and not flow.opened for flow in callers.flows)


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
    return max(loads) / mean if mean else 0
