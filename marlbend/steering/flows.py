"""Keep what packets have shown of each flow, within bounds.

Losing a record costs nothing but the estimate of load.
"""

from typing import Final

from marlbend.steering.liveness import (
    measure_handshake,
    record_liveness,
    record_unanswered,
)
from marlbend.steering.outlier_detection import note_answer
from marlbend.steering.packet import Packet
from marlbend.steering.refusing import note_work, starts_at_once
from marlbend.steering.state import Flow, Steering
from marlbend.steering.upstreams import Upstream

__all__ = (
    'drop_flow',
    'expire_flows',
    'keep_flow',
    'move_flow',
    'read_signs',
    'set_busy',
)

# Beyond this many the estimate of load suffers and nothing else.
FLOWS_KEPT: Final = 50_000
IDLE_SECONDS: Final = 20.0
# A request without an answer counts as load for this long.
BUSY_SECONDS: Final = 2.0
# Callers repeat data after 200 ms.
REPEAT_SECONDS: Final = 0.15
# Byte positions of a flow are 32 bits wide.
POSITION_BITS: Final = 32
POSITIONS: Final = 1 << POSITION_BITS


def expire_flows(steering: Steering) -> None:
    """Forget idle flows, and requests that were never answered."""
    now = steering.now
    for key, flow in tuple(steering.flow_by_key.items()):
        idle = now - flow.seen_at
        if idle > IDLE_SECONDS:
            drop_flow(steering, key)
        elif idle > BUSY_SECONDS:
            set_busy(flow, busy=False)


def read_signs(
    steering: Steering,
    flow: Flow,
    packet: Packet,
    upstream: Upstream,
) -> bool:
    """Learn from a packet whether the upstream lives and what it works on.

    Tell whether a request starts with the packet.
    """
    if flow.opening is not None:
        _end_opening(steering, flow, upstream)
    elif _is_later(packet.acknowledged, flow.acknowledged):
        _read_acknowledgement(steering, flow, packet)
    if _is_later(packet.acknowledged, flow.acknowledged) or flow.fresh:
        flow.acknowledged = packet.acknowledged
    flow.seen_at = steering.now
    if packet.is_closing and not packet.is_reset:
        _read_answer(steering, flow, packet)
    return bool(packet.payload_size) and _read_data(steering, flow, packet)


def _end_opening(steering: Steering, flow: Flow, upstream: Upstream) -> None:
    if flow.tried and upstream is flow.tried[0]:
        measure_handshake(steering, steering.now - flow.opened_at)
    if len(flow.tried) == 1:
        flow.tried.clear()
    flow.opening = None
    move_flow(flow, upstream)
    record_liveness(steering, upstream, steering.now)


def _read_acknowledgement(
    steering: Steering,
    flow: Flow,
    packet: Packet,
) -> None:
    record_liveness(steering, flow.upstream, steering.now)
    _measure_work(steering, flow, packet)
    flow.sent_at = 0
    flow.repeats = 0
    if not packet.payload_size:
        set_busy(flow, busy=False)


def _measure_work(steering: Steering, flow: Flow, packet: Packet) -> None:
    """Take the time of a request into the pace, if it is the work's alone."""
    route = steering.routes.by_endpoint.get(packet.endpoint)
    if flow.at_once and flow.sent_at and not flow.repeats and route:
        service = flow.upstream.entry.service
        seconds = steering.now - flow.sent_at
        note_work(steering, route.spec, service, seconds)
    flow.at_once = False


def _read_answer(steering: Steering, flow: Flow, packet: Packet) -> None:
    """Take the whole answer to the request before this packet."""
    size = (packet.acknowledged - flow.answered_from) % POSITIONS
    flow.answered_from = packet.acknowledged
    if not flow.fresh and size:
        note_answer(steering, packet.endpoint, flow.upstream, size)


def _read_data(steering: Steering, flow: Flow, packet: Packet) -> bool:
    now = steering.now
    if flow.fresh or _is_later(packet.sequence, flow.sequence):
        starts = flow.fresh or not flow.busy
        if starts:
            _read_answer(steering, flow, packet)
        flow.fresh = False
        flow.sequence = packet.sequence
        flow.sent_at = flow.sent_at or now
        set_busy(flow, busy=True)
        if starts:
            flow.at_once = starts_at_once(flow.upstream, now)
        return starts
    if flow.sent_at and now - flow.sent_at > REPEAT_SECONDS:
        flow.repeats += 1
        if flow.repeats == 1:
            record_unanswered(steering, flow.upstream, flow.sent_at)
    return False


def _is_later(position: int, other: int) -> bool:
    """Compare two byte positions, which wrap at 32 bits."""
    return 0 < (position - other) % POSITIONS < POSITIONS // 2


def keep_flow(steering: Steering, key: bytes, upstream: Upstream) -> Flow:
    """Start the record of a flow; the oldest one goes if there are too many."""
    if len(steering.flow_by_key) >= FLOWS_KEPT:
        drop_flow(steering, next(iter(steering.flow_by_key)))
    flow = Flow(upstream, steering.now)
    upstream.flows += 1
    steering.flow_by_key[key] = flow
    return flow


def move_flow(flow: Flow, upstream: Upstream) -> None:
    """Count a flow and its request for another upstream."""
    if flow.upstream is upstream:
        return
    busy = flow.busy
    set_busy(flow, busy=False)
    flow.upstream.flows -= 1
    flow.upstream = upstream
    upstream.flows += 1
    set_busy(flow, busy=busy)


def drop_flow(steering: Steering, key: bytes) -> None:
    """End the record of a flow, if there is one."""
    flow = steering.flow_by_key.pop(key, None)
    if flow is not None:
        set_busy(flow, busy=False)
        flow.upstream.flows -= 1


def set_busy(flow: Flow, *, busy: bool) -> None:
    """Note whether a flow has a request in progress."""
    if flow.busy != busy:
        flow.busy = busy
        flow.upstream.busy += 1 if busy else -1
