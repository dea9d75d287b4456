"""Compare ways to place flows by replaying a heavy day's arrivals offline.

Upstreams, callers and the clock are simulated; the choice is the daemon's own.
Every way gets the same arrivals.  Requests of one flow go to one upstream, an
instance sees the packets of its own flows, and an upstream sheds what exceeds
its queue.
"""

import heapq
import itertools
import statistics
import time
from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Final, final

import msgspec

from marlbend.steering import (
    Callbacks,
    LocalInstance,
    Publication,
    Steering,
    Upstream,
    UpstreamEntry,
    update_routes,
)
from marlbend.steering.upstreams import PeerReport, register_upstream
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberUpdate,
    UpstreamUpdate,
    encode_heartbeat,
)

__all__ = (
    'BEAT_SECONDS',
    'DOMAINS',
    'SERVICE',
    'Field',
    'PlacingFigures',
    'Way',
    'replay_arrivals',
)

SECONDS: Final = 12.0
# What comes before the upstreams have filled is not measured.
WARM_SECONDS: Final = 2.0
DOMAINS: Final = ('a', 'b', 'c')
INSTANCES: Final = 70
UPSTREAMS: Final = 60
SLOTS: Final = 2
QUEUE: Final = 16
# A crowd of 1.7 times the usual 730 requests a second.
FLOWS_A_SECOND: Final = 390.0
LONG_SHARE: Final = 0.3
LONG_REQUESTS: Final = 8
WORK_SECONDS: Final = 0.055
WORK_SPREAD: Final = 0.5
PAUSE_SECONDS: Final = 0.5
BEAT_SECONDS: Final = 0.25
REMOTE_PORT: Final = 6081
SERVICE: Final = 'catalog'
UPSTREAM_NAME: Final = 'u-{:04x}'
_MILLISECONDS: Final = 1000
_MICROSECONDS: Final = 1_000_000
_LAST_PERCENT: Final = 98


# Something that happens at a time of the simulation.
Act = Callable[[], None]
Waiting = tuple[float, Act]
# When, in which order, and what.
Pending = tuple[float, int, Act]


class PlacingFigures(msgspec.Struct, frozen=True):
    """Give what one way of placing does.

    Waiting is in milliseconds in the queue of an upstream.  `imbalance` is the
    work of the busiest upstream over the mean, `remote_share` the flows that
    leave their domain, `bytes_per_s` what an instance sends others inside its
    domain, and `choice_us` the processor time of a choice.
    """

    p50_ms: float
    p99_ms: float
    shed_share: float
    imbalance: float
    remote_share: float
    bytes_per_s: float
    choice_us: float


class Server(msgspec.Struct):
    """Simulate an upstream: requests in work, those that wait, work done."""

    busy: int = 0
    waiting: deque[Waiting] = msgspec.field(default_factory=deque)
    worked: float = 0


class Way(msgspec.Struct, frozen=True):
    """Describe a way: who chooses, and whom instances tell of their load.

    `targets` is how many of the domain hear each beat, -1 for all.
    """

    choose: Callable[['Field', int], Upstream | None]
    targets: int = 0
    beat_seconds: float = BEAT_SECONDS


@final
class Field:
    """Hold the simulation: time, servers, and what each instance knows."""

    __slots__ = (
        'now',
        'order',
        'pending',
        'random',
        'remote',
        'sent_bytes',
        'server_by_name',
        'shed',
        'spent',
        'steerings',
        'waits',
    )

    def __init__(self, seed: int) -> None:
        """Start with idle upstreams that every instance knows."""
        self.now: float = 0
        self.random = Random(seed)
        self.pending: list[Pending] = []
        self.order = itertools.count()
        self.server_by_name = {name: Server() for name in _list_names()}
        self.steerings = [_make_steering(each) for each in range(INSTANCES)]
        self.waits: list[float] = []
        self.shed = 0
        self.remote = 0
        self.sent_bytes = 0
        self.spent: float = 0


def _list_names() -> Iterator[str]:
    for number in range(UPSTREAMS):
        yield UPSTREAM_NAME.format(number)


def _make_steering(number: int) -> Steering:
    def ignore(*parts: object) -> None:
        """Send nothing."""

    place = LocalInstance(f'n-{number}', DOMAINS[number % len(DOMAINS)])
    ways = Callbacks(ignore, ignore, ignore, ignore)
    steering = Steering(place, ways, Random(number))
    update_routes(steering.routes, Publication(1, (), {}), 0)
    for position, name in enumerate(_list_names()):
        domain = DOMAINS[position % len(DOMAINS)]
        endpoint = ('127.0.0.1', REMOTE_PORT)
        entry = UpstreamEntry(
            name, SERVICE, endpoint, domain, SLOTS, True, 0, 1
        )
        register_upstream(steering.pool, entry, 0)
    return steering


