"""Measure the cost of an instance: forwarding, memory and control.

Each is a separate measurement, so that they don't affect each other and each
ends within a minute.
"""

import asyncio
from typing import Final

import msgspec

from bench.control import ControlCost, measure_control
from bench.decisions import DecisionTimings, measure_decisions
from bench.forwarding import ForwardingRates, measure_forwarding
from bench.memory import MemorySample, bytes_per_flow, measure_memory

__all__ = (
    'ControlReport',
    'CostReport',
    'MemoryReport',
    'run_control',
    'run_cost',
    'run_memory',
)

# Instances per fleet.  Fleets that do not affect each other are measured at the
# same time.
SMALLEST_FLEET: Final = 4
MIDDLE_FLEETS: Final = (8, 16)
LARGEST_FLEET: Final = 32


class CostReport(msgspec.Struct, frozen=True):
    """Report the cost of packets and decisions.

    `forward_ratio` and `relay_ratio` are packet rates relative to that of the
    bare forwarder.
    """

    forward_ratio: float
    relay_ratio: float
    packets_per_s: ForwardingRates
    decisions: DecisionTimings


class MemoryReport(msgspec.Struct, frozen=True):
    """Report the memory cost of flows."""

    bytes_per_flow: float
    memory: tuple[MemorySample, ...]


class ControlReport(msgspec.Struct, frozen=True):
    """Report the cost of control traffic.

    `control_bytes_per_s` (sent and received) and `control_core_share` are the
    highest of any instance in any fleet measured.
    """

    control_bytes_per_s: float
    control_core_share: float
    control: tuple[ControlCost, ...]


async def run_cost(seed: int) -> CostReport:
    """Measure forwarding, then decisions."""
    rates = await measure_forwarding(seed)
    return CostReport(
        forward_ratio=rates.home / rates.bare,
        relay_ratio=rates.relay / rates.bare,
        packets_per_s=rates,
        decisions=measure_decisions(seed),
    )


async def run_memory(seed: int) -> MemoryReport:
    """Measure memory at several flow counts."""
    memory = await measure_memory(seed)
    return MemoryReport(bytes_per_flow(memory), memory)


async def run_control(seed: int) -> ControlReport:
    """Measure control traffic in fleets of several sizes."""
    smallest, largest = await asyncio.gather(
        measure_control(SMALLEST_FLEET, seed),
        measure_control(LARGEST_FLEET, seed),
    )
    middle = await asyncio.gather(
        *(measure_control(size, seed) for size in MIDDLE_FLEETS)
    )
    control = (smallest, *middle, largest)
    return ControlReport(
        control_bytes_per_s=max(cost.control_bytes_per_s for cost in control),
        control_core_share=max(cost.core_share for cost in control),
        control=control,
    )
