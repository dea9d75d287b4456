"""Define, build and print the reports of the tool."""

import asyncio
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Final, Protocol

import msgspec

from marlbend.config import Configuration
from marlbend.errors import MarlbendError
from marlbend.ownership.instances import INSTANCES_PATH, decode_instances
from marlbend.ownership.members import Member
from marlbend.ownership.wire.messages import MemberStatus, Status
from marlbend.ownership.wire.rpc import call_status
from marlbend.platform.client import PlatformClient

__all__ = (
    'CheckReport',
    'DrainReport',
    'ErrorReport',
    'FlowsReport',
    'PublishReport',
    'StatusReport',
    'VersionReport',
    'collect_flows',
    'collect_status',
    'print_json',
    'print_report',
    'report_check',
    'report_publish',
)


_BYTES_PER_MEGABYTE: Final = 1_048_576
_STATUS_TEMPLATES: Final = (
    '{name} ({domain}) {state}: configuration {config_version}, '
    'membership view {view_version}',
    '  flows {open_flows} open, {half_open_flows} half-open, '
    '{closing_flows} closing, {flows_taken} received from other owners; '
    'relay share {relay_share:.0%}',
    '  decision {decision_p50_us:.1f} us median, {decision_p99_us:.1f} us p99',
    '  control {control_bytes_sent} bytes sent, '
    '{control_bytes_received} received, {control_malformed} malformed, '
    '{control_foreign} foreign messages; memory {resident_megabytes:.0f} MB',
)


_MEMBER_TEMPLATE: Final = '{name}={state}:{home_share:.0%}'


class ErrorReport(msgspec.Struct, frozen=True):
    """Report why a command failed."""

    error: str
    text: str
    problems: tuple[str, ...]


class VersionReport(msgspec.Struct, frozen=True):
    """Report the version of the program."""

    version: str

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""
        yield f'marlbend {self.version}'


class CheckReport(msgspec.Struct, frozen=True):
    """Report the numbers of services and upstreams in valid files."""

    services: int
    upstreams: int

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""
        yield f'{self.services} services, {self.upstreams} upstreams: valid'


class PublishReport(msgspec.Struct, frozen=True):
    """Report the published version and what it contains."""

    version: int
    services: int
    upstreams: int

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""
        yield f'published version {self.version}'
        yield f'services {self.services}, upstreams {self.upstreams}'


class StatusReport(msgspec.Struct, frozen=True):
    """Report the status of each instance that responded."""

    instances: tuple[Status, ...]
    unreachable: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the report as text, with the details of each instance."""
        for status in self.instances:
            yield from _format_status(status)
        for name in self.unreachable:
            yield f'{name}: no response'


class DrainReport(msgspec.Struct, frozen=True):
    """Report whether an upstream drains now, and since which version."""

    version: int
    service: str
    upstream: str
    draining: bool

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""
        verb = 'is draining' if self.draining else 'accepts new flows again'
        yield f'{self.service}/{self.upstream} {verb}'
        yield f'published version {self.version}'


class FlowsReport(msgspec.Struct, frozen=True):
    """Report the open flows by upstream, as counted by their owners.

    `departing` counts the overrides, which are flows that are not on their
    default upstream, and `copies` the replicas held for other owners.
    """

    open_by_upstream: dict[str, int]
    departing: int
    copies: int
    unreachable: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the report as text, one line per upstream."""
        for name, flows in sorted(self.open_by_upstream.items()):
            yield f'{name}: {flows}'
        yield f'overrides {self.departing}, replicas {self.copies}'
        for instance in self.unreachable:
            yield f'{instance}: no response'


class Report(Protocol):
    """A report that can be printed as JSON or as lines of text."""

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""


def print_report(report: Report, as_json: bool) -> None:
    """Print a report as one JSON object or as lines of text."""
    if as_json:
        print_json(report)
    else:
        sys.stdout.writelines(f'{line}\n' for line in report.lines())


def print_json(report: object) -> None:
    """Print a report as one JSON object on a single line."""
    encoded = msgspec.json.encode(report).decode()
    sys.stdout.write(f'{encoded}\n')


def report_check(document: Configuration) -> CheckReport:
    """Count the services and upstreams of a valid configuration."""
    return CheckReport(len(document.services), _count_upstreams(document))


def report_publish(version: int, document: Configuration) -> PublishReport:
    """Count the services and upstreams of a published configuration."""
    return PublishReport(
        version, len(document.services), _count_upstreams(document)
    )


async def collect_status(
    platform: PlatformClient, wanted_name: str
) -> StatusReport:
    """Fetch the status of the listed instances, or only of the one wanted."""
    listed = decode_instances(await platform.read(*INSTANCES_PATH))
    members = [
        member
        for member in listed
        if not wanted_name or member.name == wanted_name
    ]
    statuses = await asyncio.gather(*map(_fetch_status, members))
    unreachable = _find_unreachable(members, statuses)
    reachable = tuple(status for status in statuses if status is not None)
    return StatusReport(reachable, tuple(unreachable))


async def collect_flows(platform: PlatformClient, service: str) -> FlowsReport:
    """Sum up the open flows by upstream, for one service or for all."""
    report = await collect_status(platform, '')
    all_flows: Counter[str] = Counter()
    for each in report.instances:
        all_flows.update(each.flows_by_upstream)
    open_by_upstream = {
        name: flows
        for name, flows in all_flows.items()
        if not service or name.startswith(f'{service}/')
    }
    return FlowsReport(
        open_by_upstream,
        sum(status.departing_flows for status in report.instances),
        sum(status.replicas for status in report.instances),
        report.unreachable,
    )


async def _fetch_status(member: Member) -> Status | None:
    try:
        return await call_status(member.address, member.admin_port, member.name)
    except MarlbendError:
        return None


def _find_unreachable(
    members: Sequence[Member],
    statuses: Sequence[Status | None],
) -> Iterator[str]:
    for member, status in zip(members, statuses, strict=True):
        if status is None:
            yield member.name


def _count_upstreams(document: Configuration) -> int:
    return sum(len(spec.upstreams) for spec in document.services)


def _format_status(status: Status) -> Iterator[str]:
    counts = ' '.join(
        f'{name}={count}' for name, count in status.packets.items()
    )
    members = ' '.join(map(_format_member, status.members))
    fields = msgspec.structs.asdict(status)
    fields['resident_megabytes'] = status.resident_bytes / _BYTES_PER_MEGABYTE
    for template in _STATUS_TEMPLATES:
        yield template.format(**fields)
    yield f'  packets {counts}'
    yield f'  members {members}'


def _format_member(member: MemberStatus) -> str:
    return _MEMBER_TEMPLATE.format(**msgspec.structs.asdict(member))
