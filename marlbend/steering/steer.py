"""Decide what to do with each packet from a caller.

A SYN is assigned an upstream of its route's service, together with that
upstream's cookie.  Both ends echo the cookie in every later packet, so any
instance can find the upstream of such a packet without shared flow state.

A SYN that gets no response is sent again, see `marlbend.steering.handshake`.  A
flow whose upstream no longer answers is reset, so that the caller does not have
to wait for a timeout.
"""

from collections.abc import Callable
from typing import Final

from marlbend.steering.failure_detection import (
    is_given_up,
    is_presumed_dead,
    is_silent_unregistered,
)
from marlbend.steering.flows import (
    add_flow,
    is_repeated_syn,
    observe_packet,
    remove_flow,
)
from marlbend.steering.handshake import (
    forward_repeated_syn,
    retry_handshake,
    start_flow,
)
from marlbend.steering.packet import Packet
from marlbend.steering.placement.admission import VerdictKind
from marlbend.steering.placement.choice import choose_ejected, choose_upstream
from marlbend.steering.placement.contention import record_refusal_by_counts
from marlbend.steering.placement.held_flows import release, take_due
from marlbend.steering.placement.load_shedding import is_overloaded
from marlbend.steering.placement.method import keeps_estimates, places_by_work
from marlbend.steering.placement.opening import (
    HOLD_CHECK_SECONDS,
    NO_UPSTREAM,
    Placement,
    place_flow,
    place_held_flow,
    record_expired_hold,
)
from marlbend.steering.reopened_flows import (
    ReopenedFlow,
    confirm_cookie,
)
from marlbend.steering.routes import Route, pick_service
from marlbend.steering.state import Flow, Outcome, Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('make_receiver', 'retry_unanswered_syn')

# A flow with an unknown cookie is reset after this long.  An upstream registers
# before it gets its first flow, and its registration reaches every instance
# within the time it takes to detect a watch that stopped responding.
UNKNOWN_COOKIE_RESET_DELAY_SECONDS: Final = 4.0
# It is reset only if the list of upstreams was confirmed within this time.
UPSTREAMS_MAX_AGE_SECONDS: Final = 4.0
# Above this number the cookie that was seen first is forgotten.
MAX_UNKNOWN_COOKIES: Final = 1_000
# For this long after a pause, heartbeats that waited meanwhile are read.  Until
# then the instance may not know which upstreams have left, or are cold.
RESUME_SECONDS: Final = 0.1


def make_receiver(steering: Steering) -> Callable[[Packet], None]:
    """Return the function that handles packets from callers."""

    def receive(packet: Packet) -> None:
        if steering.ready:
            steer(packet)
        else:
            steering.counts[Outcome.DROPPED_NOT_READY] += 1

    def steer(packet: Packet) -> None:
        route = steering.routes.by_endpoint.get(packet.endpoint)
        if route is None:
            _reset_without_upstream(steering, packet, Outcome.REFUSED_NO_ROUTE)
        elif packet.is_syn:
            _open_flow(steering, packet, route)
        else:
            _continue_flow(steering, packet, route)

    return receive


def retry_unanswered_syn(steering: Steering, key: bytes, due: float) -> None:
    """Send a SYN again if the handshake has not completed.

    `due` is the time for which this call was scheduled, in steady seconds.
    """
    flow = steering.flow_by_key.get(key)
    if key in steering.estimates.held_flows.by_key:
        _check_held_flow(steering, key)
        return
    if flow is not None:
        retry_handshake(steering, flow, due)


def _reset_without_upstream(
    steering: Steering, packet: Packet, outcome: Outcome
) -> None:
    """Reset the caller of a packet for which there is no upstream.

    The packet is a refused SYN, or has an unknown endpoint or cookie.
    """
    steering.counts[outcome] += 1
    steering.callbacks.reset(packet)
    steering.callbacks.report_decision(outcome, packet, None, ())


