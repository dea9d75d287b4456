"""Decide what becomes of each packet of a caller: the whole way in one place.

An opening packet gets an upstream of its route's service and that upstream's
cookie.  Both ends repeat the cookie from then on, so any other packet names its
upstream itself, whichever instance gets it.

An opening packet of which nothing comes is sent to another upstream.  A flow
whose upstream has ended is reset, so that the caller need not wait.
"""

from collections.abc import Callable
from typing import Final

from marlbend.steering.choice import choose_upstream
from marlbend.steering.cold import spend_open
from marlbend.steering.failure_detection import seems_dead
from marlbend.steering.flows import (
    drop_flow,
    keep_flow,
    move_flow,
    read_signs,
    set_busy,
)
from marlbend.steering.liveness import (
    handshake_timeout,
    note_test,
    record_unanswered,
)
from marlbend.steering.packet import Packet
from marlbend.steering.refusing import is_crowded
from marlbend.steering.routes import Route, pick_service
from marlbend.steering.state import Flow, Outcome, Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('make_receiver', 'retry_unanswered_syn')

TRIED_AT_MOST: Final = 3
# A review later than this says that the process was paused, not the upstream.
LATE_SECONDS: Final = 0.015
# A newcomer is registered before its first flow; news of it arrive within the
# time that a silent watch takes to be noticed.
UNKNOWN_SECONDS: Final = 4.0
INFORMED_SECONDS: Final = 4.0
UNKNOWN_KEPT: Final = 1_000


def make_receiver(steering: Steering) -> Callable[[Packet], None]:
    """Return the function that takes the packets of callers."""

    def receive(packet: Packet) -> None:
        if steering.ready:
            steer(packet)
        else:
            steering.counts[Outcome.DROPPED_NOT_READY] += 1

    def steer(packet: Packet) -> None:
        route = steering.routes.by_endpoint.get(packet.endpoint)
        if route is None:
            _refuse(steering, packet, Outcome.REFUSED_NO_ROUTE)
        elif packet.is_syn:
            _open_flow(steering, packet, route)
        else:
            _continue_flow(steering, packet, route)

    return receive


def retry_unanswered_syn(steering: Steering, key: bytes, due: float) -> None:
    """Send an opening packet elsewhere if nothing came of it.

    `due` is when the review should have come, in monotonic seconds.
    """
    flow = steering.flow_by_key.get(key)
    if flow is None or flow.opening is None:
        return
    now = steering.now
    if now - due > LATE_SECONDS:
        _remind(steering, flow)
        return
    record_unanswered(steering, flow.upstream, flow.seen_at)
    if len(flow.tried) < TRIED_AT_MOST:
        _try_another(steering, flow)


def _refuse(steering: Steering, packet: Packet, outcome: Outcome) -> None:
    steering.counts[outcome] += 1
    steering.callbacks.reset(packet)
    steering.callbacks.tell(outcome, packet, None, ())


def _open_flow(steering: Steering, packet: Packet, route: Route) -> None:
    flow = steering.flow_by_key.get(packet.flow_key)
    if flow is not None and packet.attempt:
        _repeat_opening(steering, flow, packet)
        return
    drop_flow(steering, packet.flow_key)
    service = pick_service(route.spec, packet.flow_key)
    upstream = choose_upstream(steering, service, [])
    if upstream is None:
        _refuse(steering, packet, Outcome.REFUSED_NO_UPSTREAM)
    elif is_crowded(steering, route.spec, upstream):
        _refuse(steering, packet, Outcome.REFUSED_CROWD)
    else:
        _start_flow(steering, packet, upstream)


def _start_flow(
    steering: Steering,
    packet: Packet,
    upstream: Upstream,
) -> None:
    note_test(steering, upstream)
    flow = keep_flow(steering, packet.flow_key, upstream)
    flow.opening = packet
    set_busy(flow, busy=True)
    _send_opening(steering, flow, Outcome.OPENED)


