"""Simulate upstreams: accept flows, run requests, respond to callers directly.

A response contains the upstream's name and the attempt of the request, so that
a caller can check which upstream sent it.
"""

import asyncio
import enum
import socket
from collections.abc import Mapping
from typing import Final, final

import msgspec

from bench.endpoints import packets as wire
from bench.endpoints.callbacks import FlowCallbacks, shorten
from bench.endpoints.packets import (
    Endpoint,
    FlowKey,
    Packet,
    add_to_sequence,
    flow_key,
    sequence_distance,
)

__all__ = (
    'COOKIE_FABRIC_PORT',
    'RESPONSE_BYTES',
    'UpstreamFlow',
    'UpstreamServer',
    'UpstreamState',
    'handle_datagram',
    'has_open_flow',
    'make_response',
    'simulate_crash',
)

# Each packet from an instance starts with the host number of its upstream.
HOST_NUMBER_BYTES: Final = 8
HEXADECIMAL: Final = 16
# The UDP port on which instances, upstreams and callers receive packets.
COOKIE_FABRIC_PORT: Final = 6081
RESPONSE_BYTES: Final = 3000
SERVICE_SECONDS: Final = 0.01
MIN_RETRANSMIT_SECONDS: Final = 0.2
MAX_RETRANSMIT_SECONDS: Final = 1.6
MAX_RETRANSMISSIONS: Final = 8
_SEGMENT_BYTES: Final = 1200


@enum.unique
@final
class UpstreamState(enum.Enum):
    """Name the states of an upstream, which decide how it handles packets."""

    READY = 'ready'
    DRAINING = 'draining'
    # The process is suspended, so packets get no response.
    PAUSED = 'paused'
    # No process listens, so packets are answered with resets.
    GONE = 'gone'


class UpstreamFlow(msgspec.Struct):
    """Hold an upstream's state of a flow.

    `expected_sequence` is the sequence number of the caller's next byte,
    `next_sequence` that of the upstream's.  `unacknowledged` holds the segments
    of the latest response until the caller acknowledges them.
    """

    key: FlowKey
    expected_sequence: int
    next_sequence: int
    is_open: bool = False
    is_closed: bool = False
    handshake_retransmissions: int = 0
    retransmissions: int = 0
    unacknowledged: tuple[Packet, ...] = ()


class UpstreamServer(msgspec.Struct):
    """Hold a simulated upstream and its flows.

    `born` counts its starts.  `cold_until` is the monotonic time in seconds at
    which its warm-up ends, and zero if it was never cold.  A request takes the
    time of its endpoint, by default `SERVICE_SECONDS`, times `slowdown`.
    """

    callbacks: FlowCallbacks
    name: str
    service: str
    domain: str
    udp_socket: socket.socket
    born: int = 1
    state: UpstreamState = UpstreamState.READY
    cold_until: float = 0
    service_seconds_by_endpoint: Mapping[Endpoint, float] = {}
    slowdown: float = 1
    flow_by_key: dict[FlowKey, UpstreamFlow] = {}

    @property
    def number(self) -> int:
        """Return the host number that packets to this upstream carry."""
        return int(self.name.rpartition('-')[2], HEXADECIMAL)


def simulate_crash(upstream: UpstreamServer) -> None:
    """Drop all flows and reset later packets, as after a crash."""
    upstream.state = UpstreamState.GONE
    upstream.flow_by_key.clear()


def has_open_flow(upstream: UpstreamServer, key: FlowKey) -> bool:
    """Return whether an upstream has a flow open."""
    flow = upstream.flow_by_key.get(key)
    return flow is not None and flow.is_open and not flow.is_closed


def make_response(attempt: str, upstream: str) -> bytes:
    """Return the complete response of an upstream to an attempt."""
    return f'{attempt} {upstream} '.encode().ljust(RESPONSE_BYTES, b'.')


def handle_datagram(upstream: UpstreamServer, datagram: bytes) -> Packet | None:
    """Handle a datagram from an instance.

    Return the packet if it is a SYN that created a flow.  A datagram for
    another host number is ignored; number zero stands for any upstream.
    """
    number = int.from_bytes(datagram[:HOST_NUMBER_BYTES])
    packet = wire.decode_packet(datagram[HOST_NUMBER_BYTES:])
    if packet is None or not packet.is_authentic:
        upstream.callbacks.report_violation(
            'changed', f'{upstream.name} got {shorten(datagram)}'
        )
        return None
    if upstream.state is UpstreamState.PAUSED or number not in {
        0,
        upstream.number,
    }:
        return None
    if packet.flags & wire.SYN:
        return _handle_syn(upstream, packet)
    _handle_segment(upstream, packet)
    return None


def _handle_syn(upstream: UpstreamServer, packet: Packet) -> Packet | None:
    if upstream.state is UpstreamState.GONE:
        _send_packet(upstream, _make_reply(packet, wire.RST))
        return None
    key = flow_key(packet)
    flow = upstream.flow_by_key.get(key)
    is_known = flow is not None
    if flow is None:
        # Initial sequence numbers differ between upstreams.
        initial_sequence = add_to_sequence(hash((key, upstream.name)), 0)
        flow = UpstreamFlow(
            key, add_to_sequence(packet.sequence, 1), initial_sequence
        )
        upstream.flow_by_key[key] = flow
    response = Packet(
        wire.SYN | wire.ACK,
        packet.destination,
        packet.source,
        flow.next_sequence,
        flow.expected_sequence,
        packet.cookie,
    )
    if is_known:
        if not flow.is_open:
            _send_packet(upstream, response)
        return None
    _send_until_open(upstream, flow, response)
    return packet


