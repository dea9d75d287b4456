"""Stand in for the fabric and the callers.

A caller's host is a UDP socket on an address of its own.  The fabric sends
each packet, repeated ones too, to an instance picked at random.  A flow opens,
sends requests with pauses, checks each whole answer, and closes.  It is broken
when it is reset, when an answer does not come in time, when an answer is not
its own, or when it comes from another upstream than before.
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
    build_segment,
    read_segment,
)
from bench.upstreams import ANSWER_SEGMENTS
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

RETRY_SECONDS: Final = 0.4
ATTEMPTS: Final = 12
FIRST_PORT: Final = 1024
PORTS_A_HOST: Final = 60_000


@final
class Fabric:
    """Spray packets over the instances it knows."""

    __slots__ = ('instances', 'random')

    def __init__(self, instances: Sequence[Endpoint], random: Random) -> None:
        """Keep the addresses of the instances' fabric ports."""
        self.instances = list(instances)
        self.random = random


@final
class FlowPlan:
    """Say what a flow does: `requests` of them, `pause` seconds apart."""

    __slots__ = ('pause', 'requests', 'service')

    def __init__(self, service: Endpoint, requests: int, pause: float) -> None:
        """Keep the service's endpoint and the pattern."""
        self.service = service
        self.requests = requests
        self.pause = pause


@final
class Flow:
    """Hold what a caller knows of one of its flows.

    `fault` tells why it is broken; `answers` holds the parts received of the
    request under way; `opened_at` is monotonic time in seconds.
    """

    __slots__ = (
        'answers',
        'arrived',
        'closed',
        'fault',
        'opened',
        'opened_at',
        'payload',
        'plan',
        'source',
        'upstream',
    )

    def __init__(self, source: Endpoint, plan: FlowPlan) -> None:
        """Start closed."""
        self.source = source
        self.plan = plan
        self.arrived = asyncio.Event()
        self.answers: set[int] = set()
        self.payload = b''
        self.upstream = ''
        self.opened = False
        self.opened_at: float = 0
        self.closed = False
        self.fault = ''


@final
class Callers:
    """Hold the hosts of the callers and every flow they ever had.

    `lost_at` are the monotonic times of packets that got no answer.
    """

    __slots__ = (
        '_next',
        'fabric',
        'flow_by_source',
        'flows',
        'lost_at',
        'sockets',
    )

    def __init__(self, fabric: Fabric) -> None:
        """Start without hosts."""
        self.fabric = fabric
        self.sockets: dict[str, socket.socket] = {}
        self.flow_by_source: dict[Endpoint, Flow] = {}
        self.flows: list[Flow] = []
        self.lost_at: list[float] = []
        self._next = 0

    def new_flow(self, plan: FlowPlan) -> Flow:
        """Return a flow from an address and port not used before."""
        hosts = sorted(self.sockets)
        host = hosts[self._next % len(hosts)]
        port = FIRST_PORT + self._next // len(hosts) % PORTS_A_HOST
        self._next += 1
        flow = Flow((host, port), plan)
        self.flow_by_source[flow.source] = flow
        self.flows.append(flow)
        return flow


def open_hosts(callers: Callers, addresses: Sequence[str]) -> None:
    """Bind the sockets of the callers' hosts and read from them."""

    def receive(packet: bytes) -> None:
        segment = read_segment(packet)
        flow = callers.flow_by_source.get(segment.destination)
        if flow is not None:
            _take_answer(flow, segment)

    for address in addresses:
        own_socket = open_socket(address, CALLER_PORT)
        callers.sockets[address] = own_socket
        start_reading(own_socket, receive, lambda: None)


def close_hosts(callers: Callers) -> None:
    """Stop reading and close the sockets of the callers' hosts."""
    loop = asyncio.get_running_loop()
    for own_socket in callers.sockets.values():
        loop.remove_reader(own_socket)
        own_socket.close()


async def run_flow(callers: Callers, flow: Flow) -> None:
    """Open a flow, send its requests, close it."""
    flow.opened = await _exchange(callers, flow, tcp.TH_SYN, b'')
    flow.opened_at = time.monotonic()
    if not flow.opened:
        flow.fault = flow.fault or 'not opened'
        return
    for number in range(flow.plan.requests):
        payload = b'%s:%d #%d' % (
            flow.source[0].encode(),
            flow.source[1],
            number,
        )
        if not await _exchange(callers, flow, tcp.TH_ACK, payload):
            flow.fault = flow.fault or 'no answer'
            return
        await asyncio.sleep(flow.plan.pause)
    flow.closed = await _exchange(callers, flow, tcp.TH_FIN | tcp.TH_ACK, b'')
    if not flow.closed:
        flow.fault = flow.fault or 'not closed'


def open_flows(callers: Callers) -> Iterator[Flow]:
    """Yield the flows that are open and whole."""
    for flow in callers.flows:
        if flow.opened and not flow.closed and not flow.fault:
            yield flow


async def _exchange(
    callers: Callers,
    flow: Flow,
    flags: int,
    payload: bytes,
) -> bool:
    """Send a segment until its whole answer is there; tell if it came."""
    flow.payload = payload
    flow.answers.clear()
    flow.arrived.clear()
    packet = build_segment(
        Segment(flow.source, flow.plan.service, flags, 0, payload)
    )
    for _ in range(ATTEMPTS):
        _spray(callers, flow, packet)
        sent_at = time.monotonic()
        if await _wait_for_answer(flow):
            return not flow.fault
        callers.lost_at.append(sent_at)
    return False


async def _wait_for_answer(flow: Flow) -> bool:
    try:
        async with asyncio.timeout(RETRY_SECONDS):
            return await flow.arrived.wait()
    except TimeoutError:
        return False


def _spray(callers: Callers, flow: Flow, packet: bytes) -> None:
    fabric = callers.fabric
    instance = fabric.random.choice(fabric.instances)
    callers.sockets[flow.source[0]].sendto(packet, instance)


def _take_answer(flow: Flow, segment: Segment) -> None:
    if segment.source == flow.plan.service:
        _take_own_answer(flow, segment)
    else:
        flow.fault = 'answer of another service'
    if flow.fault:
        flow.arrived.set()


def _take_own_answer(flow: Flow, segment: Segment) -> None:
    if segment.flags & tcp.TH_RST:
        flow.fault = 'reset'
    elif segment.flags & tcp.TH_SYN:
        _take_opening(flow, segment)
    elif segment.flags & tcp.TH_FIN:
        flow.arrived.set()
    else:
        _take_part(flow, segment)


def _take_opening(flow: Flow, segment: Segment) -> None:
    upstream = segment.payload.decode()
    if flow.upstream and flow.upstream != upstream:
        flow.fault = 'two upstreams accepted'
    flow.upstream = upstream
    if not flow.opened:
        flow.arrived.set()


def _take_part(flow: Flow, segment: Segment) -> None:
    upstream, _, payload = segment.payload.partition(b' ')
    if upstream.decode() == flow.upstream:
        _take_payload(flow, segment, payload)
        return
    flow.fault = 'another upstream'


def _take_payload(flow: Flow, segment: Segment, payload: bytes) -> None:
    if payload == flow.payload:
        flow.answers.add(segment.sequence)
        if len(flow.answers) == ANSWER_SEGMENTS:
            flow.arrived.set()
    elif _owner_of(payload) != _owner_of(flow.payload):
        flow.fault = 'answer of another flow'


def _owner_of(payload: bytes) -> bytes:
    return payload.partition(b' ')[0]
