"""Tell the other homes of a service what this one has placed.

A report goes out soon after counts have changed, as long as the budget of
bytes allows it; under steady change that is about twice a second.
"""

import asyncio
from collections.abc import Iterator
from typing import Final, final

from marlbend.homes.daemon.state import Instance
from marlbend.homes.members import live_members
from marlbend.homes.packets import PacketPath
from marlbend.homes.upstreams.load import apply_report
from marlbend.homes.wire.replication import LoadReport, ServiceLoad

__all__ = ('report_loads', 'take_loads')

POLL_SECONDS: Final = 0.2
BYTES_A_SECOND: Final = 450
BURST_BYTES: Final = 2000


@final
class _Reporting:
    """Remember what was reported last and the bytes there is room for."""

    __slots__ = ('last', 'room')

    def __init__(self) -> None:
        self.last: tuple[ServiceLoad, ...] = ()
        self.room: float = BURST_BYTES


async def report_loads(instance: Instance) -> None:
    """Send reports while counts change, until cancelled."""
    state = _Reporting()
    while True:
        await asyncio.sleep(POLL_SECONDS)
        earned = BYTES_A_SECOND * POLL_SECONDS
        state.room = min(BURST_BYTES, state.room + earned)
        loads = tuple(_count_loads(instance.path))
        if state.room > 0 and loads != state.last:
            state.last = loads
            state.room -= _send(instance, loads)


def take_loads(instance: Instance, report: LoadReport) -> None:
    """Take the report of another home of the same configuration."""
    active = instance.path.active
    if report.config_version != active.version:
        return
    for load in report.loads:
        service = active.service_by_name.get(load.service)
        if service is not None:
            apply_report(
                instance.path.loads,
                report.origin,
                load.service,
                service.accepting,
                load.counts,
            )


def _count_loads(path: PacketPath) -> Iterator[ServiceLoad]:
    opened = path.table.open_by_number
    for name, service in path.active.service_by_name.items():
        counts = tuple(
            opened.get(upstream.number, 0) for upstream in service.accepting
        )
        if any(counts) or (name, '') in path.loads.report_by_key:
            yield ServiceLoad(name, counts)


def _send(instance: Instance, loads: tuple[ServiceLoad, ...]) -> int:
    path = instance.path
    myself = path.fleet.myself.name
    report = LoadReport(myself, path.active.version, loads)
    return sum(
        instance.outbox.send(report, (member.address, member.control_port))
        for member in live_members(path.fleet)
        if member.name != myself
    )
