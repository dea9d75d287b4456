"""Compare placement strategies by simulating the arrivals of a load peak.

Upstreams, callers and the clock are simulated; the daemon's own code chooses
upstreams.  Every strategy gets the same arrivals.  All requests of a flow go to
one upstream, an instance sees only the packets of its own flows, and an
upstream sheds the requests that exceed its queue.
"""

import statistics
import time
from collections import deque
from collections.abc import Callable, Iterator
from random import Random
from typing import Final, final

import msgspec

from bench.events import (
    Action,
    EventQueue,
    draw_arrival_times,
    run_events,
    schedule,
)
from marlbend.steering import (
    Callbacks,
    LocalInstance,
    Publication,
    Steering,
    Upstream,
    UpstreamEntry,
    update_routes,
)
from marlbend.steering.reports import PeerReport, add_report, remove_report
from marlbend.steering.upstreams import register_upstream
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberUpdate,
    UpstreamUpdate,
    encode_heartbeat,
)

__all__ = (
    'DOMAINS',
    'HEARTBEAT_SECONDS',
    'LONG_FLOW_REQUESTS',
    'MEAN_REQUEST_PAUSE_SECONDS',
    'SERVICE',
    'SERVICE_TIME_SIGMA',
    'SLOTS_PER_UPSTREAM',
    'UNMEASURED_SECONDS',
    'UPSTREAM_COUNT',
    'PlacementStrategy',
    'PlacingFigures',
    'SimulatedUpstream',
    'Simulation',
    'list_upstream_names',
    'replay_arrivals',
)

SIMULATED_SECONDS: Final = 12.0
# The queue times of requests that arrive within this time aren't measured, as
# the upstreams aren't loaded yet.
UNMEASURED_SECONDS: Final = 2.0
DOMAINS: Final = ('a', 'b', 'c')
INSTANCE_COUNT: Final = 70
UPSTREAM_COUNT: Final = 60
SLOTS_PER_UPSTREAM: Final = 2
QUEUE_LIMIT: Final = 16
# Makes 1,209 requests per second on average, 1.7 times the usual 730.
FLOWS_PER_SECOND: Final = 390.0
LONG_FLOW_SHARE: Final = 0.3
LONG_FLOW_REQUESTS: Final = 8
MEDIAN_SERVICE_SECONDS: Final = 0.055
# Sigma of the lognormal factor of the service time.
SERVICE_TIME_SIGMA: Final = 0.5
MEAN_REQUEST_PAUSE_SECONDS: Final = 0.5
HEARTBEAT_SECONDS: Final = 0.25
ENDPOINT_PORT: Final = 6081
SERVICE: Final = 'catalog'
UPSTREAM_NAME_FORMAT: Final = 'u-{:04x}'
_MILLISECONDS_PER_SECOND: Final = 1000
_MICROSECONDS_PER_SECOND: Final = 1_000_000
_P99_INDEX: Final = 98


# The time at which a request was queued, and the event that starts its
# service.
QueuedRequest = tuple[float, Action]


class PlacingFigures(msgspec.Struct, frozen=True):
    """Report the results of one placement strategy.

    `p50_ms` and `p99_ms` are percentiles of the time in the queue of an
    upstream, without the first `UNMEASURED_SECONDS`.  `shed_share` is the
    requests shed in the whole run, divided by the sum of these and of the
    queue times measured.  `imbalance` is the service time of the busiest
    upstream divided by the mean.
    `remote_share` is the share of flows placed in another domain.
    `bytes_per_s` is what an instance sends to others in its domain, and
    `choice_us` the processor time per choice.
    """

    p50_ms: float
    p99_ms: float
    shed_share: float
    imbalance: float
    remote_share: float
    bytes_per_s: float
    choice_us: float


class SimulatedUpstream(msgspec.Struct):
    """Simulate an upstream.

    `busy` is the number of requests in service, `service_seconds` the total
    service time of all requests so far.  One that crashed is gone: another
    object replaces it when it returns.
    """

    busy: int = 0
    is_gone: bool = False
    queue: deque[QueuedRequest] = msgspec.field(default_factory=deque)
    service_seconds: float = 0


