"""Explain where an instance would send a new flow now, without sending it.

Nothing is recorded: no verdict is counted and no SYN is held.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.node import GossipNode
from marlbend.http import RequestHandler, ServerResponse
from marlbend.steering.documents import RouteSpec
from marlbend.steering.failure_detection import count_busy
from marlbend.steering.placement.admission import (
    VerdictKind,
    allowed_wait,
    decide,
    find_limit,
)
from marlbend.steering.placement.choice import explain_candidates, list_usable
from marlbend.steering.placement.completion import (
    Candidate,
    expected_completion,
)
from marlbend.steering.placement.method import (
    PlacementMethod,
    places_by_work,
)
from marlbend.steering.placement.opening import (
    NO_UPSTREAM,
    make_admission_request,
    set_completion,
)
from marlbend.steering.placement.service_times import expected_seconds
from marlbend.steering.routes import pick_service
from marlbend.steering.state import Steering
from marlbend.validation import pack_address
from marlbend.wire import EXPLAIN_PATH
from marlbend.wire.status import CandidateStatus, FlowExplanation

__all__ = ('explain_flow', 'make_explain_handler')

# A service may have thousands of upstreams.
MAX_CANDIDATES: Final = 20
_OK: Final = 200
_BAD_REQUEST: Final = 400
_NOT_FOUND: Final = 404
_PORT_BYTES: Final = 2
_MILLISECONDS: Final = 1000
_ANY_CALLER: Final = '0.0.0.0'


def make_explain_handler(node: GossipNode) -> dict[str, RequestHandler]:
    """Return the HTTP handler that explains placements, by its path."""

    def respond(query: str) -> ServerResponse:
        try:
            endpoint, caller = _parse_query(query)
        except (ValueError, OverflowError):
            return _BAD_REQUEST, 'text/plain', b''
        node.steering.now = steady_seconds()
        explanation = explain_flow(node.steering, endpoint, caller)
        if explanation is None:
            return _NOT_FOUND, 'text/plain', b''
        return _OK, 'application/json', msgspec.json.encode(explanation)

    return {EXPLAIN_PATH: respond}


def explain_flow(
    steering: Steering, endpoint: bytes, caller: bytes
) -> FlowExplanation | None:
    """Explain a flow of a caller to a route, `None` without the route.

    Where the route leads to several services, the caller's address and port
    zero choose one of them.  Only the first candidates are described.
    """
    route = steering.routes.by_endpoint.get(endpoint)
    if route is None:
        return None
    flow_key = b''.join((caller, bytes(_PORT_BYTES), endpoint))
    service = pick_service(route.spec, flow_key)
    candidates = explain_candidates(steering, service, endpoint)
    cost_seconds = expected_seconds(steering.estimates.service_times, endpoint)
    explanation = FlowExplanation(
        route=route.spec.name,
        service=service,
        method=_find_method(steering, service),
        placement=steering.local_instance.placement.value,
        verdict=VerdictKind.REFUSE.value,
        reason=NO_UPSTREAM,
        cost_ms=round(cost_seconds * _MILLISECONDS, 1),
        target_ms=round(route.spec.target_seconds * _MILLISECONDS, 1),
        candidates=tuple(_describe(steering, candidates, cost_seconds)),
    )
    if not candidates:
        return explanation
    completion_seconds = expected_completion(candidates[0], cost_seconds)
    return _add_verdict(
        steering, route.spec, flow_key, (explanation, completion_seconds)
    )


def _find_method(steering: Steering, service: str) -> str:
    """Return the method in force for a service now."""
    if places_by_work(steering, service):
        return PlacementMethod.WORK.value
    return PlacementMethod.REQUESTS.value


def _add_verdict(
    steering: Steering,
    spec: RouteSpec,
    flow_key: bytes,
    placed: tuple[FlowExplanation, float],
) -> FlowExplanation:
    explanation, completion_seconds = placed
    usable = list_usable(steering, explanation.service)
    request = make_admission_request(steering, flow_key, spec, usable)
    set_completion(steering, request, completion_seconds)
    admission = steering.estimates.admission
    now = steering.now
    verdict = decide(admission, request, now)
    limit = find_limit(admission, request.service, request.priority_steps, now)
    allowed_seconds = allowed_wait(admission, request, now)
    return msgspec.structs.replace(
        explanation,
        verdict=verdict.kind.value,
        reason=verdict.reason,
        limit=round(limit, 3),
        allowed_ms=round(allowed_seconds * _MILLISECONDS, 1),
        flow_ms=round(request.flow_seconds * _MILLISECONDS, 1),
    )


def _describe(
    steering: Steering, candidates: list[Candidate], cost_seconds: float
) -> Iterator[CandidateStatus]:
    for candidate in candidates[:MAX_CANDIDATES]:
        upstream = steering.pool.by_name[candidate.name]
        expected = expected_completion(candidate, cost_seconds)
        yield CandidateStatus(
            name=candidate.name,
            domain=upstream.entry.domain,
            expected_ms=round(expected * _MILLISECONDS, 1),
            work_ms=round(candidate.work_seconds * _MILLISECONDS, 1),
            idle_ms=round(candidate.idle_load * _MILLISECONDS, 1),
            slots=candidate.slots,
            busy=count_busy(upstream, steering.now),
            slowdown=round(candidate.slowdown, 2),
            is_cold=candidate.is_cold,
            is_remote=candidate.is_remote,
        )


def _parse_query(query: str) -> tuple[bytes, bytes]:
    """Return the endpoint of a route and a caller; raise `ValueError`."""
    pairs = (field.partition('=') for field in query.split('&'))
    fields = {name: text for name, _, text in pairs}
    caller = pack_address(fields.get('caller', _ANY_CALLER))
    return _pack_endpoint(fields.get('endpoint', '')), caller


def _pack_endpoint(text: str) -> bytes:
    """Return the port and address of a route as packets have them."""
    address, _, port = text.rpartition(':')
    return int(port).to_bytes(_PORT_BYTES) + pack_address(address)
