"""Stand in for the clients: open flows, send requests, check what comes."""

import asyncio
import time

import packets as wire
from host_packets import ANSWER_BYTES
from packets import Ends, Packet
from sockets import open_socket, read_datagrams

SYN_COPIES_SECONDS = (0.2, 0.6)
SYN_LIMIT_SECONDS = 1.4
FIRST_RETRY_SECONDS = 0.2
LAST_RETRY_SECONDS = 1.6
DEADLINE_SECONDS = 4
FIN_SECONDS = 0.3
FIRST_PORT = 20_000
# The way from a client to a zone, or back.
CLIENT_SECONDS = 0.003


class FlowEndedError(Exception):
    """Signal that a flow or request failed."""


class Flow:
    """Hold a client's side of one flow.

    `iss` is the first seq of the host that holds it.  `inbox` gets its packets,
    and None when it was reset.
    """

    __slots__ = (
        'ack',
        'client',
        'echo',
        'ends',
        'inbox',
        'is_open',
        'iss',
        'seq',
    )

    def __init__(self, client, ends, seq):
        """Start before the wire.SYN."""
        self.client = client
        self.ends = ends
        self.seq = seq
        self.ack = 0
        self.echo = 0
        self.iss = 0
        self.is_open = False
        self.inbox = asyncio.Queue()


class Client:
    """Hold one client address; each flow has a new port."""

    __slots__ = (
        'address',
        'flow_by_ends',
        'next_port',
        'sock',
        'world',
        'zone',
    )

    def __init__(self, world, address, zone):
        """Bind the address at the port that packets for clients have."""
        self.world = world
        self.address = address
        self.zone = zone
        self.flow_by_ends = {}
        self.next_port = FIRST_PORT
        self.sock = open_socket((address, world.ports['data']))
        asyncio.get_running_loop().add_reader(self.sock, _read, self)


async def open_flow(client, route, seq):
    """Open a flow; raise `FlowEndedError` if it is refused or not answered."""
    ends = Ends(client.address, client.next_port, *route)
    client.next_port += 1
    flow = Flow(client, ends, seq)
    client.flow_by_ends[ends] = flow
    started_at = time.monotonic()
    offsets = (*SYN_COPIES_SECONDS, SYN_LIMIT_SECONDS)
    for copy, offset in enumerate(offsets):
        # In a wire.SYN, `ack` counts the copies.
        flow.ack = copy
        _send(flow, wire.SYN)
        if await _wait_until(flow, started_at + offset):
            return flow
    client.flow_by_ends.pop(ends, None)
    raise FlowEndedError('no answer')


async def send_request(flow, name):
    """Send a request on an open flow, until it is answered in full."""
    body = name.encode()
    start = flow.ack
    body_by_seq = {}
    deadline = time.monotonic() + DEADLINE_SECONDS
    wait_seconds = FIRST_RETRY_SECONDS
    while time.monotonic() < deadline:
        _send(flow, wire.ACK, body)
        until = min(time.monotonic() + wait_seconds, deadline)
        if await _collect(flow, body_by_seq, start, until):
            flow.seq = (flow.seq + len(body)) % wire.MODULUS
            _send(flow, wire.ACK)
            return
        wait_seconds = min(wait_seconds * 2, LAST_RETRY_SECONDS)
    flow.client.flow_by_ends.pop(flow.ends, None)
    raise FlowEndedError('late')


async def close_flow(flow):
    """Close an open flow."""
    _send(flow, wire.FIN | wire.ACK)
    await asyncio.sleep(FIN_SECONDS)
    flow.client.flow_by_ends.pop(flow.ends, None)


async def _wait_until(flow, until):
    """Return the next packet, or None if there is none until a time."""
    left_seconds = max(until - time.monotonic(), 0)
    try:
        packet = await asyncio.wait_for(flow.inbox.get(), left_seconds)
    except TimeoutError:
        return None
    if packet is None:
        raise FlowEndedError('reset')
    return packet


async def _collect(flow, body_by_seq, start, until):
    """Collect an answer; return whether it is complete before a time."""
    packet = await _wait_until(flow, until)
    while packet is not None:
        if packet.body:
            body_by_seq[packet.seq] = packet.body
            received = _count_received(body_by_seq, start)
            flow.ack = (start + received) % wire.MODULUS
            if received >= ANSWER_BYTES:
                return True
        packet = await _wait_until(flow, until)
    return False


def _count_received(body_by_seq, start):
    received = 0
    body = body_by_seq.get(start)
    while body:
        received += len(body)
        body = body_by_seq.get((start + received) % wire.MODULUS)
    return received


def _send(flow, flags, body=b''):
    packet = Packet(flags, flow.ends, flow.seq, flow.ack, body)
    packet.echo = flow.echo
    world = flow.client.world
    asyncio.get_running_loop().call_later(
        CLIENT_SECONDS,
        world.route,
        flow.client.zone,
        flow.ends,
        wire.encode(packet),
    )


def _read(client):
    loop = asyncio.get_running_loop()
    for raw, sender in read_datagrams(client.sock):
        loop.call_later(CLIENT_SECONDS, _take, client, raw, sender)


def _take(client, raw, sender):
    packet = wire.decode(raw)
    if packet is None or not (packet.is_genuine or packet.is_system_reset):
        client.world.record.fail('MIXED', f'{client.address} got other bytes')
        return
    flow = client.flow_by_ends.get(packet.ends.reverse())
    if flow is None:
        return
    if packet.flags & wire.RST:
        _take_reset(flow, packet, sender)
        return
    # The last echo that came on the flow, whoever sent it.
    flow.echo = packet.echo
    if packet.flags & wire.SYN:
        _take_syn_ack(flow, packet)
    elif flow.is_open:
        flow.inbox.put_nowait(packet)


def _take_reset(flow, packet, sender):
    if (
        flow.is_open
        and abs(wire.distance(flow.ack, packet.seq)) > wire.RESET_WINDOW
    ):
        return
    flow.client.world.judge_reset(flow, packet, sender)
    flow.client.flow_by_ends.pop(flow.ends, None)
    flow.inbox.put_nowait(None)


def _take_syn_ack(flow, packet):
    if not flow.is_open:
        flow.is_open = True
        flow.iss = packet.seq
        flow.seq = (flow.seq + 1) % wire.MODULUS
        flow.ack = (packet.seq + 1) % wire.MODULUS
        _send(flow, wire.ACK)
        flow.inbox.put_nowait(packet)
    elif packet.seq == flow.iss:
        _send(flow, wire.ACK)
