"""Ask a fleet that steers by cookies, and follow a request through its logs."""

import asyncio
import sys
from collections import Counter
from collections.abc import Iterable, Iterator
from contextlib import suppress
from typing import Final

import msgspec

from marlbend import messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.http import ClientResponse, Connection
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

ASK_SECONDS: Final = 2.0
_OK: Final = 200
_FLOW: Final = 'flow'
_SPREAD_TEMPLATE: Final = (
    '{service}/{name} in {domain}: {state}, {flows} flows, {busy} requests'
)
_STATUS_TEMPLATE: Final = (
    '{name} ({domain}) {state}: configuration {configuration}, '
    '{routes} routes, {live} members{reads}'
)
_TOPIC_TEMPLATE: Final = '  {name} revision {revision}, {age_seconds:.1f} s old'

_Names = tuple[str, ...]


class FleetReport(msgspec.Struct, frozen=True):
    """Tell the status of each instance that answered."""

    instances: tuple[CookieStatus, ...]
    unreachable: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the report for a person."""
        for status in self.instances:
            yield from _status_lines(status)
        for name in self.unreachable:
            yield f'{name}: no answer'


class SpreadReport(msgspec.Struct, frozen=True):
    """Tell how flows and requests are spread over the upstreams."""

    upstreams: tuple[UpstreamStatus, ...]
    unreachable: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the report for a person."""
        for each in self.upstreams:
            yield _SPREAD_TEMPLATE.format(**msgspec.structs.asdict(each))
        for name in self.unreachable:
            yield f'{name}: no answer'


class DomainsReport(msgspec.Struct, frozen=True):
    """Tell which failure domains are out or cut off, by instance.

    `waiting` names the instances that have not heard yet what others have.
    """

    domains_out: dict[str, tuple[str, ...]]
    domains_cut: dict[str, tuple[str, ...]]
    waiting: tuple[str, ...]

    def lines(self) -> Iterator[str]:
        """Yield the report for a person."""
        for domain, names in self.domains_out.items():
            yield f'{domain} is out at {len(names)} instances'
        for cut, witnesses in self.domains_cut.items():
            yield f'{cut} seems cut off from {len(witnesses)} instances'
        for waiting in self.waiting:
            yield f'{waiting}: differs from the others'
        if not self.domains_out and not self.domains_cut:
            yield 'every domain is in'


class TraceReport(msgspec.Struct, frozen=True):
    """Tell the decisions on a request and its flow, in order."""

    request: str
    flows: tuple[str, ...]
    spans: tuple[dict[str, object], ...]

    def lines(self) -> Iterator[str]:
        """Yield the report for a person, a line for each hop."""
        for span in self.spans:
            yield f'{span["at"]} {span["instance"]} {span["text"]}'


async def collect_fleet(control: tuple[str, int]) -> FleetReport:
    """Ask one instance, and through it all that it knows.

    Raise INSTANCE_UNREACHABLE if the first one does not answer.
    """
    first = await _ask(control)
    if first is None:
        raise MarlbendError(
            ErrorKind.INSTANCE_UNREACHABLE,
            messages.INSTANCE_UNREACHABLE.format(
                name='given', target=f'{control[0]}:{control[1]}'
            ),
        )
    others = [each for each in first.members if each.name != first.name]
    answers = await asyncio.gather(*(_ask(each.endpoint) for each in others))
    silent = (
        each.name
        for each, answer in zip(others, answers, strict=True)
        if answer is None
    )
    found = [first, *(answer for answer in answers if answer is not None)]
    found.sort(key=_name_of)
    return FleetReport(tuple(found), tuple(silent))


async def collect_spread(
    control: tuple[str, int],
    service: str,
) -> SpreadReport:
    """Add up the flows that the instances see, for one service or for all."""
    fleet = await collect_fleet(control)
    flows: Counter[str] = Counter()
    latest: dict[str, UpstreamStatus] = {}
    for each in fleet.instances:
        for upstream in each.upstreams:
            flows[upstream.name] += upstream.flows
            latest[upstream.name] = upstream
    added = tuple(
        msgspec.structs.replace(found, flows=flows[name])
        for name, found in sorted(latest.items())
        if service in {'', found.service}
    )
    return SpreadReport(added, fleet.unreachable)


