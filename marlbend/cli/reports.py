"""Build what the tool prints, as typed reports."""

import asyncio
import sys
from collections.abc import Iterator, Sequence

import msgspec

from marlbend.config import Configuration
from marlbend.errors import MarlbendError
from marlbend.members import Member
from marlbend.platform import Platform
from marlbend.platform.instances import INSTANCES_PATH, decode_instances
from marlbend.wire.messages import Status
from marlbend.wire.rpc import call_status

__all__ = (
    'CheckReport',
    'ErrorReport',
    'PublishReport',
    'StatusReport',
    'VersionReport',
    'collect_status',
    'print_report',
    'report_check',
    'report_publish',
)


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
        yield (
            f'published version {self.version}: {self.services} services, '
            f'{self.upstreams} upstreams'
        )


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


Report = VersionReport | CheckReport | PublishReport | StatusReport


def print_report(report: Report, as_json: bool) -> None:
    """Print a report as one JSON object or as lines of text."""
    if as_json:
        sys.stdout.write(f'{msgspec.json.encode(report).decode()}\n')
    else:
        sys.stdout.writelines(f'{line}\n' for line in report.lines())


def report_check(document: Configuration) -> CheckReport:
    """Count what was checked."""
    return CheckReport(len(document.services), _count_upstreams(document))


def report_publish(version: int, document: Configuration) -> PublishReport:
    """Count what was published."""
    return PublishReport(
        version, len(document.services), _count_upstreams(document)
    )


async def collect_status(platform: Platform, wanted: str) -> StatusReport:
    """Ask the instances that the platform lists, or the one wanted."""
    listed = decode_instances(await platform.read(*INSTANCES_PATH))
    members = [
        member for member in listed if not wanted or member.name == wanted
    ]
    answers = await asyncio.gather(*map(_ask, members))
    silent = _silent_names(members, answers)
    found = tuple(answer for answer in answers if answer is not None)
    return StatusReport(found, tuple(silent))


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
    yield (
        f'{status.name} ({status.domain}) {status.state}: '
        f'configuration {status.config_version}, view {status.view_version}'
    )
    yield (
        f'  flows {status.open_flows} open, {status.half_open_flows} '
        f'half-open, {status.closing_flows} closing'
    )
    yield (
        f'  decision {status.decision_p50_us:.1f} us median, '
        f'{status.decision_p99_us:.1f} us p99; '
        f'relay share {status.relay_share:.0%}'
    )
    yield (
        f'  control {status.control_bytes_sent} bytes sent, '
        f'{status.control_bytes_received} received; '
        f'memory {status.resident_bytes >> 20} MB'
    )
    counts = ' '.join(
        f'{name}={count}' for name, count in status.packets.items()
    )
    yield f'  packets {counts or "none"}'
    members = ' '.join(
        f'{member.name}={member.state}:{member.home_share:.0%}'
        for member in status.members
    )
    yield f'  members {members}'
