"""Connect callers, routers and upstreams, and judge what callers see.

Callers and upstreams are those of `bench.endpoints`.  What is judged is the
rule FLOW: the resets that reach a caller, and which upstreams the packets of
an open flow reach.
"""

import asyncio
import socket
from collections.abc import Callable
from random import Random
from typing import Final, final

from bench.endpoints.callbacks import FlowCallbacks
from bench.endpoints.callers import Caller
from bench.endpoints.packets import (
    ACK,
    RST,
    SYN,
    FlowKey,
    Packet,
    decode_packet,
    encode_packet,
    flow_key,
)
from bench.endpoints.upstreams import (
    HOST_NUMBER_BYTES,
    UpstreamServer,
    handle_datagram,
    has_open_flow,
)
from marlbend.clock import steady_seconds
from review.stand_ins_2.fleet import (
    DATA_PORT,
    Fleet,
    choose_instance,
    is_in_touch,
)

__all__ = (
    'Delivery',
    'Syn',
    'Traffic',
    'add_caller',
    'add_upstream',
    'describe_upstream',
    'find_busiest_second',
    'find_strayed_flows',
)

DATAGRAM_BYTES: Final = 9216
BUFFER_BYTES: Final = 4_194_304
UPSTREAM_PORT: Final = 8080
UPSTREAM_NAME: Final = 'i-{number:08x}'
# `reorder_ms` of the sheets, and the packets that the rule FLOW asks for.
REORDER_SECONDS: Final = 2.0
STRAYED_PACKETS: Final = 3
SEED: Final = 40

_Receive = Callable[[bytes, tuple[str, int]], None]


@final
class Delivery:
    """Record one packet of an open flow that reached an upstream.

    `is_in_touch` is whether the instance that sent it was in touch.
    """

    __slots__ = ('at', 'is_in_touch', 'is_own', 'upstream')

    def __init__(
        self, upstream: str, *, is_own: bool, is_in_touch: bool
    ) -> None:
        """Initialize one that arrives now."""
        self.at = steady_seconds()
        self.upstream = upstream
        self.is_own = is_own
        self.is_in_touch = is_in_touch


@final
class Syn:
    """Record a SYN that reached an upstream, and when its caller sent it."""

    __slots__ = ('arrived_at', 'key', 'sent_at', 'upstream')

    def __init__(self, key: FlowKey, upstream: str, sent_at: float) -> None:
        """Initialize one that arrives now."""
        self.key = key
        self.upstream = upstream
        self.sent_at = sent_at
        self.arrived_at = steady_seconds()


@final
class Traffic:
    """Hold the endpoints, and what they have seen.

    `resets` holds the resets of open flows that no upstream sent.  `openings`
    holds the upstream of each flow that was opened, by its key, and `syns` each
    SYN that reached an upstream.  `lost_share` is the share of datagrams that
    are lost on the way to and from callers.
    """

    __slots__ = (
        'callers',
        'deliveries_by_key',
        'fleet',
        'lost_share',
        'note',
        'openings',
        'random',
        'resets',
        'syns',
        'upstream_by_name',
    )

    def __init__(self, fleet: Fleet, note: Callable[[str], None]) -> None:
        """Initialize without endpoints."""
        self.fleet = fleet
        self.note = note
        self.random = Random(SEED)
        self.lost_share: float = 0
        self.callers: dict[str, Caller] = {}
        self.upstream_by_name: dict[str, UpstreamServer] = {}
        self.resets: list[str] = []
        self.openings: dict[FlowKey, str] = {}
        self.syns: list[Syn] = []
        self.deliveries_by_key: dict[FlowKey, list[Delivery]] = {}


def describe_upstream(
    upstream: UpstreamServer, number: int, prefix: str, **changes: object
) -> dict[str, object]:
    """Return the entry that an upstream writes to the store."""
    return {
        'service': upstream.service,
        'address': f'{prefix}.4.{number}:{UPSTREAM_PORT}',
        'zone': upstream.domain,
        'version': 'v1',
        'slots': 4,
        'state': upstream.state.value,
        'warmup_left_ms': 0,
        'seq': 1,
        'born': upstream.born,
        **changes,
    }


