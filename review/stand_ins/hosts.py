"""Stand in for the hosts of services, as the users' pages describe them.

A host answers a SYN with a SYN and ACK of its own, and repeats it until the
flow opens.  It resets flows that it does not hold, and puts the last echo that
it received on a flow into its packets.
"""

import asyncio
import random
import socket
import struct
import time
from collections.abc import Callable
from typing import Final

import wire
from record import Arrival, Record, count, log_line

HOST_NUMBER_BYTES: Final = 8
HEXADECIMAL: Final = 16
MAX_DATAGRAM_BYTES: Final = 4096
RETRANSMIT_SECONDS: Final = 0.2
MAX_RETRANSMIT_SECONDS: Final = 1.6
MAX_RETRANSMISSIONS: Final = 8
BUFFER_BYTES: Final = 4_194_304


class HostFlow:
    """Hold a host's state of a flow; `expected` is the client's next byte."""

    __slots__ = (
        'copies',
        'echo',
        'expected',
        'is_open',
        'key',
        'latest_answer',
        'opening',
        'sequence',
    )

    def __init__(self, opening: wire.Packet, arrival: Arrival) -> None:
        """Start half open."""
        self.key: wire.FlowKey = (opening.source, opening.destination)
        self.sequence = random.getrandbits(wire.SEQUENCE_BITS)
        self.expected = wire.add(opening.sequence, 1)
        self.echo = opening.echo
        self.is_open = False
        self.copies = 0
        self.opening = arrival
        self.latest_answer: wire.Packet | None = None


class Host:
    """Hold a host and its flows.

    A host that `is_dark` neither receives nor sends.
    `is_lost` tells whether the network loses the first answer to a SYN.  The
    host holds `max_flows`, and works `work_seconds` on a request.
    """

    __slots__ = (
        'address',
        'client_port',
        'domain',
        'flow_by_key',
        'is_dark',
        'is_lost',
        'max_flows',
        'name',
        'record',
        'service',
        'udp_socket',
        'work_seconds',
    )

    def __init__(
        self,
        name: str,
        address: tuple[str, int],
        service: str,
        domain: str,
        record: Record,
    ) -> None:
        """Bind the socket."""
        self.name = name
        self.address = address
        self.service = service
        self.domain = domain
        self.record = record
        self.client_port = 0
        self.work_seconds = 0.05
        self.max_flows = 2000
        self.is_dark = False
        self.flow_by_key: dict[wire.FlowKey, HostFlow] = {}
        self.is_lost: Callable[[wire.FlowKey], bool] = _lose_nothing
        self.udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        self.udp_socket.setblocking(False)
        self.udp_socket.bind(address)


def start_host(host: Host, client_port: int) -> None:
    """Read packets; answers go to clients at a port."""
    host.client_port = client_port

    def read_packets() -> None:
        while True:
            try:
                received = host.udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            _receive(host, received[0], received[1][0])

    asyncio.get_running_loop().add_reader(host.udp_socket, read_packets)


def crash_host(host: Host) -> None:
    """Drop all flows and fall silent, until `is_dark` is reset."""
    host.is_dark = True
    for key, flow in host.flow_by_key.items():
        if flow.is_open:
            host.record.owner_by_flow.pop(key)
    host.flow_by_key.clear()


def host_number(name: str) -> int:
    """Return the hexadecimal digits of a host's id as a number."""
    return int(name.rpartition('-')[2], HEXADECIMAL)


def _lose_nothing(key: wire.FlowKey) -> bool:
    return False


def _receive(host: Host, datagram: bytes, node: str) -> None:
    if host.is_dark:
        return
    number = int.from_bytes(datagram[:HOST_NUMBER_BYTES])
    if number not in {0, host_number(host.name)}:
        count(host.record, 'packets for another host')
        return
    try:
        packet = wire.decode(datagram[HOST_NUMBER_BYTES:])
    except struct.error:
        return
    if not packet.is_authentic:
        return
    if packet.flags == wire.SYN:
        _take_syn(host, packet, node)
    else:
        _take_segment(host, packet)