class PlacementStrategy(msgspec.Struct, frozen=True):
    """Describe how flows are placed and how instances report their load.

    `choose` gets the number of the instance that receives a flow.
    `receiver_count` is the number of instances of the domain that receive each
    heartbeat, -1 for all.
    """

    choose: Callable[['Simulation', int], Upstream | None]
    receiver_count: int = 0
    heartbeat_seconds: float = HEARTBEAT_SECONDS


@final
class Simulation(EventQueue):
    """Hold the clock, the upstreams, and the steering of each instance."""

    __slots__ = (
        'choice_seconds',
        'instances',
        'queue_seconds',
        'random',
        'remote_flows',
        'sent_bytes',
        'shed_requests',
        'upstream_by_name',
    )

    def __init__(self, seed: int) -> None:
        """Initialize with idle upstreams that every instance knows."""
        super().__init__()
        self.random = Random(seed)
        self.upstream_by_name = {
            name: SimulatedUpstream() for name in list_upstream_names()
        }
        self.instances = [
            _make_steering(each) for each in range(INSTANCE_COUNT)
        ]
        self.queue_seconds: list[float] = []
        self.shed_requests = 0
        self.remote_flows = 0
        self.sent_bytes = 0
        self.choice_seconds: float = 0


def list_upstream_names() -> Iterator[str]:
    """Yield the names of the simulated upstreams."""
    for number in range(UPSTREAM_COUNT):
        yield UPSTREAM_NAME_FORMAT.format(number)


def _make_steering(number: int) -> Steering:
    def ignore(*arguments: object) -> None:
        """Discard packets instead of sending them."""

    local_instance = LocalInstance(
        f'n-{number}', DOMAINS[number % len(DOMAINS)]
    )
    callbacks = Callbacks(ignore, ignore, ignore, ignore)
    steering = Steering(local_instance, callbacks, Random(number))
    update_routes(steering.routes, Publication(1, (), {}), 0)
    for position, name in enumerate(list_upstream_names()):
        domain = DOMAINS[position % len(DOMAINS)]
        endpoint = ('127.0.0.1', ENDPOINT_PORT)
        entry = UpstreamEntry(
            name, SERVICE, endpoint, domain, SLOTS_PER_UPSTREAM, True, 0, 1
        )
        register_upstream(steering.pool, entry, 0)
    return steering


def replay_arrivals(seed: int, strategy: PlacementStrategy) -> PlacingFigures:
    """Replay the arrivals of a seed under one strategy."""
    simulation = Simulation(seed)
    arrivals = list(_draw_arrivals(seed))
    for arrived_at, instance, requests in arrivals:
        schedule(
            simulation,
            arrived_at,
            _make_arrival(simulation, strategy, instance, requests),
        )
    if strategy.receiver_count:
        for instance in range(INSTANCE_COUNT):
            first_at = simulation.random.random() * strategy.heartbeat_seconds
            schedule(
                simulation,
                first_at,
                _make_heartbeat_sender(simulation, strategy, instance),
            )
    run_events(simulation, SIMULATED_SECONDS)
    return _summarize(simulation, len(arrivals))


def _summarize(simulation: Simulation, flow_count: int) -> PlacingFigures:
    service_seconds = [
        simulated.service_seconds
        for simulated in simulation.upstream_by_name.values()
    ]
    percentiles = statistics.quantiles(simulation.queue_seconds, n=100)
    return PlacingFigures(
        p50_ms=round(
            statistics.median(simulation.queue_seconds)
            * _MILLISECONDS_PER_SECOND,
            2,
        ),
        p99_ms=round(percentiles[_P99_INDEX] * _MILLISECONDS_PER_SECOND, 1),
        shed_share=round(
            simulation.shed_requests
            / (len(simulation.queue_seconds) + simulation.shed_requests),
            5,
        ),
        imbalance=round(
            max(service_seconds) / statistics.mean(service_seconds), 3
        ),
        remote_share=round(simulation.remote_flows / flow_count, 3),
        bytes_per_s=round(
            simulation.sent_bytes / SIMULATED_SECONDS / INSTANCE_COUNT
        ),
        choice_us=round(
            simulation.choice_seconds / flow_count * _MICROSECONDS_PER_SECOND, 1
        ),
    )


def _draw_arrivals(seed: int) -> Iterator[tuple[float, int, int]]:
    """Yield the arrival time, instance and number of requests of each flow."""
    random = Random(seed)
    for arrived_at in draw_arrival_times(
        random, FLOWS_PER_SECOND, SIMULATED_SECONDS
    ):
        is_long = random.random() < LONG_FLOW_SHARE
        requests = LONG_FLOW_REQUESTS if is_long else 1
        yield arrived_at, random.randrange(INSTANCE_COUNT), requests


