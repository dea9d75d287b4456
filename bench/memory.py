"""Measure the memory of an instance by its number of flows."""

import asyncio
from collections.abc import Sequence
from typing import Final

import msgspec

from bench.deployment import Deployment, fetch_statuses
from bench.sinks import (
    SYN_FLAGS,
    make_flow_sources,
    make_packet,
    open_sink_deployment,
    start_flood,
)

__all__ = ('MemorySample', 'bytes_per_flow', 'measure_memory')

FLOW_COUNT: Final = 300_000
STEP_COUNT: Final = 4
PACKETS_PER_SECOND: Final = 22_000
SEND_LIMIT_SECONDS: Final = 60.0
SETTLE_SECONDS: Final = 0.5


class MemorySample(msgspec.Struct, frozen=True):
    """Report the resident memory of an instance at a number of flows."""

    flows: int
    resident_bytes: int


async def measure_memory(seed: int) -> tuple[MemorySample, ...]:
    """Return the memory of an instance as its flows grow in equal steps."""
    limits = {'half_open': 2 * FLOW_COUNT, 'half_open_seconds': 600}
    async with open_sink_deployment(seed, 1, limits=limits) as deployment:
        sources = list(make_flow_sources(deployment, FLOW_COUNT))
        samples = [await _sample_memory(deployment)]
        for step in range(STEP_COUNT):
            step_sources = sources[step::STEP_COUNT]
            await _send_syns(
                deployment,
                [make_packet(each, SYN_FLAGS) for each in step_sources],
            )
            samples.append(await _sample_memory(deployment))
    return tuple(samples)


def bytes_per_flow(samples: Sequence[MemorySample]) -> float:
    """Return the memory growth per flow from the first sample to the last."""
    first, last = samples[0], samples[-1]
    growth_bytes = last.resident_bytes - first.resident_bytes
    return growth_bytes / (last.flows - first.flows)


async def _send_syns(deployment: Deployment, packets: Sequence[bytes]) -> None:
    target = next(iter(deployment.listed_by_name.values())).address
    options = (
        '--rate',
        str(PACKETS_PER_SECOND),
        '--seconds',
        str(SEND_LIMIT_SECONDS),
    )
    name = await start_flood(deployment, target, packets, options)
    await deployment.processes.process_by_name.pop(name).wait()
    await asyncio.sleep(SETTLE_SECONDS)


async def _sample_memory(deployment: Deployment) -> MemorySample:
    status = next(iter((await fetch_statuses(deployment)).values()))
    return MemorySample(
        status.open_flows + status.half_open_flows, status.resident_bytes
    )
