"""Place, hold or refuse a new flow by outstanding work.

Gathers what admission control decides on, and carries out nothing: the caller
sends or resets the SYN.

Designed for more requests than the upstreams serve in time, see
`marlbend.steering.placement.admission`.
"""

from typing import Final, final

from marlbend.steering.documents import RouteSpec
from marlbend.steering.packet import Packet
from marlbend.steering.placement.admission import (
    NO_ROOM,
    AdmissionRequest,
    Verdict,
    VerdictKind,
    allowed_wait,
    decide,
    record_verdict,
)
from marlbend.steering.placement.choice import (
    choose_ejected,
    find_best,
    has_free_slot,
)
from marlbend.steering.placement.completion import (
    find_completion,
    find_idle_seconds,
)
from marlbend.steering.placement.held_flows import (
    find_deadline,
    find_next,
    hold,
    release,
)
from marlbend.steering.placement.route_activity import was_route_admitted
from marlbend.steering.placement.service_times import (
    expected_seconds,
    is_measured,
)
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = (
    'HOLD_CHECK_SECONDS',
    'NO_UPSTREAM',
    'Placement',
    'make_admission_request',
    'place_flow',
    'place_held_flow',
)

# How often it is checked whether a held SYN has capacity.
HOLD_CHECK_SECONDS: Final = 0.01
# The four bytes of the caller's address come first in the key of a flow.
CALLER_BYTES: Final = 4
NO_UPSTREAM: Final = 'no upstream'
BEHIND_OTHERS: Final = 'others wait'


@final
class Placement:
    """Hold the verdict on a new flow, and its upstream if it is admitted."""

    __slots__ = ('upstream', 'verdict')

    def __init__(self, upstream: Upstream | None, verdict: Verdict) -> None:
        """Set both."""
        self.upstream = upstream
        self.verdict = verdict


def place_flow(
    steering: Steering, packet: Packet, spec: RouteSpec, service: str
) -> Placement:
    """Decide on a SYN; hold it if the verdict says so.

    A SYN that has to wait but cannot be held is refused.
    """
    best = find_best(steering, service, packet.endpoint)
    if best is None:
        return Placement(None, Verdict(VerdictKind.REFUSE, NO_UPSTREAM))
    upstream, completion_seconds = best
    request = make_admission_request(
        steering, packet.flow_key, spec, upstream, completion_seconds
    )
    admission = steering.estimates.admission
    verdict = decide(admission, request, steering.now)
    if _is_behind_held_flow(steering, packet, request, verdict):
        verdict = Verdict(VerdictKind.HOLD, BEHIND_OTHERS)
    if verdict.kind is VerdictKind.HOLD and not _hold(
        steering, packet, request
    ):
        verdict = Verdict(VerdictKind.REFUSE, verdict.reason)
    if verdict.reason == NO_ROOM and spec.repeatable:
        return _place_at_ejected(steering, packet, spec, (request, verdict))
    record_verdict(admission, request, verdict, steering.now)
    return Placement(upstream, verdict)


def _place_at_ejected(
    steering: Steering,
    packet: Packet,
    spec: RouteSpec,
    refusal: tuple[AdmissionRequest, Verdict],
) -> Placement:
    """Try an ejected upstream before a refusal for lack of capacity.

    Upstreams that shed are ejected like those that fail.  If it fails, the
    caller repeats its idempotent request, as after a refusal.
    """
    request, verdict = refusal
    endpoint = spec.endpoint
    upstream = choose_ejected(steering, request.service, endpoint)
    if upstream is not None:
        other = make_admission_request(
            steering,
            packet.flow_key,
            spec,
            upstream,
            find_completion(
                steering,
                upstream,
                request.cost_seconds,
                find_idle_seconds(steering, request.service),
            ),
        )
        admission = steering.estimates.admission
        other_verdict = decide(admission, other, steering.now)
        if other_verdict.kind is VerdictKind.ADMIT:
            request, verdict = other, other_verdict
    record_verdict(steering.estimates.admission, request, verdict, steering.now)
    return Placement(upstream, verdict)


def place_held_flow(
    steering: Steering, packet: Packet, spec: RouteSpec, service: str
) -> Placement | None:
    """Decide again on a held SYN; return `None` while it has to wait.

    Only the next of all held flows may take free capacity.
    """
    held = steering.estimates.held_flows
    next_flow = find_next(held, steering.now)
    if next_flow is None or next_flow.syn.flow_key != packet.flow_key:
        return None
    placement = place_flow(steering, packet, spec, service)
    if placement.verdict.kind is VerdictKind.HOLD:
        return None
    release(held, packet.flow_key)
    return placement


def make_admission_request(
    steering: Steering,
    flow_key: bytes,
    spec: RouteSpec,
    upstream: Upstream,
    completion_seconds: float,
) -> AdmissionRequest:
    """Return what admission control has to know of a flow."""
    service = upstream.entry.service
    times = steering.estimates.service_times
    request = AdmissionRequest(service, spec.endpoint, flow_key[:CALLER_BYTES])
    lowest = steering.routes.lowest_priority_by_service.get(service, 0)
    request.target_seconds = spec.target_seconds
    request.priority_steps = max(lowest - spec.priority, 0)
    request.completion_seconds = completion_seconds
    request.cost_seconds = expected_seconds(times, spec.endpoint)
    request.is_measured = is_measured(times, spec.endpoint)
    request.has_free_slot = has_free_slot(steering, service)
    request.is_route_served = was_route_admitted(
        steering.estimates.admission.route_activity,
        spec.endpoint,
        steering.now,
    )
    # A second of the backlog is done in a second, so what exceeds the allowed
    # wait now fits after as long.
    request.room_seconds = max(
        completion_seconds
        - allowed_wait(steering.estimates.admission, request, steering.now),
        0,
    )
    return request


def _is_behind_held_flow(
    steering: Steering,
    packet: Packet,
    request: AdmissionRequest,
    verdict: Verdict,
) -> bool:
    """Return whether a flow would pass one that waits for the same capacity.

    A free slot is enough for both.
    """
    next_flow = find_next(steering.estimates.held_flows, steering.now)
    if next_flow is None or verdict.kind is not VerdictKind.ADMIT:
        return False
    if request.has_free_slot or not request.target_seconds:
        return False
    is_next = next_flow.syn.flow_key == packet.flow_key
    return not is_next and next_flow.priority_steps >= request.priority_steps


def _hold(
    steering: Steering, packet: Packet, request: AdmissionRequest
) -> bool:
    deadline = find_deadline(
        request.target_seconds, request.cost_seconds, steering.now
    )
    return hold(
        steering.estimates.held_flows,
        packet,
        deadline,
        steering.now,
        request.priority_steps,
    )
