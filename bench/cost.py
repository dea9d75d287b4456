"""Measure what an instance costs: forwarding, memory, control.

Each is a measurement of its own, so that none disturbs another and each ends
within a minute.
"""

import asyncio
from typing import Final

import msgspec

from bench.control import ControlSlope, measure_control
from bench.decisions import DecisionSlopes, measure_decisions
from bench.forwarding import ForwardingRates, measure_forwarding
from bench.holding import MemorySlope, bytes_per_flow, measure_memory

__all__ = (
    'ControlReport',
    'CostReport',
    'MemoryReport',
    'run_control',
    'run_cost',
    'run_memory',
)

# Instances in a fleet; what does not disturb the other is measured together.
SMALLEST_FLEET: Final = 4
FLEETS_BETWEEN: Final = (8, 16)
LARGEST_FLEET: Final = 32


class CostReport(msgspec.Struct, frozen=True):
    """Report what packets and decisions cost.

    `forward_ratio` and `relay_ratio` compare with the bare forwarder.
    """

    forward_ratio: float
    relay_ratio: float
    packets_per_s: ForwardingRates
    decisions: DecisionSlopes


class MemoryReport(msgspec.Struct, frozen=True):
    """Report what flows cost in memory."""

    bytes_per_flow: float
    memory: tuple[MemorySlope, ...]


class ControlReport(msgspec.Struct, frozen=True):
    """Report what control costs.

    Bytes (sent and received) and share of a core are those of the busiest
    instance of any fleet measured.
    """

    control_bytes_per_s: float
    control_core_share: float
    control: tuple[ControlSlope, ...]


async def run_cost(seed: int) -> CostReport:
    """Measure forwarding, then the decisions."""
    rates = await measure_forwarding(seed)
    return CostReport(
        forward_ratio=rates.home / rates.bare,
        relay_ratio=rates.relay / rates.bare,
        packets_per_s=rates,
        decisions=measure_decisions(seed),
    )


async def run_memory(seed: int) -> MemoryReport:
    """Measure memory at several numbers of flows."""
    memory = await measure_memory(seed)
    return MemoryReport(bytes_per_flow(memory), memory)


async def run_control(seed: int) -> ControlReport:
    """Measure control in fleets of several sizes."""
    smallest, largest = await asyncio.gather(
        measure_control(SMALLEST_FLEET, seed),
        measure_control(LARGEST_FLEET, seed),
    )
    between = await asyncio.gather(
        *(measure_control(size, seed) for size in FLEETS_BETWEEN)
    )
    control = (smallest, *between, largest)
    return ControlReport(
        control_bytes_per_s=max(slope.control_bytes_per_s for slope in control),
        control_core_share=max(slope.core_share for slope in control),
        control=control,
    )
