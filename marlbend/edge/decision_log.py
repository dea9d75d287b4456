"""Write the log line of each decision that touches a flow or a request."""

import socket
import struct
from collections.abc import Callable, Sequence
from types import MappingProxyType
from typing import Final

from marlbend.events import Event, emit
from marlbend.platform.header import find_request_id
from marlbend.steering.failure_detection import count_busy
from marlbend.steering.packet import Packet
from marlbend.steering.state import Outcome, Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('flow_name', 'make_teller')

_MILLISECONDS: Final = 1000
_PORTS: Final = struct.Struct('>HH')
_PORTS_START: Final = 4
_TARGET_START: Final = 8
_REASON_BY_OUTCOME: Final = MappingProxyType(
    {
        Outcome.REFUSED_NO_ROUTE: 'no route',
        Outcome.REFUSED_NO_UPSTREAM: 'no upstream accepts flows',
        Outcome.REFUSED_CROWD: 'every upstream has too much to do',
        Outcome.RESET_ENDED: 'the upstream ended',
        Outcome.RESET_SILENT: 'the upstream shows no sign of life',
        Outcome.RESET_UNKNOWN: 'no upstream has this cookie',
    }
)

Tell = Callable[[Outcome, Packet, Upstream | None, Sequence[Upstream]], None]


def make_teller(steering_of: Callable[[], Steering]) -> Tell:
    """Return the function that logs decisions with what decided them."""

    def tell(
        outcome: Outcome,
        packet: Packet,
        upstream: Upstream | None,
        tried: Sequence[Upstream],
    ) -> None:
        steering = steering_of()
        flow = flow_name(packet.flow_key)
        reason = _REASON_BY_OUTCOME.get(outcome, '')
        if upstream is None:
            version = steering.routes.version
            emit(Event.FLOW_REFUSED, flow=flow, reason=reason, version=version)
        elif outcome is Outcome.FORWARDED:
            _tell_request(packet, flow, upstream)
        elif reason:
            inputs = _describe(steering, upstream)
            emit(Event.FLOW_RESET, flow=flow, reason=reason, **inputs)
        else:
            _tell_opening(steering, flow, upstream, tried)

    return tell


def flow_name(flow: bytes) -> str:
    """Return both ends of a flow as `ADDRESS:PORT>ADDRESS:PORT`."""
    caller_port, target_port = _PORTS.unpack_from(flow, _PORTS_START)
    caller = socket.inet_ntoa(flow[:_PORTS_START])
    target = socket.inet_ntoa(flow[_TARGET_START:])
    return f'{caller}:{caller_port}>{target}:{target_port}'


def _tell_request(packet: Packet, flow: str, upstream: Upstream) -> None:
    request = find_request_id(packet)
    if request:
        emit(
            Event.REQUEST_SENT,
            request=request,
            flow=flow,
            upstream=upstream.name,
        )


def _tell_opening(
    steering: Steering,
    flow: str,
    upstream: Upstream,
    tried: Sequence[Upstream],
) -> None:
    inputs = _describe(steering, upstream)
    if len(tried) > 1:
        earlier = tried[-2].name
        emit(Event.FLOW_REOPENED, flow=flow, earlier=earlier, **inputs)
    else:
        emit(Event.FLOW_OPENED, flow=flow, **inputs)


def _describe(steering: Steering, upstream: Upstream) -> dict[str, object]:
    """Return what decisions on an upstream go by, with its age."""
    age = steering.now - steering.upstreams_confirmed_at
    return {
        'upstream': upstream.name,
        'service': upstream.entry.service,
        'domain': upstream.entry.domain,
        'busy': count_busy(upstream, steering.now),
        'silences': upstream.liveness.unanswered,
        'version': steering.routes.version,
        'upstreams_age_ms': int(age * _MILLISECONDS),
    }