async def collect_domains(control: tuple[str, int]) -> DomainsReport:
    """Compare what the instances hold of the failure domains."""
    fleet = await collect_fleet(control)
    held = {each.domains_out for each in fleet.instances}
    known = {domain for domains in held for domain in domains}
    return DomainsReport(
        _witnesses((each.name, each.domains_out) for each in fleet.instances),
        _witnesses((each.name, each.domains_cut) for each in fleet.instances),
        tuple(
            each.name
            for each in fleet.instances
            if set(each.domains_out) != known
        ),
    )


def trace_request(request: str, files: tuple[str, ...]) -> TraceReport:
    """Find the decisions on a request and on the flows that carried it.

    The lines are those of any instances; standard input if there is no file.
    """
    decisions = [each for each in _read_lines(files) if _FLOW in each]
    flows = {
        str(each[_FLOW])
        for each in decisions
        if request in {each.get('request'), each[_FLOW]}
    }
    spans = [each for each in decisions if each[_FLOW] in flows]
    spans.sort(key=_time_of)
    return TraceReport(request, tuple(sorted(flows)), tuple(spans))


async def _ask(endpoint: tuple[str, int]) -> CookieStatus | None:
    connection = Connection(endpoint)
    try:
        return _decode(
            await connection.request('GET', STATUS_PATH, ASK_SECONDS)
        )
    except (MarlbendError, msgspec.DecodeError):
        # The report lists the instance as unreachable.
        return None
    finally:
        connection.close()


def _decode(answer: ClientResponse) -> CookieStatus | None:
    if answer.status != _OK:
        return None
    return msgspec.json.decode(answer.body, type=CookieStatus)


def _read_lines(files: tuple[str, ...]) -> Iterator[dict[str, object]]:
    if not files:
        yield from _decode_lines(sys.stdin)
    for path in files:
        try:
            with open(path, encoding='utf-8', errors='replace') as log:
                yield from _decode_lines(log)
        except OSError as error:
            raise MarlbendError(
                ErrorKind.FILE_UNREADABLE,
                messages.FILE_UNREADABLE.format(
                    path=path, reason=error.strerror
                ),
            ) from None


def _decode_lines(lines: Iterable[str]) -> Iterator[dict[str, object]]:
    for line in lines:
        # Collectors put a time and a name in front of each line.
        start = line.find('{')
        # Lines of other programs are none of ours.
        with suppress(msgspec.DecodeError):
            yield msgspec.json.decode(line[start:], type=dict[str, object])


def _witnesses(
    held: Iterable[tuple[str, _Names]],
) -> dict[str, _Names]:
    names_by_domain: dict[str, _Names] = {}
    for name, domains in held:
        for domain in domains:
            earlier = names_by_domain.get(domain, ())
            names_by_domain[domain] = (*earlier, name)
    return names_by_domain


def _status_lines(status: CookieStatus) -> Iterator[str]:
    figures = msgspec.structs.asdict(status)
    figures['state'] = 'ready' if status.ready else 'not ready'
    figures['reads'] = ', reads the platform' if status.reader else ''
    figures['live'] = len(status.members)
    yield _STATUS_TEMPLATE.format(**figures)
    for name, topic in status.topics.items():
        parts = msgspec.structs.asdict(topic)
        yield _TOPIC_TEMPLATE.format(name=name, **parts)
    counts = ' '.join(
        f'{outcome}={count}'
        for outcome, count in status.packets.items()
        if count
    )
    yield f'  packets {counts}'


def _name_of(status: CookieStatus) -> str:
    return status.name


def _time_of(line: dict[str, object]) -> int:
    moment = line.get('at')
    return moment if isinstance(moment, int) else 0
