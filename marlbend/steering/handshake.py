"""Send the SYN of a flow until its handshake completes.

A SYN that gets no response is sent again to the same upstream, and then to
another one.  Each upstream that got it may answer late, and send its SYN+ACK
again for some ten seconds.  The caller then echoes the cookie of an upstream
that does not hold the flow, and only instances know which one does.  If all of
them are killed, the flow is lost, so one lost datagram must not lead to a
second upstream.

Designed for lost datagrams, about one in a hundred, and for upstreams that fail
while many flows are opened; the latter shows in several flows.
"""

from typing import Final

from marlbend.steering.budgets import spend
from marlbend.steering.failure_detection import is_silent
from marlbend.steering.flows import add_flow, move_flow, set_busy
from marlbend.steering.liveness import (
    handshake_timeout,
    record_probe,
    record_unanswered,
)
from marlbend.steering.packet import Packet
from marlbend.steering.placement.choice import choose_upstream
from marlbend.steering.placement.outstanding_work import (
    NOT_STARTED,
    begin_request,
)
from marlbend.steering.placement.slow_start import record_new_flow
from marlbend.steering.reopened_flows import add_reopened, remove_reopened
from marlbend.steering.state import Flow, Outcome, Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('forward_repeated_syn', 'retry_handshake', 'start_flow')

MAX_UPSTREAMS_TRIED: Final = 3
# If one datagram in a hundred is lost, one flow in a million needs more.
SYNS_PER_UPSTREAM: Final = 3
# If the timer fires later than this, the process was paused, so a missing
# response is not evidence against the upstream.
MAX_TIMER_DELAY_SECONDS: Final = 0.015


def start_flow(
    steering: Steering,
    packet: Packet,
    upstream: Upstream,
) -> None:
    """Open a flow at an upstream."""
    record_probe(steering, upstream)
    flow = add_flow(steering, packet.flow_key, upstream)
    flow.pending_syn = packet
    flow.sequence = packet.sequence
    set_busy(flow, busy=True)
    begin_request(steering, flow, packet.endpoint, NOT_STARTED)
    remove_reopened(steering.reopened_flows, packet.flow_key)
    if packet.attempt:
        # Another instance may have sent the first SYN to another upstream.
        _report_reopened(steering, packet.flow_key)
    record_new_flow(steering, upstream)
    _send_syn(steering, flow, Outcome.OPENED)


def retry_handshake(steering: Steering, flow: Flow, due: float) -> None:
    """Send a SYN again if the handshake has not completed.

    `due` is the time for which this call was scheduled, in steady seconds.
    """
    if flow.pending_syn is None:
        return
    now = steering.now
    if now - due > MAX_TIMER_DELAY_SECONDS:
        _schedule_retry(steering, flow)
        return
    _record_unanswered_syn(steering, flow)
    # Beyond the budget the SYN is sent again with the caller's next one.
    if spend(steering.local_instance.budgets.reopenings, 1, now):
        _send_syn_again(steering, flow, is_requested=False)


def forward_repeated_syn(
    steering: Steering,
    flow: Flow,
    packet: Packet,
) -> None:
    """Forward a SYN that the caller sends again, or the network repeats."""
    now = steering.now
    if flow.pending_syn is None:
        steering.callbacks.forward(packet, flow.upstream)
    elif now - flow.last_packet_at > handshake_timeout(steering):
        _record_unanswered_syn(steering, flow)
        _send_syn_again(steering, flow, is_requested=True)


def _record_unanswered_syn(steering: Steering, flow: Flow) -> None:
    """Count the first SYN of a flow as evidence against its upstream.

    Further ones would let a single flow look like several.
    """
    if flow.tried.get(flow.upstream) == 1:
        record_unanswered(steering, flow.upstream, flow.last_packet_at)


def _send_syn_again(
    steering: Steering, flow: Flow, *, is_requested: bool
) -> None:
    """Send a SYN to the same upstream, or to another if that one is silent.

    `is_requested` is whether the caller sent it again.  Otherwise it goes to a
    limited number of upstreams, and to each of them a limited number of times.
    """
    upstream = flow.upstream
    has_failed = upstream.ended_at > 0 or is_silent(upstream, steering.now)
    if not has_failed and flow.tried.get(upstream, 0) < SYNS_PER_UPSTREAM:
        _send_syn(steering, flow, Outcome.SYN_REPEATED)
    elif is_requested or len(flow.tried) < MAX_UPSTREAMS_TRIED:
        _try_another_upstream(steering, flow, is_requested=is_requested)


def _try_another_upstream(
    steering: Steering, flow: Flow, *, is_requested: bool
) -> None:
    service = flow.upstream.entry.service
    endpoint = flow.pending_syn.endpoint if flow.pending_syn else b''
    upstream = choose_upstream(steering, service, list(flow.tried), endpoint)
    if upstream is None:
        return
    is_untried = upstream not in flow.tried
    if is_untried or is_requested:
        move_flow(flow, upstream)
        record_new_flow(steering, upstream)
        outcome = Outcome.REOPENED if is_untried else Outcome.SYN_REPEATED
        _send_syn(steering, flow, outcome)


def _send_syn(steering: Steering, flow: Flow, outcome: Outcome) -> None:
    packet = flow.pending_syn
    if packet is None:
        return
    flow.last_packet_at = steering.now
    # The latest upstream is the last one, also if it was tried before.
    flow.tried[flow.upstream] = flow.tried.pop(flow.upstream, 0) + 1
    if len(flow.tried) > 1:
        _report_reopened(steering, packet.flow_key)
    steering.counts[outcome] += 1
    steering.callbacks.forward(packet, flow.upstream)
    if outcome is not Outcome.SYN_REPEATED:
        steering.callbacks.report_decision(
            outcome, packet, flow.upstream, tuple(flow.tried)
        )
    _schedule_retry(steering, flow)


def _report_reopened(steering: Steering, key: bytes) -> None:
    add_reopened(steering.reopened_flows, key, steering.now, steering.now)
    steering.callbacks.gossip_reopened()


def _schedule_retry(steering: Steering, flow: Flow) -> None:
    if flow.pending_syn is not None:
        delay = handshake_timeout(steering)
        steering.callbacks.schedule_retry(delay, flow.pending_syn.flow_key)
