"""Stand in for callers: open flows, send requests, retry, and check answers."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from random import Random
from typing import Final

import msgspec

from bench.endpoints.callbacks import FlowCallbacks, shorten
from bench.endpoints.packets import (
    ACK,
    FIN,
    RST,
    SEQUENCE_BITS,
    SYN,
    Endpoint,
    Packet,
    add_to_sequence,
    sequence_distance,
)
from bench.endpoints.upstreams import RESPONSE_BYTES, make_response
from marlbend.clock import steady_seconds

__all__ = (
    'Caller',
    'CallerFlow',
    'FlowEnded',
    'Route',
    'is_valid_reset',
    'open_flow',
    'send_requests',
)

OPEN_SECONDS: Final = 1.4
COPY_SECONDS: Final = (0.2, 0.6)
FIRST_REPEAT_SECONDS: Final = 0.2
LONGEST_REPEAT_SECONDS: Final = 1.6
DEADLINE_SECONDS: Final = 5.0
RETRIES: Final = 2
# Between two requests on a flow.
PAUSE_SECONDS: Final = (0.2, 0.8)
FIRST_PORT: Final = 10_000
LAST_PORT: Final = 60_000
# How far a reset may be from what the caller acknowledged.
RESET_BYTES: Final = 76_800


class Route(msgspec.Struct, frozen=True):
    """Describe the requests that callers send to an endpoint.

    `requests` is their number on one flow.  With `at_most_once`, a request must
    not run twice, so it is retried only if it was rejected.
    """

    endpoint: Endpoint
    at_most_once: bool
    requests: int


class FlowEnded(Exception):
    """End a flow; `refused` says that nothing was run."""

    def __init__(self, reason: str, *, rejected: bool) -> None:
        """Keep the reason."""
        super().__init__(reason)
        self.rejected = rejected


class CallerFlow(msgspec.Struct):
    """Hold a caller's end of a flow.

    `sent_at` is when each copy of the opening packet was sent, `upstream`
    whose answer came first, empty before.  Packets come through `inbox`.
    """

    source: Endpoint
    endpoint: Endpoint
    sequence: int
    acknowledged: int = 0
    cookie: int = 0
    opened_at: float = 0
    upstream: str = ''
    sent_at: list[float] = []
    inbox: asyncio.Queue[Packet] = msgspec.field(default_factory=asyncio.Queue)


class Caller(msgspec.Struct):
    """Hold the callers behind one address.

    `send` gives a packet to the routers.  `counts` counts requests by how they
    ended.
    """

    address: str
    callbacks: FlowCallbacks
    random: Random
    send: Callable[[Packet], None]
    next_port: int = FIRST_PORT
    flow_by_port: dict[int, CallerFlow] = {}
    counts: Counter[str] = msgspec.field(default_factory=Counter)


async def send_requests(caller: Caller, route: Route, name: str) -> None:
    """Send requests one after the other, on one flow while it lasts."""
    flow: CallerFlow | None = None
    for number in range(route.requests):
        if number:
            pause = caller.random.uniform(*PAUSE_SECONDS)
            await asyncio.sleep(pause)
        flow = await _send_with_retries(caller, route, f'{name}.{number}', flow)
    if flow is not None:
        _write(caller, flow, FIN | ACK)
        _close(caller, flow)


async def open_flow(caller: Caller, endpoint: Endpoint) -> CallerFlow:
    """Open a flow; raise `FlowEnded` if that fails."""
    first = caller.random.getrandbits(SEQUENCE_BITS)
    flow = CallerFlow((caller.address, _take_port(caller)), endpoint, first)
    caller.flow_by_port[flow.source[1]] = flow
    try:
        async for packet in _knock(caller, flow):
            _read_opening(caller, flow, packet)
            if flow.opened_at:
                return flow
    except FlowEnded:
        _close(caller, flow)
        raise
    _close(caller, flow)
    raise FlowEnded('no answer', rejected=True)


async def _knock(
    caller: Caller,
    flow: CallerFlow,
) -> AsyncIterator[Packet]:
    """Send the opening packet and its copies; yield what comes back."""
    started = steady_seconds()
    for attempt, until in enumerate((*COPY_SECONDS, OPEN_SECONDS)):
        flow.sent_at.append(steady_seconds())
        caller.send(
            Packet(SYN, flow.source, flow.endpoint, flow.sequence, attempt)
        )
        async for packet in _receive_until(flow, started + until):
            yield packet


async def _receive_until(
    flow: CallerFlow,
    until: float,
) -> AsyncIterator[Packet]:
    """Yield the packets that come until a time."""
    left = until - steady_seconds()
    while left > 0:
        # Nothing came; the caller repeats itself or gives up.
        with suppress(TimeoutError):
            async with asyncio.timeout(left):
                yield await flow.inbox.get()
        left = until - steady_seconds()


def _read_opening(caller: Caller, flow: CallerFlow, packet: Packet) -> None:
    if packet.flags & RST:
        raise FlowEnded('refused', rejected=True)
    if packet.flags == SYN | ACK:
        flow.opened_at = steady_seconds()
        flow.sequence = add_to_sequence(flow.sequence, 1)
        flow.acknowledged = add_to_sequence(packet.sequence, 1)
        flow.cookie = packet.cookie
        _write(caller, flow, ACK)


async def _send_with_retries(
    caller: Caller,
    route: Route,
    request: str,
    flow: CallerFlow | None,
) -> CallerFlow | None:
    """Send a request until it is answered or may not be sent again."""
    deadline = steady_seconds() + DEADLINE_SECONDS
    again = True
    attempts = (f'{request}/{number}' for number in range(RETRIES + 1))
    while again:
        name = next(attempts)
        try:
            flow = await _try_once(caller, route, name, (flow, deadline))
        except FlowEnded as ending:
            flow = None
            again = _may_retry(caller, route, name, ending)
        else:
            caller.counts['served'] += 1
            return flow
    caller.counts['failed'] += 1
    return flow


def _may_retry(
    caller: Caller,
    route: Route,
    attempt: str,
    ending: FlowEnded,
) -> bool:
    """Count how an attempt ended; tell if another one may follow."""
    caller.counts[str(ending)] += 1
    if ending.rejected:
        caller.callbacks.record_rejection(attempt)
    last = attempt.endswith(f'/{RETRIES}')
    return not last and (ending.rejected or not route.at_most_once)


async def _try_once(
    caller: Caller,
    route: Route,
    attempt: str,
    limits: tuple[CallerFlow | None, float],
) -> CallerFlow:
    """Send a request on the flow that is open, or on a new one."""
    known, deadline = limits
    flow = known or await open_flow(caller, route.endpoint)
    kind = 'unsafe' if route.at_most_once else 'safe'
    request = attempt.partition('/')[0]
    payload = f'{kind} {request} {attempt}'.encode()
    answer = await _exchange(caller, flow, payload, deadline)
    _check_answer(caller, flow, attempt, answer)
    return flow


async def _exchange(
    caller: Caller,
    flow: CallerFlow,
    payload: bytes,
    deadline: float,
) -> bytes:
    """Send a request on an open flow and return its whole answer."""
    part_by_start: dict[int, bytes] = {}
    start = flow.acknowledged
    pause = FIRST_REPEAT_SECONDS
    while steady_seconds() < deadline:
        _write(caller, flow, ACK, payload)
        async for packet in _receive_until(flow, steady_seconds() + pause):
            _take(caller, flow, packet, part_by_start)
            answer = _join(part_by_start, start)
            flow.acknowledged = add_to_sequence(start, len(answer))
            if len(answer) >= RESPONSE_BYTES:
                flow.sequence = add_to_sequence(flow.sequence, len(payload))
                _write(caller, flow, ACK)
                return answer
        pause = min(pause * 2, LONGEST_REPEAT_SECONDS)
    _close(caller, flow)
    raise FlowEnded('late', rejected=False)


def _take(
    caller: Caller,
    flow: CallerFlow,
    packet: Packet,
    part_by_start: dict[int, bytes],
) -> None:
    """Take a packet of an open flow; raise `FlowEnded` if it is a reset."""
    if packet.flags & RST:
        _close(caller, flow)
        raise FlowEnded('reset', rejected=False)
    if packet.payload:
        part_by_start[packet.sequence] = packet.payload


def _join(part_by_start: dict[int, bytes], start: int) -> bytes:
    """Return the bytes that follow each other from a position on."""
    joined = bytearray()
    part = part_by_start.get(start)
    while part:
        joined += part
        part = part_by_start.get(add_to_sequence(start, len(joined)))
    return bytes(joined)


def _check_answer(
    caller: Caller,
    flow: CallerFlow,
    attempt: str,
    answer: bytes,
) -> None:
    upstream = answer.split()[1].decode()
    if answer != make_response(attempt, upstream):
        caller.callbacks.report_violation(
            'mixed', f'{attempt} got {shorten(answer)}'
        )
    if flow.upstream not in {'', upstream}:
        caller.callbacks.report_violation(
            'mixed', f'{attempt}: {flow.upstream}, {upstream}'
        )
    flow.upstream = upstream


def is_valid_reset(flow: CallerFlow, packet: Packet) -> bool:
    """Tell whether a reset by an instance is one that the flow may get."""
    near = (
        abs(sequence_distance(flow.acknowledged, packet.sequence))
        <= RESET_BYTES
    )
    bare = packet.flags == RST and not packet.payload
    return bare and (near or not flow.opened_at)


def _write(
    caller: Caller,
    flow: CallerFlow,
    flags: int,
    payload: bytes = b'',
) -> None:
    caller.send(
        Packet(
            flags,
            flow.source,
            flow.endpoint,
            flow.sequence,
            flow.acknowledged,
            flow.cookie,
            payload,
        )
    )


def _take_port(caller: Caller) -> int:
    port = caller.next_port
    caller.next_port = port + 1 if port < LAST_PORT else FIRST_PORT
    return port


def _close(caller: Caller, flow: CallerFlow) -> None:
    caller.flow_by_port.pop(flow.source[1], None)
