"""Track the state of each flow from its packets, up to a maximum number.

Packets are routed by cookie, so a flow whose record is lost continues.  It is
missing from the load estimate until its next packet creates a new record.  What
the old record held is lost: a pending SYN is not retried, and earlier data is
not recognized as retransmitted or answered.  Which upstream holds a flow whose
SYN went to several is kept apart, in `marlbend.steering.reopened_flows`.
"""

from typing import Final

from marlbend.steering.liveness import (
    observe_liveness,
    record_handshake,
    record_unanswered,
)
from marlbend.steering.packet import Packet
from marlbend.steering.placement.completion import refresh_slowdowns
from marlbend.steering.placement.flow_costs import record_wait
from marlbend.steering.placement.flow_lengths import (
    record_flow,
    record_request,
)
from marlbend.steering.placement.load_shedding import (
    is_unqueued,
    record_service_time,
)
from marlbend.steering.placement.method import keeps_estimates
from marlbend.steering.placement.outlier_detection import (
    is_short,
    record_response,
)
from marlbend.steering.placement.outstanding_work import (
    begin_request,
    end_request,
    move_request,
    record_idle_flows,
    restart_request,
)
from marlbend.steering.placement.responses import record_outcome
from marlbend.steering.placement.service_times import (
    is_measured,
    typical_seconds,
)
from marlbend.steering.placement.service_times import (
    record_service_time as record_route_time,
)
from marlbend.steering.placement.speeds import record_speed
from marlbend.steering.reopened_flows import (
    HANDSHAKE_SECONDS,
    expire_reopened,
)
from marlbend.steering.state import Flow, PendingOutcome, Steering
from marlbend.steering.upstreams import Upstream

__all__ = (
    'add_flow',
    'expire_flows',
    'is_repeated_syn',
    'move_flow',
    'observe_packet',
    'remove_flow',
    'set_busy',
)

# Above this limit the oldest record is removed for each new one.
MAX_FLOWS: Final = 50_000
# The record of a flow without packets for this long is removed.
IDLE_TIMEOUT_SECONDS: Final = 20.0
# An unanswered request counts as load for this long.
BUSY_TIMEOUT_SECONDS: Final = 2.0
# Callers retransmit data after 200 ms.
RETRANSMISSION_SECONDS: Final = 0.15
# More than a caller sends in the time of a handshake.
MAX_HANDSHAKE_BYTES: Final = 1_000_000
# Sequence numbers are 32 bits wide.
SEQUENCE_BITS: Final = 32
SEQUENCE_MODULUS: Final = 1 << SEQUENCE_BITS


def expire_flows(steering: Steering) -> None:
    """Remove idle flows, and stop counting requests that got no response."""
    now = steering.now
    if keeps_estimates(steering):
        record_idle_flows(steering)
        refresh_slowdowns(steering)
    expire_reopened(steering.reopened_flows, now)
    for key, flow in tuple(steering.flow_by_key.items()):
        idle = now - flow.last_packet_at
        if idle > IDLE_TIMEOUT_SECONDS:
            remove_flow(steering, key)
        elif idle > BUSY_TIMEOUT_SECONDS:
            _end_request(steering, flow)


def observe_packet(
    steering: Steering,
    flow: Flow,
    packet: Packet,
    upstream: Upstream,
) -> bool:
    """Update the liveness and load of an upstream from a caller's packet.

    Return whether the packet starts a request.
    """
    if flow.pending_syn is not None:
        _complete_handshake(steering, flow, upstream)
    elif _is_later(packet.acknowledged, flow.acknowledged):
        _handle_acknowledgement(steering, flow, packet)
    if _is_later(packet.acknowledged, flow.acknowledged) or flow.is_before_data:
        flow.acknowledged = packet.acknowledged
    flow.last_packet_at = steering.now
    if packet.is_closing and not packet.is_reset:
        _complete_response(steering, flow, packet)
    return bool(packet.payload_size) and _handle_data(steering, flow, packet)


def _complete_handshake(
    steering: Steering,
    flow: Flow,
    upstream: Upstream,
) -> None:
    # With more than one SYN, the handshake may belong to any of them.
    if flow.tried == {upstream: 1}:
        record_handshake(steering, steering.now - flow.opened_at)
    flow.tried.clear()
    flow.pending_syn = None
    move_flow(flow, upstream)
    observe_liveness(steering, upstream)


def _handle_acknowledgement(
    steering: Steering,
    flow: Flow,
    packet: Packet,
) -> None:
    observe_liveness(steering, flow.upstream)
    _measure_request(steering, flow, packet)
    flow.unanswered_since = 0
    flow.retransmissions = 0
    if packet.payload_size:
        if flow.busy:
            _record_request(steering, flow, packet.endpoint)
        restart_request(steering, flow)
    else:
        _end_request(steering, flow)


def _measure_request(steering: Steering, flow: Flow, packet: Packet) -> None:
    """Add the duration of a request to the estimates if it was not queued."""
    route = steering.routes.by_endpoint.get(packet.endpoint)
    outcome = flow.pending_outcome
    if flow.unanswered_since and route:
        seconds = steering.now - flow.unanswered_since
        is_measurable = flow.is_unqueued and not flow.retransmissions
        if is_measurable:
            service = flow.upstream.entry.service
            record_service_time(steering, route.spec, service, seconds)
        if outcome is not None:
            outcome.response_seconds = seconds
            outcome.served_seconds = seconds if is_measurable else 0
            _record_outcome(steering, flow, packet, is_complete=False)
    flow.is_unqueued = False