def _open_flow(steering: Steering, packet: Packet, route: Route) -> None:
    if steering.now - steering.local_instance.resumed_at < RESUME_SECONDS:
        # The caller sends the SYN again after 0.2 s.
        steering.counts[Outcome.DROPPED_RESUMING] += 1
        return
    flow = steering.flow_by_key.get(packet.flow_key)
    if flow is not None and (
        packet.attempt or is_repeated_syn(flow, packet, steering.now)
    ):
        forward_repeated_syn(steering, flow, packet)
        return
    remove_flow(steering, packet.flow_key)
    if packet.flow_key in steering.estimates.held_flows.by_key:
        # `_check_held_flow` decides on it, also if the method has changed.
        return
    service = pick_service(route.spec, packet.flow_key)
    if places_by_work(steering, service):
        placement = place_flow(steering, packet, route.spec, service)
        _carry_out(steering, packet, placement)
    else:
        _open_by_counts(steering, packet, route, service)


def _open_by_counts(
    steering: Steering, packet: Packet, route: Route, service: str
) -> None:
    """Open or refuse a flow by counts of requests."""
    upstream = choose_upstream(steering, service, [], packet.endpoint)
    if upstream is None:
        _reset_without_upstream(steering, packet, Outcome.REFUSED_NO_UPSTREAM)
    elif is_overloaded(steering, route.spec, upstream):
        _use_ejected_or_refuse(steering, packet, route, service)
    else:
        start_flow(steering, packet, upstream)


def _carry_out(
    steering: Steering, packet: Packet, placement: Placement
) -> None:
    """Open, hold or refuse a flow that is placed by work."""
    upstream = placement.upstream
    verdict = placement.verdict
    if verdict.kind is VerdictKind.HOLD:
        steering.counts[Outcome.HELD] += 1
        _schedule_held_check(steering, packet.flow_key)
    elif verdict.kind is VerdictKind.ADMIT and upstream is not None:
        start_flow(steering, packet, upstream)
    elif verdict.reason == NO_UPSTREAM:
        _reset_without_upstream(steering, packet, Outcome.REFUSED_NO_UPSTREAM)
    else:
        _reset_without_upstream(steering, packet, Outcome.REFUSED_CROWD)


def _schedule_held_check(steering: Steering, key: bytes) -> None:
    steering.callbacks.schedule_retry(HOLD_CHECK_SECONDS, key)


def _check_held_flow(steering: Steering, key: bytes) -> None:
    """Open a held flow if there is capacity, refuse it after its deadline."""
    held = steering.estimates.held_flows
    for due in take_due(held, steering.now):
        record_expired_hold(steering, due.syn)
        _reset_without_upstream(steering, due.syn, Outcome.REFUSED_CROWD)
    waiting = held.by_key.get(key)
    if waiting is None:
        return
    packet = waiting.syn
    route = steering.routes.by_endpoint.get(packet.endpoint)
    if route is None:
        release(held, key)
        _reset_without_upstream(steering, packet, Outcome.REFUSED_NO_ROUTE)
        return
    service = pick_service(route.spec, key)
    if not places_by_work(steering, service):
        # Its contention has ended, or the setting has changed.
        release(held, key)
        _open_by_counts(steering, packet, route, service)
        return
    placement = place_held_flow(steering, packet, route.spec, service)
    if placement is None:
        _schedule_held_check(steering, key)
    else:
        _carry_out(steering, packet, placement)


def _use_ejected_or_refuse(
    steering: Steering, packet: Packet, route: Route, service: str
) -> None:
    """Try an ejected upstream before refusing a flow in an overload.

    If it fails, the caller of an idempotent request repeats it, as after a
    refusal.  Any other request is refused, so that it does not fail midway.
    """
    ejected = None
    if route.spec.repeatable:
        ejected = choose_ejected(steering, service, packet.endpoint)
    if ejected is None or is_overloaded(steering, route.spec, ejected):
        if keeps_estimates(steering):
            record_refusal_by_counts(
                steering.estimates.admission, service, steering.now
            )
        _reset_without_upstream(steering, packet, Outcome.REFUSED_CROWD)
    else:
        start_flow(steering, packet, ejected)


