"""Ask an instance where it would send a new flow now, and why."""

from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend import error_messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.http import ClientResponse, Connection
from marlbend.validation import VALUE_ERRORS, is_address
from marlbend.wire import EXPLAIN_PATH
from marlbend.wire.status import CandidateStatus, FlowExplanation

__all__ = ('ExplainReport', 'fetch_explanation')

TIMEOUT_SECONDS: Final = 2.0
_OK: Final = 200
_NOT_FOUND: Final = 404
_VERDICT_TEMPLATE: Final = (
    '{route} to {service}, by {method}{setting}: {verdict} ({reason}); cost '
    '{cost_ms} ms, flow {flow_ms} ms, target {target_ms} ms, '
    'allowed {allowed_ms} ms, '
    'limit {limit}'
)
_CANDIDATE_TEMPLATE: Final = (
    '  {name} in {domain}: {expected_ms} ms = (work {work_ms} + idle '
    '{idle_ms}) / {slots} slots + cost, x {slowdown}{notes}; '
    '{busy} in progress'
)


class ExplainReport(msgspec.Struct, frozen=True):
    """Report the candidates for a flow in order, and the verdict."""

    explanation: FlowExplanation

    def lines(self) -> Iterator[str]:
        """Yield the report as lines of text."""
        fields = msgspec.structs.asdict(self.explanation)
        setting = _format_setting(self.explanation)
        yield _VERDICT_TEMPLATE.format(**fields, setting=setting)
        for candidate in self.explanation.candidates:
            yield _CANDIDATE_TEMPLATE.format(
                **msgspec.structs.asdict(candidate),
                notes=_format_notes(candidate),
            )


async def fetch_explanation(
    control: tuple[str, int], endpoint: str, caller: str
) -> ExplainReport:
    """Ask an instance about a route, and a caller if it is not empty.

    Raise USAGE if the address is malformed or has no route, and
    INSTANCE_UNREACHABLE if the instance does not explain flows.
    """
    query = f'endpoint={endpoint}'
    if caller:
        query = f'{query}&caller={caller}'
    response = await _request(control, f'{EXPLAIN_PATH}?{query}')
    if response.status != _OK:
        raise MarlbendError(
            ErrorKind.USAGE, _explain_status(response.status, endpoint, caller)
        )
    try:
        explanation = msgspec.json.decode(response.body, type=FlowExplanation)
    except VALUE_ERRORS as error:
        raise _unreachable(control) from error
    return ExplainReport(explanation)


async def _request(control: tuple[str, int], path: str) -> ClientResponse:
    connection = Connection(control)
    try:
        return await connection.request('GET', path, TIMEOUT_SECONDS)
    except MarlbendError as error:
        raise _unreachable(control) from error
    finally:
        connection.close()


def _explain_status(status: int, endpoint: str, caller: str) -> str:
    # An instance of a former release does not have the path, and answers as if
    # there were no route.
    if status == _NOT_FOUND:
        return error_messages.NO_ROUTE.format(endpoint=endpoint)
    wrong = caller if caller and not is_address(caller) else endpoint
    return error_messages.NOT_AN_ENDPOINT.format(text=wrong)


def _unreachable(control: tuple[str, int]) -> MarlbendError:
    return MarlbendError(
        ErrorKind.INSTANCE_UNREACHABLE,
        error_messages.INSTANCE_UNREACHABLE.format(
            name='<unknown>', target=f'{control[0]}:{control[1]}'
        ),
    )


def _format_setting(explanation: FlowExplanation) -> str:
    """Return the setting in brackets if it is not the method in force."""
    if explanation.placement in {'', explanation.method}:
        return ''
    return f' ({explanation.placement})'


def _format_notes(candidate: CandidateStatus) -> str:
    cold = ', cold' if candidate.is_cold else ''
    return f'{cold}, in another domain' if candidate.is_remote else cold