def replay_arrivals(seed: int, way: Way) -> PlacingFigures:
    """Replay the arrivals of a seed in one way."""
    field = Field(seed)
    arrivals = list(_draw_arrivals(seed))
    for came, instance, requests in arrivals:
        _plan(field, came, _arrival(field, way, instance, requests))
    if way.targets:
        for instance in range(INSTANCES):
            first = field.random.random() * way.beat_seconds
            _plan(field, first, _beating(field, way, instance))
    while field.pending:
        at, _, act = heapq.heappop(field.pending)
        if at > SECONDS:
            break
        field.now = at
        act()
    return _sum_up(field, len(arrivals))


def _sum_up(field: Field, flows: int) -> PlacingFigures:
    worked = [server.worked for server in field.server_by_name.values()]
    percentiles = statistics.quantiles(field.waits, n=100)
    return PlacingFigures(
        p50_ms=round(statistics.median(field.waits) * _MILLISECONDS, 2),
        p99_ms=round(percentiles[_LAST_PERCENT] * _MILLISECONDS, 1),
        shed_share=round(field.shed / (len(field.waits) + field.shed), 5),
        imbalance=round(max(worked) / statistics.mean(worked), 3),
        remote_share=round(field.remote / flows, 3),
        bytes_per_s=round(field.sent_bytes / SECONDS / INSTANCES),
        choice_us=round(field.spent / flows * _MICROSECONDS, 1),
    )


def _draw_arrivals(seed: int) -> Iterator[tuple[float, int, int]]:
    """Yield when a flow comes, to which instance, with how many requests."""
    random = Random(seed)
    at: float = 0
    while at < SECONDS:
        at += random.expovariate(FLOWS_A_SECOND)
        long = random.random() < LONG_SHARE
        requests = LONG_REQUESTS if long else 1
        yield at, random.randrange(INSTANCES), requests


def _plan(field: Field, at: float, act: Act) -> None:
    heapq.heappush(field.pending, (at, next(field.order), act))


def _arrival(
    field: Field,
    way: Way,
    instance: int,
    requests: int,
) -> Act:
    def arrive() -> None:
        steering = field.steerings[instance]
        steering.now = field.now
        started = time.process_time()
        upstream = way.choose(field, instance)
        field.spent += time.process_time() - started
        if upstream is None:
            return
        own = steering.pool.by_name[upstream.name]
        own.flows += 1
        field.remote += own.entry.domain != steering.local_instance.domain
        _request(field, own, requests)

    return arrive


def _request(field: Field, own: Upstream, left: int) -> None:
    """Send a request of a flow; the next one follows after a pause."""
    server = field.server_by_name[own.name]
    work = field.random.lognormvariate(0, WORK_SPREAD) * WORK_SECONDS
    own.busy += 1

    def finish() -> None:
        server.busy -= 1
        own.busy -= 1
        if server.waiting:
            since, start = server.waiting.popleft()
            _note_wait(field, since)
            start()
        if left > 1:
            pause = field.random.expovariate(1 / PAUSE_SECONDS)
            _plan(
                field,
                field.now + pause,
                lambda: _request(field, own, left - 1),
            )
        else:
            own.flows -= 1

    def start_work() -> None:
        server.busy += 1
        server.worked += work
        _plan(field, field.now + work, finish)

    if server.busy < SLOTS:
        _note_wait(field, field.now)
        start_work()
    elif len(server.waiting) < QUEUE:
        server.waiting.append((field.now, start_work))
    else:
        field.shed += 1
        own.busy -= 1
        own.flows -= 1


def _note_wait(field: Field, since: float) -> None:
    if since > WARM_SECONDS:
        field.waits.append(field.now - since)


def _beating(field: Field, way: Way, instance: int) -> Act:
    """Return what tells others of the domain an instance's load."""
    steering = field.steerings[instance]
    domain = steering.local_instance.domain
    near = [
        each
        for each in field.steerings
        if each.local_instance.domain == domain and each is not steering
    ]

    def beat() -> None:
        count = len(near) if way.targets < 0 else way.targets
        size = len(_encode_load(steering))
        for other in field.random.sample(near, count):
            _tell(field, steering, other)
            field.sent_bytes += size
        _plan(field, field.now + way.beat_seconds, beat)

    return beat


def _encode_load(steering: Steering) -> bytes:
    name = steering.local_instance.name
    endpoint = ('127.0.0.1', REMOTE_PORT)
    myself = MemberUpdate(
        name, endpoint, steering.local_instance.domain, 0, can_read=True
    )
    loads = tuple(
        UpstreamUpdate(known.cookie, known.busy, 0, -1, 0)
        for known in steering.pool.by_name.values()
        if known.busy
    )
    return encode_heartbeat(Heartbeat((myself,), upstreams=loads))


def _tell(field: Field, teller: Steering, other: Steering) -> None:
    sender = teller.local_instance.name
    for name, known in teller.pool.by_name.items():
        told = other.pool.by_name[name].report_by_member
        if known.busy:
            told[sender] = PeerReport(field.now, known.busy)
        else:
            told.pop(sender, None)