def _continue_flow(steering: Steering, packet: Packet, route: Route) -> None:
    flow = steering.flow_by_key.get(packet.flow_key)
    cookie = packet.cookie
    reopened = steering.reopened_flows.by_key.get(packet.flow_key)
    if reopened is not None:
        cookie = _find_cookie(reopened, packet, flow)
    upstream = steering.pool.by_cookie.get(cookie)
    if upstream is None:
        _handle_unknown_cookie(steering, packet, cookie)
        return
    if upstream.entry.service not in route.services:
        steering.counts[Outcome.DROPPED_FORGED] += 1
        return
    if is_given_up(upstream, steering.now):
        _reset_flow(steering, packet, upstream, Outcome.RESET_ENDED)
        return
    if flow is None:
        flow = add_flow(steering, packet.flow_key, upstream)
    if reopened is not None and confirm_cookie(
        steering.reopened_flows, packet.flow_key, cookie, steering.now
    ):
        steering.callbacks.gossip_reopened()
    starts_request = observe_packet(steering, flow, packet, upstream)
    if flow.retransmissions and _reset_if_silent(
        steering, packet, upstream, route
    ):
        return
    steering.counts[Outcome.FORWARDED] += 1
    steering.callbacks.forward(packet, upstream)
    if starts_request:
        steering.callbacks.report_decision(
            Outcome.FORWARDED, packet, upstream, ()
        )
    if packet.is_closing:
        remove_flow(steering, packet.flow_key)


def _find_cookie(
    reopened: ReopenedFlow, packet: Packet, flow: Flow | None
) -> int:
    """Return the cookie of the upstream that holds a flow opened several times.

    More than one upstream may have answered its SYN, and the cookie in the
    packet may be that of another one.
    """
    if flow is not None and flow.pending_syn is None:
        return reopened.cookie or flow.upstream.cookie
    return reopened.cookie or packet.cookie


def _handle_unknown_cookie(
    steering: Steering, packet: Packet, cookie: int
) -> None:
    """Drop or reset a packet whose cookie belongs to no known upstream.

    Other instances may learn of a new upstream earlier, so the flow is reset
    only after a delay, and only while the list of upstreams is up to date.  An
    upstream without a registration is known only to instances that ran before.
    """
    now = steering.now
    since_by_cookie = steering.pool.unknown_cookie_since
    since = since_by_cookie.setdefault(cookie, now)
    if len(since_by_cookie) > MAX_UNKNOWN_COOKIES:
        since_by_cookie.pop(next(iter(since_by_cookie)))
    is_current = (
        now - steering.upstreams_confirmed_at < UPSTREAMS_MAX_AGE_SECONDS
    )
    if (
        cookie
        and steering.pool.knows_ended
        and is_current
        and now - since > UNKNOWN_COOKIE_RESET_DELAY_SECONDS
    ):
        _reset_without_upstream(steering, packet, Outcome.RESET_UNKNOWN)
    else:
        steering.counts[Outcome.DROPPED_UNKNOWN_COOKIE] += 1


def _reset_flow(
    steering: Steering,
    packet: Packet,
    upstream: Upstream,
    outcome: Outcome,
) -> None:
    steering.counts[outcome] += 1
    steering.callbacks.reset(packet)
    steering.callbacks.report_decision(outcome, packet, upstream, ())
    remove_flow(steering, packet.flow_key)


def _reset_if_silent(
    steering: Steering, packet: Packet, upstream: Upstream, route: Route
) -> bool:
    """Reset a flow whose data went unanswered; return whether it was reset.

    While the upstream is registered, the requests of the route must be
    idempotent, so that the caller may repeat them on another flow at once.
    """
    if is_silent_unregistered(upstream, steering.now):
        _reset_flow(steering, packet, upstream, Outcome.RESET_ENDED)
        return True
    if route.spec.repeatable and is_presumed_dead(steering, upstream):
        _reset_flow(steering, packet, upstream, Outcome.RESET_SILENT)
        return True
    return False
