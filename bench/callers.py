"""Simulate the fabric and the callers.

A caller's host is a UDP socket on an address of its own.  The fabric sends each
packet, including retransmissions, to a random instance.  A flow opens, sends
requests with pauses, checks each complete response, and closes.  It is broken
if it cannot be opened or closed, if it is reset, if a segment gets no complete
response after `MAX_TRANSMISSIONS` transmissions, if a response belongs to
another flow or service, or if it comes from another upstream than before.
"""

import asyncio
import socket
import time
from collections.abc import Iterator, Sequence
from random import Random
from typing import Final, final

from dpkt import tcp

from bench.segments import (
    CALLER_PORT,
    Endpoint,
    Segment,
    decode_segment,
    encode_segment,
)
from bench.upstreams import RESPONSE_SEGMENTS
from marlbend.sockets import open_socket, start_reading

__all__ = (
    'Callers',
    'Fabric',
    'Flow',
    'FlowPlan',
    'close_hosts',
    'open_flows',
    'open_hosts',
    'run_flow',
)

RETRANSMISSION_SECONDS: Final = 0.4
MAX_TRANSMISSIONS: Final = 12
FIRST_SOURCE_PORT: Final = 1024
PORTS_PER_HOST: Final = 60_000


@final
class Fabric:
    """Hold the instances over which packets are spread at random."""

    __slots__ = ('instances', 'random')

    def __init__(self, instances: Sequence[Endpoint], random: Random) -> None:
        """Initialize with the endpoints of the instances' fabric ports."""
        self.instances = list(instances)
        self.random = random


@final
class FlowPlan:
    """Describe a flow: its endpoint, its requests and the pause after each."""

    __slots__ = ('endpoint', 'pause_seconds', 'request_count')

    def __init__(
        self,
        endpoint: Endpoint,
        request_count: int,
        pause_seconds: float,
    ) -> None:
        """Initialize with the endpoint at which callers reach a service."""
        self.endpoint = endpoint
        self.request_count = request_count
        self.pause_seconds = pause_seconds


@final
class Flow:
    """Hold the caller's state of a flow.

    `failure` is the reason why the flow is broken, or empty.  `payload` is that
    of the segment to which a response is due, `received_segments` holds the
    sequence numbers of the response segments received so far, and
    `response_done` is set when all have arrived or the flow is broken.
    `opened_at` is a monotonic time in seconds.
    """

    __slots__ = (
        'closed',
        'failure',
        'opened',
        'opened_at',
        'payload',
        'plan',
        'received_segments',
        'response_done',
        'source',
        'upstream',
    )

    def __init__(self, source: Endpoint, plan: FlowPlan) -> None:
        """Initialize a flow that is not open yet."""
        self.source = source
        self.plan = plan
        self.response_done = asyncio.Event()
        self.received_segments: set[int] = set()
        self.payload = b''
        self.upstream = ''
        self.opened = False
        self.opened_at: float = 0
        self.closed = False
        self.failure = ''


@final
class Callers:
    """Hold the hosts of the callers and all their flows, past ones included.

    `unanswered_at` holds the monotonic times at which packets were sent that
    got no response within `RETRANSMISSION_SECONDS`.
    """

    __slots__ = (
        '_next_source_number',
        'fabric',
        'flow_by_source',
        'flows',
        'sockets',
        'unanswered_at',
    )

    def __init__(self, fabric: Fabric) -> None:
        """Initialize without hosts."""
        self.fabric = fabric
        self.sockets: dict[str, socket.socket] = {}
        self.flow_by_source: dict[Endpoint, Flow] = {}
        self.flows: list[Flow] = []
        self.unanswered_at: list[float] = []
        self._next_source_number = 0

    def new_flow(self, plan: FlowPlan) -> Flow:
        """Return a new flow from an address and port not used before."""
        hosts = sorted(self.sockets)
        host = hosts[self._next_source_number % len(hosts)]
        port = (
            FIRST_SOURCE_PORT
            + self._next_source_number // len(hosts) % PORTS_PER_HOST
        )
        self._next_source_number += 1
        flow = Flow((host, port), plan)
        self.flow_by_source[flow.source] = flow
        self.flows.append(flow)
        return flow