def add_upstream(
    traffic: Traffic, number: int, service: str, zone: str
) -> UpstreamServer:
    """Start an upstream; it is not registered yet."""
    prefix = traffic.fleet.prefix
    endpoint = (f'{prefix}.4.{number}', UPSTREAM_PORT)
    name = UPSTREAM_NAME.format(number=number)
    upstream_socket = _open_socket(endpoint)
    upstream = UpstreamServer(
        _make_callbacks(traffic), name, service, zone, upstream_socket
    )
    traffic.upstream_by_name[name] = upstream

    def receive(datagram: bytes, sender: tuple[str, int]) -> None:
        _record_delivery(traffic, upstream, datagram, sender)
        handle_datagram(upstream, datagram)

    _start_reading(upstream_socket, receive)
    return upstream


def add_caller(traffic: Traffic, number: int, zone: str) -> Caller:
    """Start the callers of one address, which the routers of a zone serve."""
    prefix = traffic.fleet.prefix
    address = f'{prefix}.5.{number}'
    caller_socket = _open_socket((address, DATA_PORT))

    def send(packet: Packet) -> None:
        raw = encode_packet(packet)
        key = f'{packet.source}{packet.destination}'.encode()
        instance = choose_instance(traffic.fleet, zone, key)
        _note_sent(traffic, packet, instance.name)
        if traffic.random.random() >= traffic.lost_share:
            caller_socket.sendto(raw, (instance.address, DATA_PORT))

    callbacks = _make_callbacks(traffic)
    caller = Caller(address, callbacks, traffic.random, send)
    caller.flow_by_port = {}
    traffic.callers[address] = caller

    def receive(datagram: bytes, sender: tuple[str, int]) -> None:
        if traffic.random.random() >= traffic.lost_share:
            _receive_as_caller(traffic, caller, datagram, sender)

    _start_reading(caller_socket, receive)
    return caller


def find_strayed_flows(traffic: Traffic) -> list[str]:
    """Return the flows of which packets reached other upstreams only.

    Within the time of the rule, at least as many packets as it says reached
    other upstreams, through instances in touch, and none the own one.
    """
    strayed_by_key = {
        key: _find_strayed(deliveries)
        for key, deliveries in traffic.deliveries_by_key.items()
    }
    return [
        f'{key}: {_list_upstreams(strayed)}'
        for key, strayed in strayed_by_key.items()
        if strayed
    ]


def _find_strayed(deliveries: list[Delivery]) -> list[Delivery]:
    run: list[Delivery] = []
    for delivery in deliveries:
        if delivery.is_own:
            run.clear()
        elif delivery.is_in_touch:
            run.append(delivery)
        recent = [
            each for each in run if delivery.at - each.at < REORDER_SECONDS
        ]
        if len(recent) >= STRAYED_PACKETS:
            return recent
    return []


def _list_upstreams(deliveries: list[Delivery]) -> str:
    return ', '.join(each.upstream for each in deliveries)


def _receive_as_caller(
    traffic: Traffic, caller: Caller, datagram: bytes, sender: tuple[str, int]
) -> None:
    packet = decode_packet(datagram)
    flow = caller.flow_by_port.get(packet.destination[1]) if packet else None
    if packet is None or flow is None or packet.source != flow.endpoint:
        return
    _note_received(traffic, packet)
    if packet.flags & RST:
        _judge_reset(traffic, packet, sender)
    # Both ends repeat the field that they received last on a flow.
    if flow.opened_at:
        flow.cookie = packet.cookie
    flow.inbox.put_nowait(packet)


def _note_sent(traffic: Traffic, packet: Packet, instance: str) -> None:
    port = packet.source[1]
    if packet.flags & SYN:
        traffic.note(f'port {port}: SYN sent to {instance}')
    elif packet.payload:
        request = packet.payload.decode()
        traffic.note(f'port {port}: {request} sent to {instance}')