def _record_outcome(
    steering: Steering, flow: Flow, packet: Packet, *, is_complete: bool
) -> None:
    route = steering.routes.by_endpoint.get(packet.endpoint)
    if flow.pending_outcome is None or route is None:
        return
    size = (packet.acknowledged - flow.response_start) % SEQUENCE_MODULUS
    _record_served(steering, flow, packet.endpoint, size)
    record_outcome(steering, flow, route.spec, size, is_complete=is_complete)
    if is_complete:
        flow.pending_outcome = None


def _record_served(
    steering: Steering, flow: Flow, endpoint: bytes, size: int
) -> None:
    """Record how long a request took, unless its response looks like an error.

    An upstream that sheds requests answers them at once, and would look fast.
    A short part of a response may be the start of a longer one, so its time is
    kept until the response is complete.
    """
    outcome = flow.pending_outcome
    if outcome is None or not outcome.served_seconds:
        return
    if is_short(steering, endpoint, size):
        return
    seconds = outcome.served_seconds
    times = steering.estimates.service_times
    if is_measured(times, endpoint):
        typical = typical_seconds(times, endpoint)
        speed = flow.upstream.work.speed
        record_speed(speed, seconds, typical, steering.now)
    record_route_time(times, endpoint, seconds, steering.now)
    record_wait(steering, endpoint, flow.upstream.entry.service)
    outcome.served_seconds = 0


def _complete_response(
    steering: Steering,
    flow: Flow,
    packet: Packet,
) -> None:
    """Record the size of the response that ended before this packet."""
    _record_outcome(steering, flow, packet, is_complete=True)
    size = (packet.acknowledged - flow.response_start) % SEQUENCE_MODULUS
    flow.response_start = packet.acknowledged
    if not flow.is_before_data and size:
        record_response(steering, packet.endpoint, flow.upstream, size)


def _handle_data(steering: Steering, flow: Flow, packet: Packet) -> bool:
    """Track new or retransmitted data; return whether it starts a request."""
    now = steering.now
    if flow.is_before_data or _is_later(packet.sequence, flow.sequence):
        starts_request = flow.is_before_data or not flow.busy
        if starts_request:
            _complete_response(steering, flow, packet)
            _record_request(steering, flow, packet.endpoint)
        begin_request(steering, flow, packet.endpoint, now)
        flow.is_before_data = False
        flow.sequence = packet.sequence
        flow.unanswered_since = flow.unanswered_since or now
        set_busy(flow, busy=True)
        if starts_request:
            _start_outcome(steering, flow)
        return starts_request
    if (
        flow.unanswered_since
        and now - flow.unanswered_since > RETRANSMISSION_SECONDS
    ):
        flow.retransmissions += 1
        if flow.retransmissions == 1:
            record_unanswered(steering, flow.upstream, flow.unanswered_since)
    return False


def _record_request(steering: Steering, flow: Flow, endpoint: bytes) -> None:
    """Count a request that begins, and its flow if it is the first one."""
    if not keeps_estimates(steering):
        return
    lengths = steering.estimates.flow_lengths
    if flow.is_before_data:
        record_flow(lengths, endpoint, steering.now)
    record_request(lengths, endpoint, steering.now)


def _start_outcome(steering: Steering, flow: Flow) -> None:
    flow.is_unqueued = is_unqueued(flow.upstream, steering.now)
    if keeps_estimates(steering):
        flow.pending_outcome = PendingOutcome(had_free_slot=flow.is_unqueued)


def is_repeated_syn(flow: Flow, packet: Packet, now: float) -> bool:
    """Return whether the network repeated the SYN of a flow.

    It arrives within the time of a handshake.  A caller that reuses a port
    begins with another sequence number.
    """
    sent_bytes = (flow.sequence - packet.sequence) % SEQUENCE_MODULUS
    is_recent = now - flow.opened_at < HANDSHAKE_SECONDS
    return is_recent and sent_bytes < MAX_HANDSHAKE_BYTES


def _is_later(number: int, other: int) -> bool:
    """Compare two sequence numbers, which wrap at 32 bits."""
    return 0 < (number - other) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


def add_flow(steering: Steering, key: bytes, upstream: Upstream) -> Flow:
    """Add a flow; remove the oldest one if the limit has been reached."""
    if len(steering.flow_by_key) >= MAX_FLOWS:
        remove_flow(steering, next(iter(steering.flow_by_key)))
    flow = Flow(upstream, steering.now)
    upstream.flows += 1
    steering.flow_by_key[key] = flow
    return flow


def move_flow(flow: Flow, upstream: Upstream) -> None:
    """Assign a flow, and its request in progress, to another upstream."""
    if flow.upstream is upstream:
        return
    busy = flow.busy
    set_busy(flow, busy=False)
    move_request(flow, upstream)
    flow.upstream.flows -= 1
    flow.upstream = upstream
    upstream.flows += 1
    set_busy(flow, busy=busy)


def remove_flow(steering: Steering, key: bytes) -> None:
    """Remove a flow if it is tracked."""
    flow = steering.flow_by_key.pop(key, None)
    if flow is not None:
        _end_request(steering, flow)
        flow.upstream.flows -= 1


def _end_request(steering: Steering, flow: Flow) -> None:
    set_busy(flow, busy=False)
    end_request(steering, flow)


def set_busy(flow: Flow, *, busy: bool) -> None:
    """Set whether a flow has a request in progress."""
    if flow.busy != busy:
        flow.busy = busy
        flow.upstream.busy += 1 if busy else -1
