"""Stand in for upstreams: accept flows, run requests, answer callers directly.

An upstream answers with its name and the request, so that a caller can tell
whose answer it got.
"""

import asyncio
import enum
import socket
from typing import Final, final

import msgspec

from bench.endpoints import packets as wire
from bench.endpoints.callbacks import FlowCallbacks, shorten
from bench.endpoints.packets import (
    FlowKey,
    Packet,
    add_to_sequence,
    flow_key,
    sequence_distance,
)

__all__ = (
    'FABRIC_PORT',
    'RESPONSE_BYTES',
    'HostState',
    'UpstreamFlow',
    'UpstreamHost',
    'crash_host',
    'handle_datagram',
    'has_open_flow',
    'make_response',
)

HOST_NUMBER_BYTES: Final = 8
HEXADECIMAL: Final = 16
# Instances take callers' packets there, callers take answers there.
FABRIC_PORT: Final = 6081
RESPONSE_BYTES: Final = 3000
WORK_SECONDS: Final = 0.01
FIRST_REPEAT_SECONDS: Final = 0.2
LONGEST_REPEAT_SECONDS: Final = 1.6
REPEATS: Final = 8
_PART_BYTES: Final = 1200


@enum.unique
@final
class HostState(enum.Enum):
    """Name what an upstream does with packets."""

    READY = 'ready'
    DRAINING = 'draining'
    # It has a process that does nothing.
    PAUSED = 'paused'
    GONE = 'gone'


class UpstreamFlow(msgspec.Struct):
    """Hold an upstream's end of a flow.

    `wanted` is the caller's next byte, `sent` the upstream's.  `unanswered`
    holds the parts of the latest answer.
    """

    key: FlowKey
    wanted: int
    sent: int
    opened: bool = False
    ended: bool = False
    repeats: int = 0
    unanswered: tuple[Packet, ...] = ()


class UpstreamHost(msgspec.Struct):
    """Hold an upstream and its flows; `cold_until` is in steady seconds."""

    callbacks: FlowCallbacks
    name: str
    service: str
    domain: str
    udp_socket: socket.socket
    born: int = 1
    state: HostState = HostState.READY
    cold_until: float = 0
    flow_by_key: dict[FlowKey, UpstreamFlow] = {}

    @property
    def number(self) -> int:
        """Return the number that packets for it carry."""
        return int(self.name.rpartition('-')[2], HEXADECIMAL)


def crash_host(host: UpstreamHost) -> None:
    """Forget every flow, as a crash does."""
    host.state = HostState.GONE
    host.flow_by_key.clear()


def has_open_flow(host: UpstreamHost, key: FlowKey) -> bool:
    """Tell whether a flow is open at an upstream."""
    flow = host.flow_by_key.get(key)
    return flow is not None and flow.opened and not flow.ended


def make_response(attempt: str, upstream: str) -> bytes:
    """Return the whole answer of an upstream to a request."""
    return f'{attempt} {upstream} '.encode().ljust(RESPONSE_BYTES, b'.')


def handle_datagram(host: UpstreamHost, datagram: bytes) -> Packet | None:
    """Take what an instance sent; return an opening packet that was taken."""
    number = int.from_bytes(datagram[:HOST_NUMBER_BYTES])
    packet = wire.decode_packet(datagram[HOST_NUMBER_BYTES:])
    if packet is None or not packet.is_authentic:
        host.callbacks.report_violation(
            'changed', f'{host.name} got {shorten(datagram)}'
        )
        return None
    if host.state is HostState.PAUSED or number not in {0, host.number}:
        return None
    if packet.flags & wire.SYN:
        return _take_opening(host, packet)
    _take_later(host, packet)
    return None


