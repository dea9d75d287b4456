"""Simulate callers: open flows, send requests, retry, and check responses."""

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

SYN_TIMEOUT_SECONDS: Final = 1.4
# Times of the retransmissions of a SYN, after the first transmission.
SYN_RETRANSMIT_SECONDS: Final = (0.2, 0.6)
MIN_RETRANSMIT_SECONDS: Final = 0.2
MAX_RETRANSMIT_SECONDS: Final = 1.6
REQUEST_TIMEOUT_SECONDS: Final = 5.0
MAX_RETRIES: Final = 2
# Bounds of the pause between two requests on a flow.
REQUEST_PAUSE_SECONDS: Final = (0.2, 0.8)
FIRST_PORT: Final = 10_000
LAST_PORT: Final = 60_000
# A reset by an instance is valid if its sequence number is at most this far
# from the acknowledged one.
RESET_WINDOW_BYTES: Final = 76_800


class Route(msgspec.Struct, frozen=True):
    """Describe the requests that callers send to an endpoint.

    `requests` is how many a caller sends in sequence.  With `at_most_once`, a
    request must not run twice, so it is retried only if it was rejected.
    """

    endpoint: Endpoint
    at_most_once: bool
    requests: int
    pause_seconds: tuple[float, float] = REQUEST_PAUSE_SECONDS


class FlowEnded(Exception):
    """Signal that a flow failed.

    With `rejected`, no upstream can have run the request.
    """

    def __init__(self, reason: str, *, rejected: bool) -> None:
        """Store the reason, a key of `Caller.counts`."""
        super().__init__(reason)
        self.rejected = rejected


class CallerFlow(msgspec.Struct):
    """Hold a caller's state of a flow.

    `syn_sent_at` holds the time of each transmission of the SYN.  `upstream` is
    the name of the upstream that sent the first response, empty before.
    Received packets are queued in `inbox`.
    """

    source: Endpoint
    endpoint: Endpoint
    sequence: int
    acknowledged: int = 0
    cookie: int = 0
    opened_at: float = 0
    upstream: str = ''
    syn_sent_at: list[float] = []
    inbox: asyncio.Queue[Packet] = msgspec.field(default_factory=asyncio.Queue)


class Caller(msgspec.Struct):
    """Simulate the callers that share one address.

    `send` sends a packet to the routers.  `counts` counts requests by outcome
    and attempts by the reason of their failure.
    """

    address: str
    callbacks: FlowCallbacks
    random: Random
    send: Callable[[Packet], None]
    next_port: int = FIRST_PORT
    flow_by_port: dict[int, CallerFlow] = {}
    counts: Counter[str] = msgspec.field(default_factory=Counter)


async def send_requests(caller: Caller, route: Route, name: str) -> None:
    """Send requests in sequence, on one flow for as long as it doesn't fail."""
    flow: CallerFlow | None = None
    for number in range(route.requests):
        if number:
            pause_seconds = caller.random.uniform(*route.pause_seconds)
            await asyncio.sleep(pause_seconds)
        flow = await _send_with_retries(caller, route, f'{name}.{number}', flow)
    if flow is not None:
        _send_packet(caller, flow, FIN | ACK)
        _remove_flow(caller, flow)


async def open_flow(caller: Caller, endpoint: Endpoint) -> CallerFlow:
    """Open a flow; raise `FlowEnded` on a reset or timeout."""
    initial_sequence = caller.random.getrandbits(SEQUENCE_BITS)
    flow = CallerFlow(
        (caller.address, _allocate_port(caller)), endpoint, initial_sequence
    )
    caller.flow_by_port[flow.source[1]] = flow
    try:
        async for packet in _send_syn(caller, flow):
            _handle_syn_response(caller, flow, packet)
            if flow.opened_at:
                return flow
    except FlowEnded:
        _remove_flow(caller, flow)
        raise
    _remove_flow(caller, flow)
    raise FlowEnded('no answer', rejected=True)


async def _send_syn(
    caller: Caller,
    flow: CallerFlow,
) -> AsyncIterator[Packet]:
    """Send a SYN and its retransmissions; yield the packets received."""
    started_at = steady_seconds()
    for attempt, offset_seconds in enumerate(
        (*SYN_RETRANSMIT_SECONDS, SYN_TIMEOUT_SECONDS)
    ):
        flow.syn_sent_at.append(steady_seconds())
        caller.send(
            Packet(SYN, flow.source, flow.endpoint, flow.sequence, attempt)
        )
        async for packet in _receive_until(flow, started_at + offset_seconds):
            yield packet


async def _receive_until(
    flow: CallerFlow,
    until: float,
) -> AsyncIterator[Packet]:
    """Yield the packets that a flow receives until a time."""
    remaining_seconds = until - steady_seconds()
    while remaining_seconds > 0:
        # On a timeout, the consumer of this iterator retransmits or gives up.
        with suppress(TimeoutError):
            async with asyncio.timeout(remaining_seconds):
                yield await flow.inbox.get()
        remaining_seconds = until - steady_seconds()


def _handle_syn_response(
    caller: Caller, flow: CallerFlow, packet: Packet
) -> None:
    if packet.flags & RST:
        raise FlowEnded('refused', rejected=True)
    if packet.flags == SYN | ACK:
        flow.opened_at = steady_seconds()
        flow.sequence = add_to_sequence(flow.sequence, 1)
        flow.acknowledged = add_to_sequence(packet.sequence, 1)
        flow.cookie = packet.cookie
        _send_packet(caller, flow, ACK)


