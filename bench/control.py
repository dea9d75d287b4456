"""Measure the cost of control traffic for an instance, by size of the fleet.

A process sends prepared packets to all instances in turn, so that flows are
open and new ones arrive.  The instances count the bytes and processor time of
their control tasks.  The processor time of an idle process is added, since the
threads and timers of libraries run without traffic, too.
"""

import asyncio
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from bench.deployment import Deployment, fetch_statuses
from bench.sinks import (
    ACK_FLAGS,
    SYN_FLAGS,
    Source,
    make_flow_sources,
    make_packet,
    open_sink_deployment,
    start_flood,
)
from marlbend.ownership.wire.messages import Status

__all__ = ('ControlCost', 'measure_control')

StatusByName = dict[str, Status]

SINK_COUNT: Final = 7
OPEN_FLOW_COUNT: Final = 100_000
NEW_FLOWS_PER_SECOND: Final = 2000
SETUP_PACKETS_PER_SECOND: Final = 40_000
PACKETS_PER_FLOW: Final = 2
LOAD_SECONDS: Final = 4.0
SETTLE_SECONDS: Final = 2.0
SEND_LIMIT_SECONDS: Final = 60.0


class ControlCost(msgspec.Struct, frozen=True):
    """Report the control cost of the busiest instance of a fleet.

    `idle_core_share` is that of the whole process without traffic.
    `core_share` adds what the control tasks take under load in excess of what
    they take when idle.
    """

    instances: int
    open_flows: int
    new_flows_per_s: float
    control_bytes_per_s: float
    core_share: float
    idle_core_share: float
    resident_bytes: int


async def measure_control(instance_count: int, seed: int) -> ControlCost:
    """Measure the control cost of a fleet under load."""
    async with open_sink_deployment(
        seed, instance_count, SINK_COUNT
    ) as deployment:
        idle_start, idle_end = await _measure_idle(deployment)
        sources = list(
            make_flow_sources(deployment, OPEN_FLOW_COUNT + _new_flow_count())
        )
        await _send_handshakes(
            deployment, sources[:OPEN_FLOW_COUNT], SETUP_PACKETS_PER_SECOND
        )
        await asyncio.sleep(SETTLE_SECONDS)
        before = await fetch_statuses(deployment)
        await _send_handshakes(
            deployment,
            sources[OPEN_FLOW_COUNT:],
            NEW_FLOWS_PER_SECOND * PACKETS_PER_FLOW,
        )
        after = await fetch_statuses(deployment)
    open_flow_count = _count_flows(before.values())
    return ControlCost(
        instances=instance_count,
        open_flows=open_flow_count,
        new_flows_per_s=(_count_flows(after.values()) - open_flow_count)
        / LOAD_SECONDS,
        control_bytes_per_s=max(
            _total_control_bytes(after[name])
            - _total_control_bytes(before[name])
            for name in after
        )
        / LOAD_SECONDS,
        core_share=max(
            _idle_core_share(idle_start[name], idle_end[name])
            + (after[name].control_seconds - before[name].control_seconds)
            / LOAD_SECONDS
            - (
                idle_end[name].control_seconds
                - idle_start[name].control_seconds
            )
            / SETTLE_SECONDS
            for name in after
        ),
        idle_core_share=max(
            _idle_core_share(idle_start[name], idle_end[name]) for name in after
        ),
        resident_bytes=max(status.resident_bytes for status in after.values()),
    )


async def _measure_idle(
    deployment: Deployment,
) -> tuple[StatusByName, StatusByName]:
    await asyncio.sleep(SETTLE_SECONDS)
    idle_start = await fetch_statuses(deployment)
    await asyncio.sleep(SETTLE_SECONDS)
    return idle_start, await fetch_statuses(deployment)


def _new_flow_count() -> int:
    return int(NEW_FLOWS_PER_SECOND * LOAD_SECONDS)


def _idle_core_share(idle_start: Status, idle_end: Status) -> float:
    used_seconds = idle_end.processor_seconds - idle_start.processor_seconds
    return used_seconds / SETTLE_SECONDS


async def _send_handshakes(
    deployment: Deployment,
    sources: Iterable[Source],
    packets_per_second: int,
) -> None:
    targets = ','.join(
        listed.address for listed in deployment.listed_by_name.values()
    )
    options = (
        '--rate',
        str(packets_per_second),
        '--seconds',
        str(SEND_LIMIT_SECONDS),
    )
    packets = tuple(_generate_handshakes(sources))
    name = await start_flood(deployment, targets, packets, options)
    await deployment.processes.process_by_name.pop(name).wait()


def _generate_handshakes(sources: Iterable[Source]) -> Iterator[bytes]:
    for source in sources:
        yield make_packet(source, SYN_FLAGS)
        yield make_packet(source, ACK_FLAGS)


def _count_flows(statuses: Iterable[Status]) -> int:
    return sum(
        status.open_flows + status.half_open_flows for status in statuses
    )


def _total_control_bytes(status: Status) -> int:
    return status.control_bytes_sent + status.control_bytes_received
