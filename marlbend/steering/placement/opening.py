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
    believes_free_slots,
    decide,
    is_limited,
    record_verdict,
)
from marlbend.steering.placement.choice import (
    choose_ejected,
    find_best,
    has_free_slot,
    list_usable,
)
from marlbend.steering.placement.completion import (
    find_completion,
    find_idle_seconds,
)
from marlbend.steering.placement.flow_costs import find_flow_seconds
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
from marlbend.steering.placement.verdicts import WAIT
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = (
    'HOLD_CHECK_SECONDS',
    'NO_UPSTREAM',
    'Placement',
    'make_admission_request',
    'place_flow',
    'place_held_flow',
    'record_expired_hold',
    'set_completion',
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
    usable = list_usable(steering, service)
    if not usable:
        return Placement(None, Verdict(VerdictKind.REFUSE, NO_UPSTREAM))
    request = make_admission_request(steering, packet.flow_key, spec, usable)
    admission = steering.estimates.admission
    if is_limited(admission, request, steering.now):
        verdict = decide(admission, request, steering.now)
        record_verdict(admission, request, verdict, steering.now)
        return Placement(None, verdict)
    return _place_at_best(steering, packet, spec, (request, usable))


def _place_at_best(
    steering: Steering,
    packet: Packet,
    spec: RouteSpec,
    described: tuple[AdmissionRequest, list[Upstream]],
) -> Placement:
    """Decide on a flow that the limit allows, at its best upstream."""
    request, usable = described
    best = find_best(steering, usable, packet.endpoint)
    if best is None:
        return Placement(None, Verdict(VerdictKind.REFUSE, NO_UPSTREAM))
    upstream, completion_seconds = best
    set_completion(steering, request, completion_seconds)
    admission = steering.estimates.admission
    verdict = decide(admission, request, steering.now)
    if _is_behind_held_flow(steering, packet, request, verdict):
        verdict = Verdict(VerdictKind.HOLD, BEHIND_OTHERS)
    if verdict.kind is VerdictKind.HOLD and not _hold(
        steering, packet, request
    ):
        verdict = Verdict(VerdictKind.REFUSE, verdict.reason)
    if verdict.reason == NO_ROOM and spec.repeatable:
        ejected = choose_ejected(steering, request.service, spec.endpoint)
        if ejected is not None:
            return _place_at_ejected(
                steering, packet, (request, verdict), ejected
            )
    record_verdict(admission, request, verdict, steering.now)
    return Placement(upstream, verdict)


def _place_at_ejected(
    steering: Steering,
    packet: Packet,
    refusal: tuple[AdmissionRequest, Verdict],
    ejected: Upstream,
) -> Placement:
    """Try an ejected upstream before a refusal for lack of capacity.

    Upstreams that shed are ejected like those that fail.  If it fails, the
    caller of an idempotent request repeats it, as after a refusal.
    """
    request, verdict = refusal
    completion_seconds = find_completion(
        steering,
        ejected,
        request.cost_seconds,
        find_idle_seconds(steering, request.service),
    )
    set_completion(steering, request, completion_seconds)
    admission = steering.estimates.admission
    other_verdict = decide(admission, request, steering.now)
    if other_verdict.kind is VerdictKind.ADMIT:
        verdict = other_verdict
    record_verdict(admission, request, verdict, steering.now)
    return Placement(ejected, verdict)


def place_held_flow(
    steering: Steering, packet: Packet, spec: RouteSpec, service: str
) -> Placement | None:
    """Decide again on a held SYN; return `None` while it has to wait.

    Only the next of the service's held flows may take free capacity.
    """
    held = steering.estimates.held_flows
    next_flow = find_next(held, steering.now, service)
    if next_flow is None or next_flow.syn.flow_key != packet.flow_key:
        return None
    placement = place_flow(steering, packet, spec, service)
    if placement.verdict.kind is VerdictKind.HOLD:
        return None
    release(held, packet.flow_key)
    return placement


def record_expired_hold(steering: Steering, packet: Packet) -> None:
    """Record that a held SYN is refused, as it has waited too long."""
    # The count needs no service.
    request = AdmissionRequest(
        '', packet.endpoint, packet.flow_key[:CALLER_BYTES]
    )
    verdict = Verdict(VerdictKind.REFUSE, WAIT)
    record_verdict(steering.estimates.admission, request, verdict, steering.now)


def make_admission_request(
    steering: Steering,
    flow_key: bytes,
    spec: RouteSpec,
    usable: list[Upstream],
) -> AdmissionRequest:
    """Return what admission control has to know before a choice.

    `usable` holds the upstreams of the service that may get the flow, at least
    one.  `has_free_slot` is left out if it would not be believed.
    """
    service = usable[0].entry.service
    estimates = steering.estimates
    request = AdmissionRequest(service, spec.endpoint, flow_key[:CALLER_BYTES])
    lowest = steering.routes.lowest_priority_by_service.get(service, 0)
    request.target_seconds = spec.target_seconds
    request.priority_steps = max(lowest - spec.priority, 0)
    request.cost_seconds = expected_seconds(
        estimates.service_times, spec.endpoint
    )
    request.flow_seconds = find_flow_seconds(steering, spec.endpoint, service)
    request.is_measured = is_measured(estimates.service_times, spec.endpoint)
    if believes_free_slots(estimates.admission, service, steering.now):
        request.has_free_slot = has_free_slot(steering, usable)
    request.is_route_served = was_route_admitted(
        estimates.admission.route_activity, spec.endpoint, steering.now
    )
    return request


def set_completion(
    steering: Steering, request: AdmissionRequest, completion_seconds: float
) -> None:
    """Add when the request would complete, and when its upstream has room."""
    request.completion_seconds = completion_seconds
    # A second of the backlog is done in a second, so what exceeds the allowed
    # wait now fits after as long.
    request.room_seconds = max(
        completion_seconds
        - allowed_wait(steering.estimates.admission, request, steering.now),
        0,
    )


def _is_behind_held_flow(
    steering: Steering,
    packet: Packet,
    request: AdmissionRequest,
    verdict: Verdict,
) -> bool:
    """Return whether a flow would pass one that waits for the same capacity.

    A free slot is enough for both.
    """
    held = steering.estimates.held_flows
    next_flow = find_next(held, steering.now, request.service)
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
        request.service,
    )