def _repeat_opening(
    steering: Steering,
    flow: Flow,
    packet: Packet,
) -> None:
    """Take the caller's copy of an opening packet that was sent before."""
    now = steering.now
    if flow.opening is None:
        steering.callbacks.forward(packet, flow.upstream)
    elif now - flow.seen_at > handshake_timeout(steering):
        record_unanswered(steering, flow.upstream, flow.seen_at)
        _try_another(steering, flow)


def _try_another(steering: Steering, flow: Flow) -> None:
    service = flow.upstream.entry.service
    upstream = choose_upstream(steering, service, flow.tried)
    if upstream is not None:
        move_flow(flow, upstream)
        _send_opening(steering, flow, Outcome.REOPENED)


def _send_opening(steering: Steering, flow: Flow, outcome: Outcome) -> None:
    packet = flow.opening
    if packet is None:
        return
    flow.seen_at = steering.now
    flow.tried.append(flow.upstream)
    spend_open(steering, flow.upstream)
    steering.counts[outcome] += 1
    steering.callbacks.forward(packet, flow.upstream)
    steering.callbacks.tell(outcome, packet, flow.upstream, flow.tried)
    _remind(steering, flow)


def _remind(steering: Steering, flow: Flow) -> None:
    if flow.opening is not None:
        delay = handshake_timeout(steering)
        steering.callbacks.remind(delay, flow.opening.flow_key)


def _continue_flow(steering: Steering, packet: Packet, route: Route) -> None:
    upstream = steering.pool.by_cookie.get(packet.cookie)
    if upstream is None:
        _drop_unknown(steering, packet)
        return
    if upstream.entry.service not in route.services:
        steering.counts[Outcome.DROPPED_FORGED] += 1
        return
    if upstream.ended_at:
        _give_up(steering, packet, upstream, Outcome.RESET_ENDED)
        return
    flow = steering.flow_by_key.get(packet.flow_key)
    if flow is None:
        flow = keep_flow(steering, packet.flow_key, upstream)
    elif upstream in flow.tried and flow.opening is None:
        # Two upstreams answered the opening packet; the first one has it.
        upstream = flow.upstream
    starts = read_signs(steering, flow, packet, upstream)
    if flow.repeats and _is_stuck(steering, upstream, route):
        _give_up(steering, packet, upstream, Outcome.RESET_SILENT)
        return
    steering.counts[Outcome.FORWARDED] += 1
    steering.callbacks.forward(packet, upstream)
    if starts:
        steering.callbacks.tell(Outcome.FORWARDED, packet, upstream, ())
    if packet.is_closing:
        drop_flow(steering, packet.flow_key)


def _drop_unknown(steering: Steering, packet: Packet) -> None:
    """Drop a packet for an upstream that nobody registered.

    Other instances may know a newcomer first, so the flow is reset only after
    a while, and only while this instance hears from the platform.
    """
    now = steering.now
    known = steering.unknown_since
    if len(known) >= UNKNOWN_KEPT:
        known.clear()
    since = known.setdefault(packet.cookie, now)
    informed = now - steering.upstreams_confirmed_at < INFORMED_SECONDS
    if packet.cookie and informed and now - since > UNKNOWN_SECONDS:
        _refuse(steering, packet, Outcome.RESET_UNKNOWN)
    else:
        steering.counts[Outcome.DROPPED_UNKNOWN_COOKIE] += 1


def _give_up(
    steering: Steering,
    packet: Packet,
    upstream: Upstream,
    outcome: Outcome,
) -> None:
    steering.counts[outcome] += 1
    steering.callbacks.reset(packet)
    steering.callbacks.tell(outcome, packet, upstream, ())
    drop_flow(steering, packet.flow_key)


def _is_stuck(steering: Steering, upstream: Upstream, route: Route) -> bool:
    """Tell whether a caller does better to open another flow at once.

    A request that may run only once is never cut off on suspicion, and no flow
    whose own data was not left unanswered.
    """
    return route.spec.repeatable and seems_dead(steering, upstream)
