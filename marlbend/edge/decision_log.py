"""Log each decision on a flow or a request."""

import socket
import struct
from collections.abc import Callable, Sequence
from types import MappingProxyType
from typing import Final

from marlbend.events import Event, emit
from marlbend.platform.header import find_request_id
from marlbend.steering.failure_detection import count_busy
from marlbend.steering.packet import Packet
from marlbend.steering.placement.method import keeps_estimates
from marlbend.steering.placement.outstanding_work import total_work
from marlbend.steering.state import Outcome, Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('format_flow', 'make_decision_logger')

_MILLISECONDS_PER_SECOND: Final = 1000
_PORTS: Final = struct.Struct('>HH')
_PORTS_OFFSET: Final = 4
_DESTINATION_OFFSET: Final = 8
_REASON_BY_OUTCOME: Final = MappingProxyType(
    {
        Outcome.REFUSED_NO_ROUTE: 'no route',
        Outcome.REFUSED_NO_UPSTREAM: 'no upstream accepts flows',
        Outcome.REFUSED_CROWD: 'the least loaded upstream is overloaded',
        Outcome.RESET_ENDED: 'the upstream ended',
        Outcome.RESET_SILENT: 'the upstream does not respond',
        Outcome.RESET_UNKNOWN: 'no upstream has this cookie',
    }
)

LogDecision = Callable[
    [Outcome, Packet, Upstream | None, Sequence[Upstream]], None
]


def make_decision_logger(steering_of: Callable[[], Steering]) -> LogDecision:
    """Return a function that logs decisions with the state they depend on."""

    def log_decision(
        outcome: Outcome,
        packet: Packet,
        upstream: Upstream | None,
        tried: Sequence[Upstream],
    ) -> None:
        steering = steering_of()
        flow = format_flow(packet.flow_key)
        reason = _find_reason(steering, outcome)
        if upstream is None:
            version = steering.routes.version
            emit(Event.FLOW_REFUSED, flow=flow, reason=reason, version=version)
        elif outcome is Outcome.FORWARDED:
            _log_request(packet, flow, upstream)
        elif reason:
            fields = _decision_fields(steering, upstream)
            emit(Event.FLOW_RESET, flow=flow, reason=reason, **fields)
        else:
            _log_opened_flow(steering, flow, upstream, tried)

    return log_decision


def _find_reason(steering: Steering, outcome: Outcome) -> str:
    """Return the reason of an outcome, that of admission control if it decided.

    It is empty for a flow that is opened or a request that is forwarded.
    """
    latest = steering.estimates.admission.latest
    is_refused = outcome is Outcome.REFUSED_CROWD
    if is_refused and latest and keeps_estimates(steering):
        return latest.reason
    return _REASON_BY_OUTCOME.get(outcome, '')


def format_flow(flow_key: bytes) -> str:
    """Format a flow key as `ADDRESS:PORT>ADDRESS:PORT`, the caller first."""
    caller_port, destination_port = _PORTS.unpack_from(flow_key, _PORTS_OFFSET)
    caller = socket.inet_ntoa(flow_key[:_PORTS_OFFSET])
    destination = socket.inet_ntoa(flow_key[_DESTINATION_OFFSET:])
    return f'{caller}:{caller_port}>{destination}:{destination_port}'


def _log_request(packet: Packet, flow: str, upstream: Upstream) -> None:
    request = find_request_id(packet)
    if request:
        emit(
            Event.REQUEST_FORWARDED,
            request=request,
            flow=flow,
            upstream=upstream.name,
        )


def _log_opened_flow(
    steering: Steering,
    flow: str,
    upstream: Upstream,
    tried: Sequence[Upstream],
) -> None:
    fields = _decision_fields(steering, upstream)
    if len(tried) > 1:
        earlier = tried[-2].name
        emit(Event.FLOW_REOPENED, flow=flow, earlier=earlier, **fields)
    else:
        emit(Event.FLOW_OPENED, flow=flow, **fields)


def _decision_fields(
    steering: Steering, upstream: Upstream
) -> dict[str, object]:
    """Return the state that decisions on an upstream depend on.

    `upstreams_age_ms` is the time since the list of upstreams was confirmed,
    `work_ms` the outstanding work of the upstream, both in milliseconds.
    """
    age = steering.now - steering.upstreams_confirmed_at
    fields: dict[str, object] = {
        'upstream': upstream.name,
        'service': upstream.entry.service,
        'domain': upstream.entry.domain,
        'busy': count_busy(upstream, steering.now),
        'silences': upstream.liveness.unanswered,
        'version': steering.routes.version,
        'upstreams_age_ms': int(age * _MILLISECONDS_PER_SECOND),
    }
    if keeps_estimates(steering):
        work_seconds = total_work(steering, upstream)
        fields['work_ms'] = int(work_seconds * _MILLISECONDS_PER_SECOND)
        fields['slowdown'] = round(upstream.work.slowdown, 2)
    return fields
