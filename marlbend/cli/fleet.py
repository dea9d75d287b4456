"""Query a fleet that steers by cookies, and trace requests in its logs."""

import asyncio
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import suppress
from typing import Final

import msgspec

from marlbend import error_messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.http import ClientResponse, Connection
from marlbend.validation import VALUE_ERRORS
from marlbend.wire import STATUS_PATH
from marlbend.wire.status import CookieStatus, UpstreamStatus

__all__ = (
    'DomainsReport',
    'FleetReport',
    'SpreadReport',
    'TraceReport',
    'collect_domains',
    'collect_fleet',
    'collect_spread',
    'trace_request',
)

STATUS_TIMEOUT_SECONDS: Final = 2.0
_OK: Final = 200
_READ_ERRORS: Final = (MarlbendError, *VALUE_ERRORS)
_FLOW_KEY: Final = 'flow'
_SPREAD_TEMPLATE: Final = (
    '{service}/{name} in {domain}: {state}, {flows} flows, {busy} requests'
)
_STATUS_TEMPLATE: Final = (
    '{name} ({domain}) {state}: configuration {configuration}, '
    '{routes} routes, {live} members{reads}'
)
_TOPIC_TEMPLATE: Final = (
    '  {name} era {era} revision {revision}, {age_seconds:.1f} s old'
)

_Names = tuple[str, ...]


class FleetReport(msgspec.Struct, frozen=True):
    """Report the status of each instance that responded."""

    instances: tuple[CookieStatus, ...]
    unreachable: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""
        for status in self.instances:
            yield from _format_status(status)
        for name in self.unreachable:
            yield f'{name}: no response'


class SpreadReport(msgspec.Struct, frozen=True):
    """Report how flows and requests are distributed over the upstreams."""

    upstreams: tuple[UpstreamStatus, ...]
    unreachable: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""
        for each in self.upstreams:
            yield _SPREAD_TEMPLATE.format(**msgspec.structs.asdict(each))
        for name in self.unreachable:
            yield f'{name}: no response'


class DomainsReport(msgspec.Struct, frozen=True):
    """Report which failure domains are out of service or partitioned.

    `domains_out` and `domains_cut` map a domain to the instances that report it
    as out of service or as partitioned.  `waiting` names the instances that do
    not report every domain that any instance reports as out of service.  After
    a domain has returned to service, these are the instances that know it.
    """

    domains_out: dict[str, tuple[str, ...]]
    domains_cut: dict[str, tuple[str, ...]]
    waiting: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""
        for domain, names in self.domains_out.items():
            yield f'{domain} is out of service at {len(names)} instances'
        for isolated, reporters in self.domains_cut.items():
            yield f'{isolated} seems partitioned at {len(reporters)} instances'
        for waiting in self.waiting:
            yield (
                f'{waiting}: does not report all the failure domains that '
                'others report as out of service'
            )
        if not self.domains_out and not self.domains_cut:
            yield 'every failure domain is in service'


class TraceReport(msgspec.Struct, frozen=True):
    """Report the decisions on a request and its flows, ordered by time."""

    request: str
    flows: tuple[str, ...]
    spans: tuple[dict[str, object], ...]

    def lines(self) -> Iterator[str]:
        """Yield the report as text, one line per decision."""
        for span in self.spans:
            yield f'{span["at"]} {span["instance"]} {span["text"]}'


async def collect_fleet(control: tuple[str, int]) -> FleetReport:
    """Fetch the status of one instance and of the members that it lists.

    Raise INSTANCE_UNREACHABLE if the first instance does not respond.
    """
    first = await _fetch_status(control)
    if first is None:
        raise MarlbendError(
            ErrorKind.INSTANCE_UNREACHABLE,
            error_messages.INSTANCE_UNREACHABLE.format(
                name='<unknown>', target=f'{control[0]}:{control[1]}'
            ),
        )
    others = [each for each in first.members if each.name != first.name]
    statuses = await asyncio.gather(
        *(_fetch_status(each.endpoint) for each in others)
    )
    unreachable = (
        each.name
        for each, status in zip(others, statuses, strict=True)
        if status is None
    )
    reachable = [first, *(status for status in statuses if status is not None)]
    reachable.sort(key=_get_name)
    return FleetReport(tuple(reachable), tuple(unreachable))


