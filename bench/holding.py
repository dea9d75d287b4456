"""Measure the memory that an instance needs for its flows."""

import asyncio
from collections.abc import Sequence
from typing import Final

import msgspec

from bench.deployment import Deployment, ask_statuses
from bench.sinks import (
    SYN_FLAGS,
    make_flow_sources,
    make_packet,
    open_sink_deployment,
    start_flood,
)

__all__ = ('MemorySlope', 'bytes_per_flow', 'measure_memory')

FLOWS: Final = 300_000
STEPS: Final = 4
PACKETS_A_SECOND: Final = 22_000
SECONDS: Final = 60.0
SETTLE_SECONDS: Final = 0.5


class MemorySlope(msgspec.Struct, frozen=True):
    """Give the resident memory of an instance at a number of flows."""

    flows: int
    resident_bytes: int


async def measure_memory(seed: int) -> tuple[MemorySlope, ...]:
    """Open ever more flows at one instance; return its memory at each step."""
    limits = {'half_open': 2 * FLOWS, 'half_open_seconds': 600}
    async with open_sink_deployment(seed, 1, limits=limits) as deployment:
        sources = list(make_flow_sources(deployment, FLOWS))
        steps = [await _read_memory(deployment)]
        for step in range(STEPS):
            chunk = sources[step::STEPS]
            await _open(
                deployment, [make_packet(each, SYN_FLAGS) for each in chunk]
            )
            steps.append(await _read_memory(deployment))
    return tuple(steps)


def bytes_per_flow(steps: Sequence[MemorySlope]) -> float:
    """Return the growth from the first step to the last."""
    first, last = steps[0], steps[-1]
    grown = last.resident_bytes - first.resident_bytes
    return grown / (last.flows - first.flows)


async def _open(deployment: Deployment, packets: Sequence[bytes]) -> None:
    target = next(iter(deployment.listed_by_name.values())).address
    options = ('--rate', str(PACKETS_A_SECOND), '--seconds', str(SECONDS))
    name = await start_flood(deployment, target, packets, options)
    await deployment.processes.process_by_name.pop(name).wait()
    await asyncio.sleep(SETTLE_SECONDS)


async def _read_memory(deployment: Deployment) -> MemorySlope:
    status = next(iter((await ask_statuses(deployment)).values()))
    return MemorySlope(
        status.open_flows + status.half_open_flows, status.resident_bytes
    )
