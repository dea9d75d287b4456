"""Simulate the callers and the upstreams of a fleet.

Callers see only the packets that an instance forwards and the resets that it
sends.  Upstreams answer callers directly, so an instance sees no responses.
All packets of a flow reach the same instance.  The host of an upstream that
crashed resets SYNs and answers nothing else; after the upstream's return, it
resets the flows that were open before.
"""

import enum
import itertools
import zlib
from collections.abc import Callable, Iterator
from functools import partial
from typing import Final, final

import msgspec

from bench.events import schedule
from bench.placing import (
    SLOTS_PER_UPSTREAM,
    SimulatedUpstream,
)
from bench.placing_fleet import (
    CALLER_SECONDS,
    Fleet,
    Instance,
    send_to_instance,
)
from marlbend.steering import Packet, RouteSpec, Upstream

__all__ = (
    'CallerOutcome',
    'CallerRequest',
    'CallerRoute',
    'Callers',
    'Session',
    'ask_next',
    'connect_callers',
)

QUEUE_LIMIT: Final = 8
# When a caller repeats a SYN, and when it gives up, after the first one.
SYN_RETRANSMISSIONS: Final = (0.2, 0.6)
HANDSHAKE_LIMIT_SECONDS: Final = 1.4
# The pauses between the transmissions of a request double.
MIN_RETRANSMIT_SECONDS: Final = 0.2
MAX_RETRANSMIT_SECONDS: Final = 1.6
MAX_TRIES: Final = 3
RETRY_DELAY_SECONDS: Final = (0.02, 0.05)
REQUEST_BYTES: Final = 900
SHED_BYTES: Final = 100
PORT_COUNT: Final = 65_536
CALLER_NETWORK: Final = (10, 1)


@enum.unique
@final
class CallerOutcome(enum.Enum):
    """List what becomes of a request; each request has exactly one outcome.

    A request is in time or late if it was answered within its target or its
    deadline, counted from its first try.  It is refused if an instance reset
    its last try or an upstream shed it, and failed otherwise.
    """

    IN_TIME = 'in_time'
    LATE = 'late'
    REFUSED = 'refused'
    FAILED = 'failed'


class CallerRoute(msgspec.Struct, frozen=True):
    """Describe the requests of one route.

    `share` is its share of all requests, and `requests` how many a flow has.
    """

    spec: RouteSpec
    requests: int
    deadline_seconds: float
    mean_seconds: float
    share: float

    def judge(self, seconds: float) -> CallerOutcome:
        """Return the outcome of a request that was answered."""
        if seconds <= self.spec.target_seconds:
            return CallerOutcome.IN_TIME
        if seconds <= self.deadline_seconds:
            return CallerOutcome.LATE
        return CallerOutcome.FAILED


class CallerRequest(msgspec.Struct, eq=False):
    """Hold one request of a caller.

    It is asked for at `planned_at`, or when the previous one of its session has
    an outcome if that is later.  `seconds` is the time to the response, zero
    without one.
    """

    planned_at: float
    cost_seconds: float
    response_bytes: int
    asked_at: float = 0
    tries: int = 0
    seconds: float = 0
    outcome: CallerOutcome | None = None


class CallerFlow(msgspec.Struct, eq=False):
    """Hold the caller's side of a flow.

    `upstream` is the one that completed the handshake.
    """

    key: bytes
    endpoint: bytes
    instance: Instance
    cookie: int = 0
    sequence: int = 1
    acknowledged: int = 0
    is_ended: bool = False
    upstream: SimulatedUpstream = msgspec.field(
        default_factory=SimulatedUpstream
    )


class Session(msgspec.Struct, eq=False):
    """Hold the requests that a caller makes one after the other.

    They share one flow; a new one follows if it ends early.  `number` selects
    the instances of `domain` that get the flows, the same with all methods.
    `asked` is the number of requests asked for.
    """

    number: int
    caller: int
    route: CallerRoute
    domain: str
    requests: list[CallerRequest]
    asked: int = 0
    flow: CallerFlow | None = None

    @property
    def request(self) -> CallerRequest:
        """Return the latest request asked for."""
        return self.requests[self.asked - 1]