def open_hosts(callers: Callers, addresses: Sequence[str]) -> None:
    """Open the sockets of the callers' hosts and start reading from them."""

    def receive(packet: bytes) -> None:
        segment = decode_segment(packet)
        flow = callers.flow_by_source.get(segment.destination)
        if flow is not None:
            _handle_segment(flow, segment)

    for address in addresses:
        host_socket = open_socket(address, CALLER_PORT)
        callers.sockets[address] = host_socket
        start_reading(host_socket, receive, lambda: None)


def close_hosts(callers: Callers) -> None:
    """Stop reading from the sockets of the callers' hosts and close them."""
    loop = asyncio.get_running_loop()
    for host_socket in callers.sockets.values():
        loop.remove_reader(host_socket)
        host_socket.close()


async def run_flow(callers: Callers, flow: Flow) -> None:
    """Open a flow, send its requests and close it."""
    flow.opened = await _send_until_response(callers, flow, tcp.TH_SYN, b'')
    flow.opened_at = time.monotonic()
    if not flow.opened:
        flow.failure = flow.failure or 'not opened'
        return
    for number in range(flow.plan.request_count):
        payload = b'%s:%d #%d' % (
            flow.source[0].encode(),
            flow.source[1],
            number,
        )
        if not await _send_until_response(callers, flow, tcp.TH_ACK, payload):
            flow.failure = flow.failure or 'no answer'
            return
        await asyncio.sleep(flow.plan.pause_seconds)
    flow.closed = await _send_until_response(
        callers, flow, tcp.TH_FIN | tcp.TH_ACK, b''
    )
    if not flow.closed:
        flow.failure = flow.failure or 'not closed'


def open_flows(callers: Callers) -> Iterator[Flow]:
    """Yield the flows that are open and not broken."""
    for flow in callers.flows:
        if flow.opened and not flow.closed and not flow.failure:
            yield flow


async def _send_until_response(
    callers: Callers,
    flow: Flow,
    flags: int,
    payload: bytes,
) -> bool:
    """Send a segment until its response is complete.

    Return whether it is complete and the flow is not broken.
    """
    flow.payload = payload
    flow.received_segments.clear()
    flow.response_done.clear()
    packet = encode_segment(
        Segment(flow.source, flow.plan.endpoint, flags, 0, payload)
    )
    for _ in range(MAX_TRANSMISSIONS):
        _spray(callers, flow, packet)
        sent_at = time.monotonic()
        if await _wait_for_response(flow):
            return not flow.failure
        callers.unanswered_at.append(sent_at)
    return False


async def _wait_for_response(flow: Flow) -> bool:
    try:
        async with asyncio.timeout(RETRANSMISSION_SECONDS):
            return await flow.response_done.wait()
    except TimeoutError:
        return False


def _spray(callers: Callers, flow: Flow, packet: bytes) -> None:
    fabric = callers.fabric
    instance = fabric.random.choice(fabric.instances)
    callers.sockets[flow.source[0]].sendto(packet, instance)


def _handle_segment(flow: Flow, segment: Segment) -> None:
    if segment.source == flow.plan.endpoint:
        _handle_service_segment(flow, segment)
    else:
        flow.failure = 'answer of another service'
    if flow.failure:
        flow.response_done.set()


def _handle_service_segment(flow: Flow, segment: Segment) -> None:
    if segment.flags & tcp.TH_RST:
        flow.failure = 'reset'
    elif segment.flags & tcp.TH_SYN:
        _handle_syn_ack(flow, segment)
    elif segment.flags & tcp.TH_FIN:
        flow.response_done.set()
    else:
        _handle_response_segment(flow, segment)


def _handle_syn_ack(flow: Flow, segment: Segment) -> None:
    upstream = segment.payload.decode()
    if flow.upstream and flow.upstream != upstream:
        flow.failure = 'two upstreams accepted'
    flow.upstream = upstream
    if not flow.opened:
        flow.response_done.set()


def _handle_response_segment(flow: Flow, segment: Segment) -> None:
    upstream, _, payload = segment.payload.partition(b' ')
    if upstream.decode() == flow.upstream:
        _handle_response_payload(flow, segment, payload)
        return
    flow.failure = 'another upstream'


def _handle_response_payload(
    flow: Flow, segment: Segment, payload: bytes
) -> None:
    if payload == flow.payload:
        flow.received_segments.add(segment.sequence)
        if len(flow.received_segments) == RESPONSE_SEGMENTS:
            flow.response_done.set()
    elif _flow_label(payload) != _flow_label(flow.payload):
        flow.failure = 'answer of another flow'


def _flow_label(payload: bytes) -> bytes:
    return payload.partition(b' ')[0]