def _take_syn(host: Host, packet: wire.Packet, node: str) -> None:
    key = (packet.source, packet.destination)
    known = host.flow_by_key.get(key)
    if known is not None:
        known.echo = packet.echo
        return
    if len(host.flow_by_key) >= host.max_flows:
        count(host.record, 'SYNs that a full host ignored')
        return
    now = time.monotonic()
    sent_at = host.record.sent_at_by_syn.get((key, packet.ack), now)
    arrival = Arrival(now, sent_at, key, node)
    arrival.host = host.name
    arrival.service = host.service
    flow = HostFlow(packet, arrival)
    host.flow_by_key[key] = flow
    _offer(host, flow)


def _offer(host: Host, flow: HostFlow) -> None:
    """Answer the SYN, again and again until the flow opens."""
    known = host.flow_by_key.get(flow.key)
    if flow.is_open or known is not flow:
        return
    if flow.copies > MAX_RETRANSMISSIONS:
        host.flow_by_key.pop(flow.key)
        return
    flags = wire.SYN | wire.ACK
    client, target = flow.key
    packet = wire.Packet(flags, target, client)
    packet.sequence = flow.sequence
    packet.ack = flow.expected
    packet.echo = flow.echo
    if not flow.copies and host.is_lost(flow.key):
        log_line(host.record, f'lost: SYN+ACK of {host.name} to {client}')
    else:
        _send(host, packet)
    delay = min(RETRANSMIT_SECONDS * 2**flow.copies, MAX_RETRANSMIT_SECONDS)
    flow.copies += 1
    asyncio.get_running_loop().call_later(delay, _offer, host, flow)


def _take_segment(host: Host, packet: wire.Packet) -> None:
    key = (packet.source, packet.destination)
    flow = host.flow_by_key.get(key)
    if flow is None or not _is_held(flow, packet):
        _refuse_segment(host, packet)
        return
    flow.echo = packet.echo
    if not flow.is_open:
        flow.is_open = True
        flow.sequence = packet.ack
        owner = f'{host.name}@{host.address[0]}'
        host.record.owner_by_flow[key] = owner
        host.record.opened.append(flow.opening)
        log_line(host.record, f'{host.name} opened the flow of {key[0]}')
    if packet.flags & (wire.FIN | wire.RST):
        host.flow_by_key.pop(key)
        if packet.flags & wire.FIN:
            _send(host, wire.answer(packet, wire.ACK))
    elif packet.payload:
        _take_request(host, flow, packet)


def _is_held(flow: HostFlow, packet: wire.Packet) -> bool:
    """Return whether a flow is open, or opens with this packet."""
    return flow.is_open or packet.ack == wire.add(flow.sequence, 1)


def _refuse_segment(host: Host, packet: wire.Packet) -> None:
    """Reset a flow that this host doesn't hold."""
    if not packet.flags & wire.RST:
        source = packet.source
        log_line(host.record, f'{host.name} resets {source}: not its flow')
        _send(host, wire.answer(packet, wire.RST))


def _take_request(host: Host, flow: HostFlow, packet: wire.Packet) -> None:
    if packet.sequence == flow.expected:
        flow.expected = wire.add(flow.expected, len(packet.payload))
        flow.latest_answer = None
        asyncio.get_running_loop().call_later(
            host.work_seconds, _respond, host, flow, packet
        )
    elif flow.latest_answer is not None:
        _send(host, flow.latest_answer)


def _respond(host: Host, flow: HostFlow, packet: wire.Packet) -> None:
    if host.flow_by_key.get(flow.key) is not flow:
        return
    response = wire.answer(packet, wire.ACK)
    response.sequence = flow.sequence
    response.echo = flow.echo
    request = packet.payload.split(b' ')[1].decode()
    log_line(host.record, f'{host.name} ran {request}')
    response.payload = f'200 {request} {host.name}'.encode()
    flow.sequence = wire.add(flow.sequence, len(response.payload))
    flow.latest_answer = response
    _send(host, response)


def _send(host: Host, packet: wire.Packet) -> None:
    client = packet.destination[0]
    host.udp_socket.sendto(wire.encode(packet), (client, host.client_port))