class Callers(msgspec.Struct, eq=False):
    """Hold the open flows, the upstreams and the counts of tries.

    `find_slowdown` returns how much slower an upstream is at a time.
    `unsettled` is the number of requests without an outcome.  `syns` counts the
    SYNs that instances sent to upstreams, and `unanswered_syns` those sent to
    an upstream that was gone.
    """

    fleet: Fleet
    find_slowdown: Callable[[str, float], float]
    upstream_by_name: dict[str, SimulatedUpstream]
    session_by_key: dict[bytes, Session] = msgspec.field(default_factory=dict)
    flow_numbers: Iterator[int] = msgspec.field(default_factory=itertools.count)
    unsettled: int = 0
    tries: int = 0
    reset_tries: int = 0
    shed_tries: int = 0
    syns: int = 0
    unanswered_syns: int = 0


def connect_callers(callers: Callers) -> None:
    """Let the callers see what the instances do with their packets."""

    def forward(packet: Packet, upstream: Upstream) -> None:
        if packet.is_syn:
            _answer_syn(callers, packet.flow_key, upstream)
            return
        session = callers.session_by_key.get(packet.flow_key)
        if session is None or session.flow is None:
            return
        if packet.payload_size:
            _serve(callers, session, session.flow, upstream.name)

    def reset(key: bytes) -> None:
        session = callers.session_by_key.get(key)
        if session is not None:
            callers.reset_tries += 1
            _end_flow(callers, session)
            _try_again(callers, session)

    callers.fleet.forward = forward
    callers.fleet.reset = reset


def ask_next(callers: Callers, session: Session) -> None:
    """Ask for the next request of a session when it is due."""

    def ask() -> None:
        session.asked += 1
        session.request.asked_at = callers.fleet.now
        _send_try(callers, session)

    if session.asked < len(session.requests):
        planned_at = session.requests[session.asked].planned_at
        schedule(callers.fleet, max(planned_at, callers.fleet.now), ask)


def _send_try(callers: Callers, session: Session) -> None:
    session.request.tries += 1
    callers.tries += 1
    if session.flow is None:
        _open_flow(callers, session)
    else:
        _send_request(callers, session, session.flow)


def _make_flow(callers: Callers, session: Session) -> CallerFlow:
    port = next(callers.flow_numbers) % PORT_COUNT
    endpoint = session.route.spec.endpoint
    key = bytes(
        (*CALLER_NETWORK, *session.caller.to_bytes(2), *port.to_bytes(2))
    )
    instances = [
        each
        for each in callers.fleet.instances
        if each.member.domain == session.domain
    ]
    numbers = (session.number, session.asked, session.request.tries)
    digest = zlib.crc32(repr(numbers).encode())
    return CallerFlow(
        key + endpoint, endpoint, instances[digest % len(instances)]
    )


def _open_flow(callers: Callers, session: Session) -> None:
    fleet = callers.fleet
    flow = _make_flow(callers, session)
    session.flow = flow
    callers.session_by_key[flow.key] = session

    def send_syn(attempt: int) -> None:
        if not flow.cookie and not flow.is_ended:
            packet = _make_packet(flow, is_syn=True, attempt=attempt)
            send_to_instance(fleet, flow.instance, packet)

    def give_up() -> None:
        if not flow.cookie and not flow.is_ended:
            _end_flow(callers, session)
            _settle(callers, session, CallerOutcome.FAILED)

    send_syn(0)
    for attempt, seconds in enumerate(SYN_RETRANSMISSIONS, 1):
        schedule(fleet, fleet.now + seconds, partial(send_syn, attempt))
    schedule(fleet, fleet.now + HANDSHAKE_LIMIT_SECONDS, give_up)


def _make_packet(flow: CallerFlow, **fields: int) -> Packet:
    packet = Packet(b'raw')
    packet.flow_key = flow.key
    packet.endpoint = flow.endpoint
    packet.cookie = flow.cookie
    packet.sequence = flow.sequence
    packet.acknowledged = flow.acknowledged
    for name, field in fields.items():
        setattr(packet, name, field)
    return packet


def _answer_syn(callers: Callers, key: bytes, upstream: Upstream) -> None:
    simulated = callers.upstream_by_name[upstream.name]
    callers.syns += 1
    callers.unanswered_syns += simulated.is_gone
    session = callers.session_by_key.get(key)
    if session is None or session.flow is None:
        return
    flow = session.flow

    def complete_handshake() -> None:
        if not flow.cookie and not flow.is_ended:
            flow.cookie = upstream.cookie
            flow.upstream = simulated
            _send_request(callers, session, flow)

    if simulated.is_gone:
        _reset_by_host(callers, session, flow)
    else:
        fleet = callers.fleet
        schedule(fleet, fleet.now + CALLER_SECONDS, complete_handshake)


