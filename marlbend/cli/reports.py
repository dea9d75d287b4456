"""Build what the tool prints, as typed reports."""

import asyncio
import sys
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Final, Protocol

import msgspec

from marlbend.config import Configuration
from marlbend.errors import MarlbendError
from marlbend.homes.instances import INSTANCES_PATH, decode_instances
from marlbend.homes.members import Member
from marlbend.homes.wire.messages import MemberStatus, Status
from marlbend.homes.wire.rpc import call_status
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


_MEGABYTE: Final = 1_048_576
_STATUS_TEMPLATES: Final = (
    '{name} ({domain}) {state}: configuration {config_version}, '
    'view {view_version}',
    '  flows {open_flows} open, {half_open_flows} half-open, '
    '{closing_flows} closing, {flows_taken} taken from other homes; '
    'relay share {relay_share:.0%}',
    '  decision {decision_p50_us:.1f} us median, {decision_p99_us:.1f} us p99',
    '  control {control_bytes_sent} bytes sent, '
    '{control_bytes_received} received, {control_malformed} malformed, '
    '{control_foreign} foreign messages; memory {resident_megabytes:.0f} MB',
)


_MEMBER_TEMPLATE: Final = '{name}={state}:{home_share:.0%}'


class ErrorReport(msgspec.Struct, frozen=True):
    """Tell why a verb failed."""

    error: str
    text: str
    problems: tuple[str, ...]


class VersionReport(msgspec.Struct, frozen=True):
    """Tell the version of the program."""

    version: str

    def lines(self) -> Iterator[str]:
        """Yield the report for a person."""
        yield f'marlbend {self.version}'


class CheckReport(msgspec.Struct, frozen=True):
    """Tell what the checked files hold."""

    services: int
    upstreams: int

    def lines(self) -> Iterator[str]:
        """Yield the report for a person."""
        yield f'{self.services} services, {self.upstreams} upstreams: correct'


class PublishReport(msgspec.Struct, frozen=True):
    """Tell the version that was published."""

    version: int
    services: int
    upstreams: int

    def lines(self) -> Iterator[str]:
        """Yield the report for a person."""
        yield f'published version {self.version}'
        yield f'services {self.services}, upstreams {self.upstreams}'


class StatusReport(msgspec.Struct, frozen=True):
    """Tell the status of each instance that answered."""

    instances: tuple[Status, ...]
    unreachable: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the report for a person, a line each and the details below."""
        for status in self.instances:
            yield from _status_lines(status)
        for name in self.unreachable:
            yield f'{name}: no answer'


class DrainReport(msgspec.Struct, frozen=True):
    """Tell what was drained, or no longer is, in which version."""

    version: int
    service: str
    upstream: str
    draining: bool

    def lines(self) -> Iterator[str]:
        """Yield the report for a person."""
        verb = 'drains' if self.draining else 'takes new flows again'
        yield f'{self.service}/{self.upstream} {verb}'
        yield f'published version {self.version}'


class FlowsReport(msgspec.Struct, frozen=True):
    """Tell the open flows by upstream, as the homes count them.

    `departing` are flows that are not on their default, `copies` those held
    for other homes.
    """

    open_by_upstream: dict[str, int]
    departing: int
    copies: int
    unreachable: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the report for a person, a line for each upstream."""
        for name, flows in sorted(self.open_by_upstream.items()):
            yield f'{name}: {flows}'
        yield f'departing {self.departing}, copies {self.copies}'
        for silent in self.unreachable:
            yield f'{silent}: no answer'


class Report(Protocol):
    """Say what a verb prints: itself as JSON, or lines of text."""

    def lines(self) -> Iterator[str]:
        """Yield the report for a person."""


def print_report(report: Report, as_json: bool) -> None:
    """Print a report as one JSON object or as lines of text."""
    if as_json:
        print_json(report)
    else:
        sys.stdout.writelines(f'{line}\n' for line in report.lines())


def print_json(report: object) -> None:
    """Print one JSON object on a line."""
    encoded = msgspec.json.encode(report).decode()
    sys.stdout.write(f'{encoded}\n')


def report_check(document: Configuration) -> CheckReport:
    """Count what was checked."""
    return CheckReport(len(document.services), _count_upstreams(document))


def report_publish(version: int, document: Configuration) -> PublishReport:
    """Count what was published."""
    return PublishReport(
        version, len(document.services), _count_upstreams(document)
    )


async def collect_status(platform: PlatformClient, wanted: str) -> StatusReport:
    """Ask the instances that the platform lists, or the one wanted."""
    listed = decode_instances(await platform.read(*INSTANCES_PATH))
    members = [
        member for member in listed if not wanted or member.name == wanted
    ]
    answers = await asyncio.gather(*map(_ask, members))
    silent = _silent_names(members, answers)
    found = tuple(answer for answer in answers if answer is not None)
    return StatusReport(found, tuple(silent))


async def collect_flows(platform: PlatformClient, service: str) -> FlowsReport:
    """Add up what the instances count, for one service or for all."""
    status = await collect_status(platform, '')
    opened: Counter[str] = Counter()
    for each in status.instances:
        opened.update(each.flows_by_upstream)
    wanted = {
        name: flows
        for name, flows in opened.items()
        if not service or name.startswith(f'{service}/')
    }
    return FlowsReport(
        wanted,
        sum(known.departing_flows for known in status.instances),
        sum(known.replicas for known in status.instances),
        status.unreachable,
    )


async def _ask(member: Member) -> Status | None:
    try:
        return await call_status(member.address, member.admin_port, member.name)
    except MarlbendError:
        return None


def _silent_names(
    members: Sequence[Member],
    answers: Sequence[Status | None],
) -> Iterator[str]:
    for member, answer in zip(members, answers, strict=True):
        if answer is None:
            yield member.name


def _count_upstreams(document: Configuration) -> int:
    return sum(len(spec.upstreams) for spec in document.services)


def _status_lines(status: Status) -> Iterator[str]:
    counts = ' '.join(
        f'{name}={count}' for name, count in status.packets.items()
    )
    members = ' '.join(map(_member_text, status.members))
    figures = msgspec.structs.asdict(status)
    figures['resident_megabytes'] = status.resident_bytes / _MEGABYTE
    for template in _STATUS_TEMPLATES:
        yield template.format(**figures)
    yield f'  packets {counts}'
    yield f'  members {members}'


def _member_text(member: MemberStatus) -> str:
    return _MEMBER_TEMPLATE.format(**msgspec.structs.asdict(member))