async def collect_spread(
    control: tuple[str, int],
    service: str,
) -> SpreadReport:
    """Sum up the flows by upstream, for one service or for all.

    The other fields are those that one instance reports.  They are not summed:
    `busy` already includes what the other instances reported to it, and `state`
    is its own decision.
    """
    fleet = await collect_fleet(control)
    flows: Counter[str] = Counter()
    status_by_name: dict[str, UpstreamStatus] = {}
    for each in fleet.instances:
        for upstream in each.upstreams:
            flows[upstream.name] += upstream.flows
            status_by_name[upstream.name] = upstream
    totals = tuple(
        msgspec.structs.replace(status, flows=flows[name])
        for name, status in sorted(status_by_name.items())
        if service in {'', status.service}
    )
    return SpreadReport(totals, fleet.unreachable)


async def collect_domains(control: tuple[str, int]) -> DomainsReport:
    """Compare the states of failure domains that the instances report."""
    fleet = await collect_fleet(control)
    reported = {each.domains_out for each in fleet.instances}
    all_domains_out = {domain for domains in reported for domain in domains}
    return DomainsReport(
        _reporters_by_domain(
            (each.name, each.domains_out) for each in fleet.instances
        ),
        _reporters_by_domain(
            (each.name, each.domains_cut) for each in fleet.instances
        ),
        tuple(
            each.name
            for each in fleet.instances
            if set(each.domains_out) != all_domains_out
        ),
    )


def trace_request(request: str, files: tuple[str, ...]) -> TraceReport:
    """Find the decisions on a request and on the flows that carried it.

    The files may hold log lines of any instances.  Without files, read standard
    input.
    """
    decisions = [each for each in _read_log_lines(files) if _FLOW_KEY in each]
    flows = {
        str(each[_FLOW_KEY])
        for each in decisions
        if request in {each.get('request'), each[_FLOW_KEY]}
    }
    spans = [each for each in decisions if each[_FLOW_KEY] in flows]
    spans.sort(key=_get_timestamp)
    return TraceReport(request, tuple(sorted(flows)), tuple(spans))


async def _fetch_status(endpoint: tuple[str, int]) -> CookieStatus | None:
    connection = Connection(endpoint)
    try:
        return _decode_status(
            await connection.request('GET', STATUS_PATH, STATUS_TIMEOUT_SECONDS)
        )
    except _READ_ERRORS:
        # The caller reports the instance as unreachable.
        return None
    finally:
        connection.close()


def _decode_status(response: ClientResponse) -> CookieStatus | None:
    if response.status != _OK:
        return None
    return msgspec.json.decode(response.body, type=CookieStatus)


def _read_log_lines(files: tuple[str, ...]) -> Iterator[dict[str, object]]:
    if not files:
        yield from _decode_log_lines(sys.stdin)
    for path in files:
        try:
            with open(path, encoding='utf-8', errors='replace') as log:
                yield from _decode_log_lines(log)
        except OSError as error:
            raise MarlbendError(
                ErrorKind.FILE_UNREADABLE,
                error_messages.FILE_UNREADABLE.format(
                    path=path, reason=error.strerror
                ),
            ) from None


def _decode_log_lines(lines: Iterable[str]) -> Iterator[dict[str, object]]:
    for line in lines:
        # Log collectors may prefix each line with a time and a name.
        start = line.find('{')
        # Skip lines of other programs.
        with suppress(msgspec.DecodeError):
            yield msgspec.json.decode(line[start:], type=dict[str, object])


def _reporters_by_domain(
    reported: Iterable[tuple[str, _Names]],
) -> dict[str, _Names]:
    names_by_domain: dict[str, _Names] = {}
    for name, domains in reported:
        for domain in domains:
            names = names_by_domain.get(domain, ())
            names_by_domain[domain] = (*names, name)
    return names_by_domain


def _format_status(status: CookieStatus) -> Iterator[str]:
    fields = msgspec.structs.asdict(status)
    fields['state'] = 'ready' if status.ready else 'not ready'
    fields['reads'] = ', reads the platform' if status.reader else ''
    fields['live'] = len(status.members)
    yield _STATUS_TEMPLATE.format(**fields)
    for name, topic in status.topics.items():
        topic_fields = msgspec.structs.asdict(topic)
        yield _TOPIC_TEMPLATE.format(name=name, **topic_fields)
    counts = ' '.join(
        f'{outcome}={count}'
        for outcome, count in status.packets.items()
        if count
    )
    yield f'  packets {counts}'


def _get_name(status: CookieStatus) -> str:
    return status.name


def _get_timestamp(line: dict[str, object]) -> int:
    timestamp = line.get('at')
    return timestamp if isinstance(timestamp, int) else 0
