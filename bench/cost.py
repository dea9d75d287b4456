"""Measure what an instance costs: forwarding, memory, control."""

import asyncio
from typing import Final

import msgspec

from bench.control import ControlSlope, measure_control
from bench.decisions import DecisionSlopes, measure_decisions
from bench.forwarding import ForwardingRates, measure_forwarding
from bench.holding import MemorySlope, bytes_per_flow, measure_memory

__all__ = ('CostReport', 'run_cost')

# Instances in a fleet; what does not disturb the other is measured together.
SMALLEST_FLEET: Final = 4
FLEETS_BETWEEN: Final = (8, 16)
LARGEST_FLEET: Final = 32


class CostReport(msgspec.Struct, frozen=True):
    """Report the cost of an instance.

    `forward_ratio` and `relay_ratio` compare with the bare forwarder;
    `control_bytes_per_s` (sent and received) and `control_core_share` are
    those of the busiest instance of any fleet measured.
    """

    forward_ratio: float
    relay_ratio: float
    control_bytes_per_s: float
    control_core_share: float
    bytes_per_flow: float
    packets_per_s: ForwardingRates
    memory: tuple[MemorySlope, ...]
    control: tuple[ControlSlope, ...]
    decisions: DecisionSlopes


async def run_cost(seed: int) -> CostReport:
    """Measure forwarding, then memory, then control."""
    rates = await measure_forwarding(seed)
    memory = await measure_memory(seed)
    smallest, largest = await asyncio.gather(
        measure_control(SMALLEST_FLEET, seed),
        measure_control(LARGEST_FLEET, seed),
    )
    between = await asyncio.gather(
        *(measure_control(size, seed) for size in FLEETS_BETWEEN)
    )
    control = (smallest, *between, largest)
    return CostReport(
        forward_ratio=rates.home / rates.bare,
        relay_ratio=rates.relay / rates.bare,
        control_bytes_per_s=max(slope.control_bytes_per_s for slope in control),
        control_core_share=max(slope.core_share for slope in control),
        bytes_per_flow=bytes_per_flow(memory),
        packets_per_s=rates,
        memory=memory,
        control=control,
        decisions=measure_decisions(seed),
    )
