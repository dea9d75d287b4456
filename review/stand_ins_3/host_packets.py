"""Handle the packets of clients as a host does."""

import asyncio
import os
import time

from packets import (
    ACK,
    FIN,
    MODULUS,
    RST,
    SYN,
    Packet,
    decode,
    distance,
    encode,
)
from sockets import read_datagrams

FIRST_RETRY_SECONDS = 0.2
LAST_RETRY_SECONDS = 1.6
RETRIES = 8
SEGMENT_BYTES = 1200
NUMBER_BYTES = 8
HEXADECIMAL = 16
ISS_BYTES = 4
ANSWER_BYTES = 2400
# The work of a request on the users' sheet: mean, spread and longest.
WORK_MEAN_SECONDS = 0.055
WORK_SPREAD = 0.5
WORK_MAX_SECONDS = 0.33


class HostFlow:
    """Hold a host's side of one flow.

    `expected` is the client's next seq, and `unacked` holds the segments that
    the client has not acknowledged, each with its seq.
    """

    __slots__ = (
        'echo',
        'ends',
        'expected',
        'has_ended',
        'is_open',
        'iss',
        'next_seq',
        'unacked',
    )

    def __init__(self, syn):
        """Start half open."""
        self.iss = int.from_bytes(os.urandom(ISS_BYTES))
        self.next_seq = (self.iss + 1) % MODULUS
        self.expected = (syn.seq + 1) % MODULUS
        self.echo = syn.echo
        self.ends = syn.ends.reverse()
        self.is_open = False
        self.has_ended = False
        self.unacked = []


def read_packets(host):
    """Handle the datagrams that wait at a host's socket."""
    for raw, _ in read_datagrams(host.sock):
        number = int.from_bytes(raw[:NUMBER_BYTES])
        packet = decode(raw[NUMBER_BYTES:])
        if packet is None or not packet.is_genuine:
            host.world.record.fail('UNASKED', f'{host.name} got other bytes')
        elif number in {0, int(host.name.rpartition('-')[2], HEXADECIMAL)}:
            _take(host, packet)


def _take(host, packet):
    flow = host.flow_by_ends.get(packet.ends)
    if packet.flags & RST:
        host.flow_by_ends.pop(packet.ends, None)
    elif packet.flags & SYN and host.is_alive:
        _take_syn(host, packet, flow)
    elif flow is None:
        # Nothing listens after a crash either, which ends all flows.
        _send_reset(host, packet)
    else:
        _take_on_flow(host, packet, flow)


def _take_on_flow(host, packet, flow):
    if flow.has_ended:
        _take_after_end(host, packet, flow)
    else:
        _take_segment(host, packet, flow)


def _take_syn(host, packet, flow):
    if flow is None:
        flow = HostFlow(packet)
        host.flow_by_ends[packet.ends] = flow
        _note_arrival(host, packet)
        _repeat(host, flow, _send_syn_ack, RETRIES)
    elif not flow.is_open:
        _send_syn_ack(host, flow)


def _note_arrival(host, packet):
    world = host.world
    node_name = world.node_by_ends.get(packet.ends, '')
    world.arrivals.append((time.monotonic(), host.name, node_name))
    world.record.note(
        f'{host.name} takes SYN of {packet.ends} from {node_name}'
    )


def _send_syn_ack(host, flow):
    """Send a SYN+ACK; return whether the handshake is not complete."""
    if not flow.is_open:
        _send(host, flow, SYN | ACK, flow.iss)
    return not flow.is_open


def _repeat(host, flow, send, tries_left):
    """Send now, and again with growing pauses while `send` returns true."""
    if host.flow_by_ends.get(flow.ends.reverse()) is not flow:
        return
    if send(host, flow) and tries_left:
        delay = FIRST_RETRY_SECONDS * 2 ** (RETRIES - tries_left)
        asyncio.get_running_loop().call_later(
            min(delay, LAST_RETRY_SECONDS),
            _repeat,
            host,
            flow,
            send,
            tries_left - 1,
        )


def _take_after_end(host, packet, flow):
    if packet.flags & FIN:
        _send(host, flow, ACK, flow.next_seq)
    elif packet.body:
        _send_reset(host, packet)


def _take_segment(host, packet, flow):
    if not flow.is_open:
        if packet.ack != flow.next_seq:
            # It acknowledges the seq of another host, so that one holds the
            # flow.
            _send_reset(host, packet)
            return
        flow.is_open = True
        host.world.holder_by_ends[packet.ends] = host
        host.world.record.note(f'{host.name} holds {packet.ends}')
    flow.echo = packet.echo
    _drop_acknowledged(packet, flow)
    if packet.body:
        _take_request(host, packet, flow)
    if packet.flags & FIN:
        flow.has_ended = True
        flow.expected = (flow.expected + 1) % MODULUS
        _send(host, flow, ACK, flow.next_seq)


def _drop_acknowledged(packet, flow):
    flow.unacked = [
        (seq, body)
        for seq, body in flow.unacked
        if distance(seq + len(body), packet.ack) < 0
    ]


def _take_request(host, packet, flow):
    if packet.seq != flow.expected:
        # A copy of a request that runs, or that was answered.
        _send_unacked(host, flow)
        return
    flow.expected = (flow.expected + len(packet.body)) % MODULUS
    slots = host.place[-1]
    if host.busy < slots:
        _run(host, packet.body, flow)
    else:
        host.waiting.append((packet.body, flow))


def _run(host, body, flow):
    host.busy += 1
    name = body.decode()
    world = host.world
    world.record.note(f'{host.name} runs {name}')
    world.record.counts['run'] += 1
    world.record.runs_by_name[name] += 1
    if world.record.runs_by_name[name] > 1:
        world.record.fail('UNASKED', f'{name} runs again')
    asyncio.get_running_loop().call_later(
        _draw_work(world), _finish, host, name, flow
    )


def _draw_work(world):
    """Return the seconds that a request takes."""
    drawn = world.random.lognormvariate(-(WORK_SPREAD**2) / 2, WORK_SPREAD)
    return world.work_scale * min(drawn * WORK_MEAN_SECONDS, WORK_MAX_SECONDS)


def _finish(host, name, flow):
    if host.flow_by_ends.get(flow.ends.reverse()) is not flow:
        return
    host.busy -= 1
    if host.waiting:
        _run(host, *host.waiting.pop(0))
    answer = f'{name} {host.name} '.encode().ljust(ANSWER_BYTES)
    for start in range(0, len(answer), SEGMENT_BYTES):
        body = answer[start : start + SEGMENT_BYTES]
        flow.unacked.append((flow.next_seq, body))
        flow.next_seq = (flow.next_seq + len(body)) % MODULUS
    _repeat(host, flow, _send_unacked, RETRIES)


def _send_unacked(host, flow):
    """Send what is not acknowledged; return whether there was anything."""
    for seq, body in flow.unacked:
        _send(host, flow, ACK, seq, body)
    return bool(flow.unacked)


def _send(host, flow, flags, seq, body=b''):
    packet = Packet(flags, flow.ends, seq, flow.expected, body)
    packet.echo = flow.echo
    _transmit(host, packet)


def _send_reset(host, packet):
    reset = Packet(RST, packet.ends.reverse(), packet.ack, 0)
    reset.echo = packet.echo
    _transmit(host, reset)


def _transmit(host, packet):
    # To the client's address, at the port of `data_addr`.
    host.sock.sendto(
        encode(packet), (packet.ends.dst, host.world.ports['data'])
    )