def _note_received(traffic: Traffic, packet: Packet) -> None:
    port = packet.destination[1]
    if packet.flags & RST:
        traffic.note(f'port {port}: reset received')
    elif packet.flags & SYN:
        traffic.note(f'port {port}: SYN+ACK received')
    elif packet.payload[:1].isalnum():
        # The first part of a response has the request and the upstream.
        answer = packet.payload.decode().split()[:2]
        traffic.note(f'port {port}: answered: {answer}')


def _judge_reset(
    traffic: Traffic, packet: Packet, sender: tuple[str, int]
) -> None:
    """Record a reset of an open flow unless its own upstream sent it."""
    key = (packet.destination, packet.source)
    holder = _find_holder(traffic, key)
    if holder is None:
        return
    sent_by_holder = packet.is_authentic and (
        holder.udp_socket.getsockname() == sender
    )
    if not sent_by_holder:
        by_address = {
            each.address: each.name for each in traffic.fleet.instances
        }
        name = by_address.get(sender[0], 'another upstream')
        text = f'flow {key} open at {holder.name}: reset from {name}'
        traffic.resets.append(text)
        traffic.note(text)


def _find_holder(traffic: Traffic, key: FlowKey) -> UpstreamServer | None:
    for upstream in traffic.upstream_by_name.values():
        if has_open_flow(upstream, key):
            return upstream
    return None


def _record_delivery(
    traffic: Traffic,
    upstream: UpstreamServer,
    datagram: bytes,
    sender: tuple[str, int],
) -> None:
    packet = decode_packet(datagram[HOST_NUMBER_BYTES:])
    if packet is None:
        return
    key = flow_key(packet)
    if packet.flags & SYN:
        caller = traffic.callers[packet.source[0]]
        opened = caller.flow_by_port.get(packet.source[1])
        if opened is not None:
            sent_at = opened.syn_sent_at[packet.acknowledged]
            traffic.syns.append(Syn(key, upstream.name, sent_at))
        return
    holder = _find_holder(traffic, key)
    flow = upstream.flow_by_key.get(key)
    if holder is None:
        if flow is not None and not flow.is_open and packet.flags & ACK:
            traffic.openings[key] = upstream.name
        return
    traffic.deliveries_by_key.setdefault(key, []).append(
        Delivery(
            upstream.name,
            is_own=holder is upstream,
            is_in_touch=is_in_touch(traffic.fleet, sender[0]),
        )
    )


def _make_callbacks(traffic: Traffic) -> FlowCallbacks:
    def report_violation(invariant: str, text: str) -> None:
        traffic.note(f'stand-in: {invariant}: {text}')

    def record_run(request: str, attempt: str, at_most_once: bool) -> None:
        traffic.note(f'request {attempt} ran')

    def record_rejection(attempt: str) -> None:
        traffic.note(f'request {attempt} was rejected')

    return FlowCallbacks(report_violation, record_run, record_rejection)


def _open_socket(endpoint: tuple[str, int]) -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    udp_socket.setblocking(False)
    udp_socket.bind(endpoint)
    return udp_socket


def _start_reading(udp_socket: socket.socket, receive: _Receive) -> None:
    def read() -> None:
        try:
            while True:
                receive(*udp_socket.recvfrom(DATAGRAM_BYTES))
        except BlockingIOError:
            return

    asyncio.get_running_loop().add_reader(udp_socket, read)


def find_busiest_second(traffic: Traffic, name: str, since: float = 0) -> int:
    """Return the most requests that an upstream got in a span of a second.

    A request counts by the SYN that opened its flow, if it was sent and arrived
    in the span.  Those that were sent before a time do not count.
    """
    opening_by_key = {
        each.key: each
        for each in traffic.syns
        if traffic.openings.get(each.key) == name == each.upstream
        and each.sent_at >= since
    }
    syns = tuple(opening_by_key.values())
    return max((_count_from(syns, each.sent_at) for each in syns), default=0)


def _count_from(syns: tuple[Syn, ...], start: float) -> int:
    end = start + 1
    return sum(
        start <= each.sent_at and each.arrived_at <= end for each in syns
    )
