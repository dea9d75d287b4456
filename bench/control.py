"""Measure what an instance spends on control, in fleets of some sizes.

Flows are open and new ones arrive, from a process that sends prepared packets
round all instances.  Control is counted by the instances themselves; to the
processor time of their tasks comes what the process uses with no traffic at
all, since the libraries' own threads and timers run then too.
"""

import asyncio
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from bench.deployment import Deployment, ask_statuses
from bench.sinks import (
    ACK_FLAGS,
    SYN_FLAGS,
    Source,
    make_flow_sources,
    make_packet,
    open_sink_deployment,
    start_flood,
)
from marlbend.homes.wire.messages import Status

__all__ = ('ControlSlope', 'measure_control')

Statuses = dict[str, Status]

SINKS: Final = 7
OPEN_FLOWS: Final = 100_000
NEW_FLOWS_A_SECOND: Final = 2000
OPENING_PACKETS_A_SECOND: Final = 40_000
PACKETS_A_FLOW: Final = 2
SECONDS: Final = 4.0
SETTLE_SECONDS: Final = 2.0
LONGEST_SECONDS: Final = 60.0


class ControlSlope(msgspec.Struct, frozen=True):
    """Give what the busiest instance of a fleet spends on control.

    `idle_core_share` is the whole process without traffic; `core_share` adds
    what control takes under load.
    """

    instances: int
    open_flows: int
    new_flows_per_s: float
    control_bytes_per_s: float
    core_share: float
    idle_core_share: float
    resident_bytes: int


async def measure_control(instances: int, seed: int) -> ControlSlope:
    """Compare the figures of a fleet before and after some seconds."""
    async with open_sink_deployment(seed, instances, SINKS) as deployment:
        first, idle = await _idle(deployment)
        sources = list(make_flow_sources(deployment, OPEN_FLOWS + _arriving()))
        await _send(deployment, sources[:OPEN_FLOWS], OPENING_PACKETS_A_SECOND)
        await asyncio.sleep(SETTLE_SECONDS)
        before = await ask_statuses(deployment)
        await _send(
            deployment,
            sources[OPEN_FLOWS:],
            NEW_FLOWS_A_SECOND * PACKETS_A_FLOW,
        )
        after = await ask_statuses(deployment)
    opened = _count_flows(before.values())
    return ControlSlope(
        instances=instances,
        open_flows=opened,
        new_flows_per_s=(_count_flows(after.values()) - opened) / SECONDS,
        control_bytes_per_s=max(
            _control_bytes(after[name]) - _control_bytes(before[name])
            for name in after
        )
        / SECONDS,
        core_share=max(
            _idle_share(first[name], idle[name])
            + (after[name].control_seconds - before[name].control_seconds)
            / SECONDS
            - (idle[name].control_seconds - first[name].control_seconds)
            / SETTLE_SECONDS
            for name in after
        ),
        idle_core_share=max(
            _idle_share(first[name], idle[name]) for name in after
        ),
        resident_bytes=max(status.resident_bytes for status in after.values()),
    )


async def _idle(deployment: Deployment) -> tuple[Statuses, Statuses]:
    await asyncio.sleep(SETTLE_SECONDS)
    first = await ask_statuses(deployment)
    await asyncio.sleep(SETTLE_SECONDS)
    return first, await ask_statuses(deployment)


def _arriving() -> int:
    return int(NEW_FLOWS_A_SECOND * SECONDS)


def _idle_share(first: Status, idle: Status) -> float:
    used = idle.processor_seconds - first.processor_seconds
    return used / SETTLE_SECONDS


async def _send(
    deployment: Deployment, sources: Iterable[Source], rate: int
) -> None:
    targets = ','.join(
        listed.address for listed in deployment.listed_by_name.values()
    )
    options = ('--rate', str(rate), '--seconds', str(LONGEST_SECONDS))
    packets = tuple(_handshakes(sources))
    name = await start_flood(deployment, targets, packets, options)
    await deployment.processes.process_by_name.pop(name).wait()


def _handshakes(sources: Iterable[Source]) -> Iterator[bytes]:
    for source in sources:
        yield make_packet(source, SYN_FLAGS)
        yield make_packet(source, ACK_FLAGS)


def _count_flows(statuses: Iterable[Status]) -> int:
    return sum(
        status.open_flows + status.half_open_flows for status in statuses
    )


def _control_bytes(status: Status) -> int:
    return status.control_bytes_sent + status.control_bytes_received