def _take_opening(host: UpstreamHost, packet: Packet) -> Packet | None:
    if host.state is HostState.GONE:
        _send(host, _answer(packet, wire.RST))
        return None
    key = flow_key(packet)
    flow = host.flow_by_key.get(key)
    known = flow is not None
    if flow is None:
        # Each upstream numbers its bytes from elsewhere.
        first = add_to_sequence(hash((key, host.name)), 0)
        flow = UpstreamFlow(key, add_to_sequence(packet.sequence, 1), first)
        host.flow_by_key[key] = flow
    if not flow.opened:
        _send(
            host,
            Packet(
                wire.SYN | wire.ACK,
                packet.destination,
                packet.source,
                flow.sent,
                flow.wanted,
                packet.cookie,
            ),
        )
    return None if known else packet


def _take_later(host: UpstreamHost, packet: Packet) -> None:
    flow = host.flow_by_key.get(flow_key(packet))
    if host.state is HostState.GONE or flow is None:
        if not packet.flags & wire.RST:
            _send(host, _answer(packet, wire.RST))
        return
    if not flow.opened:
        if packet.acknowledged != add_to_sequence(flow.sent, 1):
            return
        flow.opened = True
        flow.sent = packet.acknowledged
    if packet.flags & (wire.FIN | wire.RST):
        _end_flow(host, flow, packet)
        return
    if (
        flow.unanswered
        and sequence_distance(flow.sent, packet.acknowledged) >= 0
    ):
        flow.unanswered = ()
    if packet.payload:
        _take_data(host, flow, packet)


def _end_flow(host: UpstreamHost, flow: UpstreamFlow, packet: Packet) -> None:
    flow.ended = True
    flow.unanswered = ()
    if packet.flags & wire.FIN:
        _send(host, _answer(packet, wire.ACK))


def _take_data(host: UpstreamHost, flow: UpstreamFlow, packet: Packet) -> None:
    if flow.ended:
        _send(host, _answer(packet, wire.RST))
    elif packet.sequence == flow.wanted:
        flow.wanted = add_to_sequence(flow.wanted, len(packet.payload))
        asyncio.get_running_loop().call_later(
            WORK_SECONDS, _run_request, host, flow, packet
        )
    else:
        _send_unanswered(host, flow)


def _run_request(
    host: UpstreamHost, flow: UpstreamFlow, packet: Packet
) -> None:
    if host.flow_by_key.get(flow.key) is not flow:
        return
    kind, request, attempt = packet.payload.decode().split()
    host.callbacks.record_run(request, attempt, kind == 'unsafe')
    answer = make_response(attempt, host.name)
    flow.unanswered = tuple(
        Packet(
            wire.ACK,
            packet.destination,
            packet.source,
            add_to_sequence(flow.sent, start),
            flow.wanted,
            packet.cookie,
            answer[start : start + _PART_BYTES],
        )
        for start in range(0, len(answer), _PART_BYTES)
    )
    flow.sent = add_to_sequence(flow.sent, len(answer))
    flow.repeats = 0
    _send_unanswered(host, flow)
    _repeat_later(host, flow, flow.sent)


def _repeat_later(host: UpstreamHost, flow: UpstreamFlow, sent: int) -> None:
    pause = FIRST_REPEAT_SECONDS * 2**flow.repeats

    def repeat() -> None:
        if flow.sent != sent or not flow.unanswered or flow.repeats >= REPEATS:
            return
        flow.repeats += 1
        if host.state is not HostState.PAUSED:
            _send_unanswered(host, flow)
        _repeat_later(host, flow, sent)

    asyncio.get_running_loop().call_later(
        min(pause, LONGEST_REPEAT_SECONDS), repeat
    )


def _send_unanswered(host: UpstreamHost, flow: UpstreamFlow) -> None:
    for part in flow.unanswered:
        _send(host, part)


def _answer(packet: Packet, flags: int) -> Packet:
    return Packet(
        flags,
        packet.destination,
        packet.source,
        packet.acknowledged,
        add_to_sequence(packet.sequence, len(packet.payload)),
        packet.cookie,
    )


def _send(host: UpstreamHost, packet: Packet) -> None:
    # Every caller listens on the port of the fabric.
    host.udp_socket.sendto(
        wire.encode_packet(packet), (packet.destination[0], FABRIC_PORT)
    )
