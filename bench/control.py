"""Measure what an idle instance spends on control in fleets of some sizes."""

import asyncio
from typing import Final

import msgspec

from bench.stage import ask_statuses, open_stage
from marlbend.wire.messages import Status

__all__ = ('ControlSlope', 'measure_control')

IDLE_SECONDS: Final = 4.0
SETTLE_SECONDS: Final = 2.0


class ControlSlope(msgspec.Struct, frozen=True):
    """Give what the busiest idle instance of a fleet spends on control."""

    instances: int
    control_bytes_per_s: float
    control_core_share: float
    resident_bytes: int


async def measure_control(instances: int, seed: int) -> ControlSlope:
    """Let a fleet idle and compare its figures before and after."""
    async with open_stage('consortium', instances, seed) as stage:
        await asyncio.sleep(SETTLE_SECONDS)
        before = await ask_statuses(stage)
        await asyncio.sleep(IDLE_SECONDS)
        after = await ask_statuses(stage)
    return ControlSlope(
        instances=instances,
        control_bytes_per_s=max(
            _control_bytes(after[name]) - _control_bytes(before[name])
            for name in after
        )
        / IDLE_SECONDS,
        control_core_share=max(
            after[name].processor_seconds - before[name].processor_seconds
            for name in after
        )
        / IDLE_SECONDS,
        resident_bytes=max(status.resident_bytes for status in after.values()),
    )


def _control_bytes(status: Status) -> int:
    return status.control_bytes_sent + status.control_bytes_received
