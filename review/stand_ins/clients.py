"""Stand in for clients, as the users' pages describe them.

A client puts the last echo that it received on a flow into its packets.
"""

import asyncio
import random
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from typing import Final

import wire
from record import Record, count, log_line, report_violation

# When the copies of a SYN are sent, and when the attempt ends.
SYN_COPY_SECONDS: Final = (0.2, 0.6, 1.4)
RETRANSMIT_SECONDS: Final = 0.2
MAX_RETRANSMIT_SECONDS: Final = 1.6
DEADLINE_SECONDS: Final = 5.0
FIRST_PORT: Final = 10_000
MAX_DATAGRAM_BYTES: Final = 4096
BUFFER_BYTES: Final = 4_194_304


# Received packets, with the address that sent each.
Inbox = asyncio.Queue[tuple[wire.Packet, str]]


class FlowEnded(Exception):
    """Signal that a flow failed, and how."""


class Client:
    """Hold a client's address and its open flows.

    `send` takes a packet to the routers of the client's zone.  Each flow has a
    queue of the packets received, with the address that sent each.
    """

    __slots__ = (
        'address',
        'inbox_by_port',
        'next_port',
        'record',
        'send',
        'udp_socket',
    )

    def __init__(
        self,
        endpoint: wire.Endpoint,
        record: Record,
        send: Callable[[bytes], None],
    ) -> None:
        """Bind the socket."""
        self.address = endpoint[0]
        self.record = record
        self.send = send
        self.next_port = FIRST_PORT
        self.inbox_by_port: dict[int, Inbox] = {}
        self.udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.udp_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES
        )
        self.udp_socket.setblocking(False)
        self.udp_socket.bind(endpoint)


class Flow:
    """Hold a client's state of one flow."""

    __slots__ = ('ack', 'client', 'echo', 'inbox', 'is_open', 'key', 'sequence')

    def __init__(self, client: Client, target: wire.Endpoint) -> None:
        """Take the next port."""
        self.client = client
        self.key: wire.FlowKey = ((client.address, client.next_port), target)
        client.next_port += 1
        self.inbox: Inbox = asyncio.Queue()
        client.inbox_by_port[self.port] = self.inbox
        self.sequence = random.getrandbits(wire.SEQUENCE_BITS)
        self.ack = 0
        self.echo = 0
        self.is_open = False

    @property
    def port(self) -> int:
        """Return the client's port."""
        return self.key[0][1]

    @property
    def name(self) -> str:
        """Return the client's end as text."""
        address, port = self.key[0]
        return f'{address}:{port}'


def start_client(client: Client) -> None:
    """Read packets."""

    def read_packets() -> None:
        while True:
            try:
                received = client.udp_socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            packet = wire.decode(received[0])
            inbox = client.inbox_by_port.get(packet.destination[1])
            if inbox is not None:
                inbox.put_nowait((packet, received[1][0]))

    asyncio.get_running_loop().add_reader(client.udp_socket, read_packets)


async def use_flow(
    client: Client, target: wire.Endpoint, requests: int, pause_seconds: float
) -> None:
    """Open a flow, send requests with pauses on it, and close it."""
    flow = Flow(client, target)
    try:
        await _send_requests(flow, requests, pause_seconds)
    except FlowEnded as ending:
        count(client.record, str(ending))
        log_line(client.record, f'client {flow.name}: {ending}')
    else:
        count(client.record, 'served')
    client.inbox_by_port.pop(flow.port)


async def _send_requests(
    flow: Flow, requests: int, pause_seconds: float
) -> None:
    await open_flow(flow)
    for number in range(requests):
        if number:
            await listen(flow, pause_seconds)
        await send_request(flow, f'/{flow.port}.{number}')
    _send(flow, wire.FIN | wire.ACK)


async def open_flow(flow: Flow) -> None:
    """Send a SYN and its copies until a host answers."""
    started_at = time.monotonic()
    for copy, until in enumerate(SYN_COPY_SECONDS):
        sent_at = time.monotonic()
        flow.client.record.sent_at_by_syn[flow.key, copy] = sent_at
        log_line(flow.client.record, f'client {flow.name}: SYN {copy}')
        _send(flow, wire.SYN, ack=copy)
        async for packet in _receive_until(flow, started_at + until):
            if packet.flags == wire.SYN | wire.ACK:
                flow.sequence = wire.add(flow.sequence, 1)
                flow.ack = wire.add(packet.sequence, 1)
                flow.is_open = True
                _send(flow, wire.ACK)
                return
    raise FlowEnded('no answer to the SYN')


async def send_request(flow: Flow, path: str) -> str:
    """Send a request and return the name of the host that answered."""
    request = f'GET {path} HTTP/1.1\r\n\r\n'.encode()
    log_line(flow.client.record, f'client {flow.name}: GET {path}')
    deadline = time.monotonic() + DEADLINE_SECONDS
    wait_seconds = RETRANSMIT_SECONDS
    while time.monotonic() < deadline:
        _send(flow, wire.ACK, request)
        until = min(time.monotonic() + wait_seconds, deadline)
        wait_seconds = min(2 * wait_seconds, MAX_RETRANSMIT_SECONDS)
        async for packet in _receive_until(flow, until):
            if packet.payload and packet.sequence == flow.ack:
                flow.ack = wire.add(flow.ack, len(packet.payload))
                flow.sequence = wire.add(flow.sequence, len(request))
                _send(flow, wire.ACK)
                host = packet.payload.split()[2].decode()
                log_line(flow.client.record, f'{path} answered by {host}')
                return host
    raise FlowEnded('no answer to a request')


async def listen(flow: Flow, seconds: float) -> None:
    """Wait, and take what arrives on the flow meanwhile."""
    async for _ in _receive_until(flow, time.monotonic() + seconds):
        count(flow.client.record, 'packets during a pause')


async def _receive_until(
    flow: Flow, until: float
) -> AsyncIterator[wire.Packet]:
    """Yield what arrives until a time; raise `FlowEnded` on a reset."""
    while True:
        remaining = until - time.monotonic()
        if remaining <= 0:
            return
        packet: wire.Packet | None = None
        with suppress(TimeoutError):
            async with asyncio.timeout(remaining):
                packet, sender = await flow.inbox.get()
        if packet is None:
            return
        if packet.flags & wire.RST:
            _check_reset(flow, sender)
            raise FlowEnded('reset' if flow.is_open else 'refused')
        flow.echo = packet.echo
        yield packet


def _check_reset(flow: Flow, sender: str) -> None:
    """Compare the sender of a reset with the host of an open flow (FLOW a)."""
    record = flow.client.record
    owner = record.owner_by_flow.get(flow.key)
    log_line(record, f'client {flow.name}: reset by {sender}, flow of {owner}')
    if owner is not None and not owner.endswith(f'@{sender}'):
        report_violation(
            record,
            f'FLOW: {flow.name} got a reset from {sender}, '
            f'its flow is open at {owner}',
        )


def _send(
    flow: Flow, flags: int, payload: bytes = b'', ack: int | None = None
) -> None:
    packet = wire.Packet(flags, *flow.key)
    packet.sequence = flow.sequence
    packet.ack = flow.ack if ack is None else ack
    packet.echo = flow.echo
    packet.payload = payload
    flow.client.send(wire.encode(packet))