def _make_arrival(
    simulation: Simulation,
    strategy: PlacementStrategy,
    instance: int,
    requests: int,
) -> Action:
    def arrive() -> None:
        steering = simulation.instances[instance]
        steering.now = simulation.now
        started_at = time.process_time()
        chosen = strategy.choose(simulation, instance)
        simulation.choice_seconds += time.process_time() - started_at
        if chosen is None:
            return
        # A strategy may choose in the pool of another instance.
        upstream = steering.pool.by_name[chosen.name]
        upstream.flows += 1
        simulation.remote_flows += (
            upstream.entry.domain != steering.local_instance.domain
        )
        _start_request(simulation, upstream, requests)

    return arrive


def _start_request(
    simulation: Simulation, upstream: Upstream, requests_left: int
) -> None:
    """Send a request of a flow, and schedule the next one after a pause."""
    simulated = simulation.upstream_by_name[upstream.name]
    request_service_seconds = (
        simulation.random.lognormvariate(0, SERVICE_TIME_SIGMA)
        * MEDIAN_SERVICE_SECONDS
    )
    upstream.busy += 1

    def finish() -> None:
        simulated.busy -= 1
        upstream.busy -= 1
        if simulated.queue:
            queued_at, start_next = simulated.queue.popleft()
            _record_queue_time(simulation, queued_at)
            start_next()
        if requests_left > 1:
            pause_seconds = simulation.random.expovariate(
                1 / MEAN_REQUEST_PAUSE_SECONDS
            )
            schedule(
                simulation,
                simulation.now + pause_seconds,
                lambda: _start_request(simulation, upstream, requests_left - 1),
            )
        else:
            upstream.flows -= 1

    def start_service() -> None:
        simulated.busy += 1
        simulated.service_seconds += request_service_seconds
        schedule(simulation, simulation.now + request_service_seconds, finish)

    if simulated.busy < SLOTS_PER_UPSTREAM:
        _record_queue_time(simulation, simulation.now)
        start_service()
    elif len(simulated.queue) < QUEUE_LIMIT:
        simulated.queue.append((simulation.now, start_service))
    else:
        simulation.shed_requests += 1
        upstream.busy -= 1
        upstream.flows -= 1


def _record_queue_time(simulation: Simulation, queued_at: float) -> None:
    if queued_at > UNMEASURED_SECONDS:
        simulation.queue_seconds.append(simulation.now - queued_at)


def _make_heartbeat_sender(
    simulation: Simulation, strategy: PlacementStrategy, instance: int
) -> Action:
    """Return an action that reports an instance's load to local peers."""
    steering = simulation.instances[instance]
    domain = steering.local_instance.domain
    local_peers = [
        each
        for each in simulation.instances
        if each.local_instance.domain == domain and each is not steering
    ]

    def send_heartbeat() -> None:
        count = (
            len(local_peers)
            if strategy.receiver_count < 0
            else strategy.receiver_count
        )
        size = len(_encode_load(steering))
        for other in simulation.random.sample(local_peers, count):
            _report_load(simulation, steering, other)
            simulation.sent_bytes += size
        schedule(
            simulation,
            simulation.now + strategy.heartbeat_seconds,
            send_heartbeat,
        )

    return send_heartbeat


def _encode_load(steering: Steering) -> bytes:
    name = steering.local_instance.name
    endpoint = ('127.0.0.1', ENDPOINT_PORT)
    member = MemberUpdate(
        name, endpoint, steering.local_instance.domain, 0, can_read=True
    )
    updates = tuple(
        UpstreamUpdate(upstream.cookie, upstream.busy, 0, -1, 0)
        for upstream in steering.pool.by_name.values()
        if upstream.busy
    )
    return encode_heartbeat(Heartbeat((member,), upstreams=updates))


def _report_load(
    simulation: Simulation, reporter: Steering, other: Steering
) -> None:
    sender = reporter.local_instance.name
    for name, upstream in reporter.pool.by_name.items():
        reports = other.pool.by_name[name].reports
        if upstream.busy:
            report = PeerReport(simulation.now, upstream.busy)
            add_report(reports, sender, report)
        else:
            remove_report(reports, sender)
