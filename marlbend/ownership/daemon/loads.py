"""Report the open flows of each upstream to the other instances.

A report is sent soon after counts have changed, as far as the byte budget
allows.  The budget covers the reports to all receivers, so while counts keep
changing, the interval between reports grows with the number of owners: with 8
owners and reports of 75 bytes it is about 1.2 s.
"""

import asyncio
from collections.abc import Iterator
from typing import Final, final

from marlbend.ownership.daemon.state import Instance
from marlbend.ownership.members import owner_members
from marlbend.ownership.packets import PacketPath
from marlbend.ownership.upstreams.load import apply_report
from marlbend.ownership.wire.replication import LoadReport, ServiceLoad

__all__ = ('count_loads', 'handle_load_report', 'report_loads')

CHECK_INTERVAL_SECONDS: Final = 0.2
# Part of the 4,096 bytes/s of control traffic that an instance may use.
BUDGET_BYTES_PER_SECOND: Final = 450
BURST_BYTES: Final = 2000


@final
class _ReporterState:
    """Hold the last reported loads and the remaining byte budget.

    `reported_services` are those that were ever reported.
    """

    __slots__ = ('budget_bytes', 'last_loads', 'reported_services')

    def __init__(self) -> None:
        self.last_loads: tuple[ServiceLoad, ...] = ()
        self.budget_bytes: float = BURST_BYTES
        self.reported_services: set[str] = set()


async def report_loads(instance: Instance) -> None:
    """Send reports while counts change, until cancelled."""
    state = _ReporterState()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        refill = BUDGET_BYTES_PER_SECOND * CHECK_INTERVAL_SECONDS
        state.budget_bytes = min(BURST_BYTES, state.budget_bytes + refill)
        loads = tuple(count_loads(instance.path, state.reported_services))
        if state.budget_bytes > 0 and loads != state.last_loads:
            state.last_loads = loads
            state.reported_services.update(load.service for load in loads)
            state.budget_bytes -= _send(instance, loads)


def handle_load_report(instance: Instance, report: LoadReport) -> None:
    """Apply a load report from another owner.

    Ignore it if its sender has another configuration version, because counts
    are listed in the order of the upstreams in the configuration.
    """
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
                service.accepting_upstreams,
                load.counts,
            )


def count_loads(path: PacketPath, reported: set[str]) -> Iterator[ServiceLoad]:
    """Yield the counts of each service with open flows on accepting upstreams.

    Services in `reported` are included without any: receivers keep the counts
    that were last reported.
    """
    opened = path.table.open_by_number
    for name, service in path.active.service_by_name.items():
        counts = tuple(
            opened.get(upstream.number, 0)
            for upstream in service.accepting_upstreams
        )
        if any(counts) or name in reported:
            yield ServiceLoad(name, counts)


def _send(instance: Instance, loads: tuple[ServiceLoad, ...]) -> int:
    """Send a report to all other owners and return the bytes sent."""
    path = instance.path
    local_name = path.view.myself.name
    report = LoadReport(local_name, path.active.version, loads)
    return sum(
        instance.outbox.send(report, (member.address, member.control_port))
        for member in owner_members(path.view)
        if member.name != local_name
    )