def _send_until_open(
    upstream: UpstreamServer, flow: UpstreamFlow, response: Packet
) -> None:
    """Send a SYN+ACK, and again with growing pauses until the flow opens."""
    if flow.is_open or upstream.flow_by_key.get(flow.key) is not flow:
        return
    if upstream.state is not UpstreamState.PAUSED:
        _send_packet(upstream, response)
    if flow.handshake_retransmissions < MAX_RETRANSMISSIONS:
        delay = MIN_RETRANSMIT_SECONDS * 2**flow.handshake_retransmissions
        flow.handshake_retransmissions += 1
        asyncio.get_running_loop().call_later(
            min(delay, MAX_RETRANSMIT_SECONDS),
            _send_until_open,
            upstream,
            flow,
            response,
        )


def _handle_segment(upstream: UpstreamServer, packet: Packet) -> None:
    flow = upstream.flow_by_key.get(flow_key(packet))
    if upstream.state is UpstreamState.GONE or flow is None:
        if not packet.flags & wire.RST:
            _send_packet(upstream, _make_reply(packet, wire.RST))
        return
    if not flow.is_open:
        if packet.acknowledged != add_to_sequence(flow.next_sequence, 1):
            return
        flow.is_open = True
        flow.next_sequence = packet.acknowledged
    if packet.flags & (wire.FIN | wire.RST):
        _close_flow(upstream, flow, packet)
        return
    if (
        flow.unacknowledged
        and sequence_distance(flow.next_sequence, packet.acknowledged) >= 0
    ):
        flow.unacknowledged = ()
    if packet.payload:
        _handle_payload(upstream, flow, packet)


def _close_flow(
    upstream: UpstreamServer, flow: UpstreamFlow, packet: Packet
) -> None:
    flow.is_closed = True
    flow.unacknowledged = ()
    if packet.flags & wire.FIN:
        _send_packet(upstream, _make_reply(packet, wire.ACK))


def _handle_payload(
    upstream: UpstreamServer, flow: UpstreamFlow, packet: Packet
) -> None:
    if flow.is_closed:
        _send_packet(upstream, _make_reply(packet, wire.RST))
    elif packet.sequence == flow.expected_sequence:
        flow.expected_sequence = add_to_sequence(
            flow.expected_sequence, len(packet.payload)
        )
        service_seconds = upstream.service_seconds_by_endpoint.get(
            packet.destination, SERVICE_SECONDS
        )
        asyncio.get_running_loop().call_later(
            service_seconds * upstream.slowdown,
            _run_request,
            upstream,
            flow,
            packet,
        )
    else:
        _send_unacknowledged(upstream, flow)


def _run_request(
    upstream: UpstreamServer, flow: UpstreamFlow, packet: Packet
) -> None:
    if upstream.flow_by_key.get(flow.key) is not flow:
        return
    kind, request, attempt = packet.payload.decode().split()
    upstream.callbacks.record_run(request, attempt, kind == 'unsafe')
    response = make_response(attempt, upstream.name)
    flow.unacknowledged = tuple(
        Packet(
            wire.ACK,
            packet.destination,
            packet.source,
            add_to_sequence(flow.next_sequence, offset),
            flow.expected_sequence,
            packet.cookie,
            response[offset : offset + _SEGMENT_BYTES],
        )
        for offset in range(0, len(response), _SEGMENT_BYTES)
    )
    flow.next_sequence = add_to_sequence(flow.next_sequence, len(response))
    flow.retransmissions = 0
    _send_unacknowledged(upstream, flow)
    _schedule_retransmission(upstream, flow, flow.next_sequence)


def _schedule_retransmission(
    upstream: UpstreamServer, flow: UpstreamFlow, next_sequence: int
) -> None:
    delay_seconds = MIN_RETRANSMIT_SECONDS * 2**flow.retransmissions

    def retransmit() -> None:
        if (
            flow.next_sequence != next_sequence
            or not flow.unacknowledged
            or flow.retransmissions >= MAX_RETRANSMISSIONS
        ):
            return
        flow.retransmissions += 1
        if upstream.state is not UpstreamState.PAUSED:
            _send_unacknowledged(upstream, flow)
        _schedule_retransmission(upstream, flow, next_sequence)

    asyncio.get_running_loop().call_later(
        min(delay_seconds, MAX_RETRANSMIT_SECONDS), retransmit
    )


def _send_unacknowledged(upstream: UpstreamServer, flow: UpstreamFlow) -> None:
    for segment in flow.unacknowledged:
        _send_packet(upstream, segment)


def _make_reply(packet: Packet, flags: int) -> Packet:
    return Packet(
        flags,
        packet.destination,
        packet.source,
        packet.acknowledged,
        add_to_sequence(packet.sequence, len(packet.payload)),
        packet.cookie,
    )


def _send_packet(upstream: UpstreamServer, packet: Packet) -> None:
    # The response goes to the caller directly, not through an instance.
    upstream.udp_socket.sendto(
        wire.encode_packet(packet), (packet.destination[0], COOKIE_FABRIC_PORT)
    )