async def _send_with_retries(
    caller: Caller,
    route: Route,
    request: str,
    flow: CallerFlow | None,
) -> CallerFlow | None:
    """Send a request until it is served or can't be retried.

    Return the flow for the next request, or None if this request failed.
    """
    deadline = steady_seconds() + REQUEST_TIMEOUT_SECONDS
    can_retry = True
    attempts = (f'{request}/{number}' for number in range(MAX_RETRIES + 1))
    while can_retry:
        name = next(attempts)
        try:
            flow = await _attempt_request(caller, route, name, (flow, deadline))
        except FlowEnded as ending:
            flow = None
            can_retry = _record_failure(caller, route, name, ending)
        else:
            caller.counts['served'] += 1
            return flow
    caller.counts['failed'] += 1
    return flow


def _record_failure(
    caller: Caller,
    route: Route,
    attempt: str,
    ending: FlowEnded,
) -> bool:
    """Count a failed attempt; return whether the request may be retried."""
    caller.counts[str(ending)] += 1
    if ending.rejected:
        caller.callbacks.record_rejection(attempt)
    is_last_attempt = attempt.endswith(f'/{MAX_RETRIES}')
    return not is_last_attempt and (ending.rejected or not route.at_most_once)


async def _attempt_request(
    caller: Caller,
    route: Route,
    attempt: str,
    flow_and_deadline: tuple[CallerFlow | None, float],
) -> CallerFlow:
    """Send a request on the existing flow, or on a new one."""
    existing_flow, deadline = flow_and_deadline
    flow = existing_flow or await open_flow(caller, route.endpoint)
    kind = 'unsafe' if route.at_most_once else 'safe'
    request = attempt.partition('/')[0]
    payload = f'{kind} {request} {attempt}'.encode()
    response = await _exchange(caller, flow, payload, deadline)
    _check_response(caller, flow, attempt, response)
    return flow


async def _exchange(
    caller: Caller,
    flow: CallerFlow,
    payload: bytes,
    deadline: float,
) -> bytes:
    """Send a request on an open flow and return the complete response."""
    payload_by_sequence: dict[int, bytes] = {}
    start = flow.acknowledged
    wait_seconds = MIN_RETRANSMIT_SECONDS
    while steady_seconds() < deadline:
        _send_packet(caller, flow, ACK, payload)
        async for packet in _receive_until(
            flow, steady_seconds() + wait_seconds
        ):
            _handle_packet(caller, flow, packet, payload_by_sequence)
            response = _reassemble(payload_by_sequence, start)
            flow.acknowledged = add_to_sequence(start, len(response))
            if len(response) >= RESPONSE_BYTES:
                flow.sequence = add_to_sequence(flow.sequence, len(payload))
                _send_packet(caller, flow, ACK)
                return response
        wait_seconds = min(wait_seconds * 2, MAX_RETRANSMIT_SECONDS)
    _remove_flow(caller, flow)
    raise FlowEnded('late', rejected=False)


def _handle_packet(
    caller: Caller,
    flow: CallerFlow,
    packet: Packet,
    payload_by_sequence: dict[int, bytes],
) -> None:
    """Store the payload of a packet; raise `FlowEnded` on a reset."""
    if packet.flags & RST:
        _remove_flow(caller, flow)
        raise FlowEnded('reset', rejected=False)
    if packet.payload:
        payload_by_sequence[packet.sequence] = packet.payload


def _reassemble(payload_by_sequence: dict[int, bytes], start: int) -> bytes:
    """Return the contiguous bytes received from a sequence number on."""
    reassembled = bytearray()
    next_payload = payload_by_sequence.get(start)
    while next_payload:
        reassembled += next_payload
        next_payload = payload_by_sequence.get(
            add_to_sequence(start, len(reassembled))
        )
    return bytes(reassembled)


def _check_response(
    caller: Caller,
    flow: CallerFlow,
    attempt: str,
    response: bytes,
) -> None:
    upstream = response.split()[1].decode()
    if response != make_response(attempt, upstream):
        caller.callbacks.report_violation(
            'mixed', f'{attempt} got {shorten(response)}'
        )
    if flow.upstream not in {'', upstream}:
        caller.callbacks.report_violation(
            'mixed', f'{attempt}: {flow.upstream}, {upstream}'
        )
    flow.upstream = upstream


def is_valid_reset(flow: CallerFlow, packet: Packet) -> bool:
    """Return whether a flow may receive this reset from an instance."""
    is_in_window = (
        abs(sequence_distance(flow.acknowledged, packet.sequence))
        <= RESET_WINDOW_BYTES
    )
    is_bare_reset = packet.flags == RST and not packet.payload
    return is_bare_reset and (is_in_window or not flow.opened_at)


def _send_packet(
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


def _allocate_port(caller: Caller) -> int:
    port = caller.next_port
    caller.next_port = port + 1 if port < LAST_PORT else FIRST_PORT
    return port


def _remove_flow(caller: Caller, flow: CallerFlow) -> None:
    caller.flow_by_port.pop(flow.source[1], None)