def _reset_by_host(
    callers: Callers, session: Session, flow: CallerFlow
) -> None:
    """Let a host end a try; a caller ignores that once another completed it."""

    def reset() -> None:
        is_open = flow.cookie and not flow.upstream.is_gone
        if not is_open and not flow.is_ended:
            _end_flow(callers, session)
            _try_again(callers, session, CallerOutcome.FAILED)

    schedule(callers.fleet, callers.fleet.now + CALLER_SECONDS, reset)


def _send_request(callers: Callers, session: Session, flow: CallerFlow) -> None:
    """Send a request; retransmit it while its upstream is gone."""
    fleet = callers.fleet
    request = session.request
    packet = _make_packet(flow, payload_size=REQUEST_BYTES)
    flow.sequence += REQUEST_BYTES
    deadline_at = request.asked_at + session.route.deadline_seconds

    def retransmit(seconds: float) -> None:
        if flow.is_ended or request.outcome:
            return
        if flow.upstream.is_gone and fleet.now >= deadline_at:
            _end_flow(callers, session)
            _settle(callers, session, CallerOutcome.FAILED)
            return
        if flow.upstream.is_gone:
            send_to_instance(fleet, flow.instance, packet)
        wait_later(min(2 * seconds, MAX_RETRANSMIT_SECONDS))

    def wait_later(seconds: float) -> None:
        schedule(fleet, fleet.now + seconds, partial(retransmit, seconds))

    send_to_instance(fleet, flow.instance, packet)
    wait_later(MIN_RETRANSMIT_SECONDS)


def _serve(
    callers: Callers, session: Session, flow: CallerFlow, name: str
) -> None:
    """Start a request, queue it, or shed it with a short response."""
    fleet = callers.fleet
    upstream = callers.upstream_by_name[name]
    request = session.request
    if upstream.is_gone:
        return
    if flow.upstream.is_gone:
        _reset_by_host(callers, session, flow)
        return

    def start() -> None:
        upstream.busy += 1
        slowdown = callers.find_slowdown(name, fleet.now)
        schedule(fleet, fleet.now + request.cost_seconds * slowdown, end)

    def end() -> None:
        if upstream.is_gone:
            return
        upstream.busy -= 1
        respond(request.response_bytes)
        if upstream.queue:
            upstream.queue.popleft()[1]()

    def respond(size: int) -> None:
        schedule(
            fleet,
            fleet.now + CALLER_SECONDS,
            lambda: _receive_response(callers, session, flow, size),
        )

    if upstream.busy < SLOTS_PER_UPSTREAM:
        start()
    elif len(upstream.queue) < QUEUE_LIMIT:
        upstream.queue.append((fleet.now, start))
    else:
        respond(SHED_BYTES)


def _receive_response(
    callers: Callers, session: Session, flow: CallerFlow, size: int
) -> None:
    if flow.is_ended:
        return
    flow.acknowledged += size
    request = session.request
    is_shed = size == SHED_BYTES
    is_closing = is_shed or session.asked == len(session.requests)
    packet = _make_packet(flow, is_closing=is_closing)
    send_to_instance(callers.fleet, flow.instance, packet)
    if is_closing:
        _end_flow(callers, session)
    if is_shed:
        callers.shed_tries += 1
        _try_again(callers, session)
        return
    request.seconds = callers.fleet.now - request.asked_at
    _settle(callers, session, session.route.judge(request.seconds))


def _end_flow(callers: Callers, session: Session) -> None:
    if session.flow is not None:
        session.flow.is_ended = True
        callers.session_by_key.pop(session.flow.key)
        session.flow = None


def _try_again(
    callers: Callers,
    session: Session,
    outcome: CallerOutcome = CallerOutcome.REFUSED,
) -> None:
    """Try a request on a new flow, or settle it with an outcome."""
    fleet = callers.fleet
    request = session.request
    retry_at = fleet.now + fleet.random.uniform(*RETRY_DELAY_SECONDS)
    deadline_at = request.asked_at + session.route.deadline_seconds
    if request.tries < MAX_TRIES and retry_at < deadline_at:
        schedule(fleet, retry_at, lambda: _send_try(callers, session))
    else:
        _settle(callers, session, outcome)


def _settle(callers: Callers, session: Session, outcome: CallerOutcome) -> None:
    session.request.outcome = outcome
    callers.unsettled -= 1
    callers.fleet.is_running = callers.unsettled > 0
    ask_next(callers, session)
