"""Define the state that steering decisions read and update."""

import enum
from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import Final, final

from marlbend.observe.latency import LatencyHistogram
from marlbend.steering.budgets import make_budgets
from marlbend.steering.packet import Packet
from marlbend.steering.placement.admission import AdmissionState
from marlbend.steering.placement.flow_lengths import FlowLengths
from marlbend.steering.placement.held_flows import HeldFlows
from marlbend.steering.placement.method import PlacementMethod
from marlbend.steering.placement.service_loads import ServiceLoad
from marlbend.steering.placement.service_times import ServiceTimes
from marlbend.steering.reopened_flows import ReopenedFlows
from marlbend.steering.routes import RouteTable
from marlbend.steering.upstreams import Request, Upstream, UpstreamPool

__all__ = (
    'OUT_INDEFINITELY',
    'Callbacks',
    'Estimates',
    'Flow',
    'HandshakeTimes',
    'LocalInstance',
    'Outcome',
    'Partition',
    'PendingOutcome',
    'RequestTimes',
    'ResponseSize',
    'Steering',
    'observe_time',
)

# A handshake crosses two client links and a hop between domains, which takes
# about 10 ms.  The initial estimate is higher, so that the timeout allows for
# slow handshakes until some have been measured.
INITIAL_HANDSHAKE_SECONDS: Final = 0.02
# The time from the detection of a partition to the first probe; later probes
# follow after `NEXT_PARTITION_PROBE_DELAY_SECONDS` of `liveness`.
FIRST_PARTITION_PROBE_DELAY_SECONDS: Final = 0.5
DEFAULT_LINK_MEGABITS: Final = 100.0
# Heartbeats are sent four times a second.
PAUSE_SECONDS: Final = 1.0
FALSE_SUSPICIONS_KEPT: Final = 8
# Return time of a failure domain that is out until further notice.
OUT_INDEFINITELY: Final = float('inf')


@enum.unique
@final
class Outcome(enum.IntEnum):
    """List the outcomes of a packet; each number is an index into counts."""

    OPENED = 0
    REOPENED = 1
    FORWARDED = 2
    REFUSED_NO_ROUTE = 3
    REFUSED_NO_UPSTREAM = 4
    RESET_ENDED = 5
    RESET_SILENT = 6
    DROPPED_MALFORMED = 7
    DROPPED_FORGED = 8
    DROPPED_UNKNOWN_COOKIE = 9
    DROPPED_NOT_READY = 10
    DROPPED_SEND = 11
    RESET_UNKNOWN = 12
    REFUSED_CROWD = 13
    DROPPED_RESUMING = 14
    HELD = 15
    SYN_REPEATED = 16


@final
class PendingOutcome:
    """Hold what is known of a request until its response is complete.

    `served_seconds` is how long it took without queueing, until that is
    recorded for the route, and zero otherwise.  `response_seconds` is the time
    to the start of the response, `None` before it and once admission control
    knows of it.
    `had_free_slot` is set if the upstream seemed to have a free slot when the
    request started.
    """

    __slots__ = ('had_free_slot', 'response_seconds', 'served_seconds')

    def __init__(self, *, had_free_slot: bool) -> None:
        """Initialize without a response."""
        self.had_free_slot = had_free_slot
        self.response_seconds: float | None = None
        self.served_seconds: float = 0


@final
class Flow:
    """Hold the state of one flow as seen in its packets.

    Without it the packets still reach their upstream, by the cookie; what else
    is lost is described in `marlbend.steering.flows`.

    `pending_syn` is the SYN until the handshake completes, and `opened_at` is
    when it arrived.  `tried` maps the upstreams to which the SYN was sent, the
    latest one last, to how often it was sent to each; it is empty after the
    handshake.  `last_packet_at` is when the caller's latest packet arrived or,
    before the handshake completes, when the SYN was last forwarded.  Times are
    steady seconds.

    `busy` is set while a request is in progress.  `unanswered_since` is when
    the oldest unacknowledged data was seen, zero if there is none, and
    `retransmissions` counts how often it was retransmitted.  `is_before_data`
    is set until the first data; until then the sequence numbers are not valid.
    `request` is the request in progress, `None` also if it began while
    estimates were not kept.  `response_start` is the sequence number at which
    the response to the latest request starts.  `is_unqueued` is set if the
    upstream served that request without queueing it.  `pending_outcome` is what
    has to be recorded of the latest request, `None` if nothing is left.
    """

    __slots__ = (
        'acknowledged',
        'busy',
        'is_before_data',
        'is_unqueued',
        'last_packet_at',
        'opened_at',
        'pending_outcome',
        'pending_syn',
        'request',
        'response_start',
        'retransmissions',
        'sequence',
        'tried',
        'unanswered_since',
        'upstream',
    )

    def __init__(self, upstream: Upstream, now: float) -> None:
        """Create an idle flow of an upstream."""
        self.upstream = upstream
        self.pending_syn: Packet | None = None
        self.tried: dict[Upstream, int] = {}
        self.opened_at = now
        self.last_packet_at = now
        self.unanswered_since: float = 0
        self.is_before_data = True
        self.sequence = 0
        self.acknowledged = 0
        self.response_start = 0
        self.retransmissions = 0
        self.busy = False
        self.request: Request | None = None
        self.is_unqueued = False
        self.pending_outcome: PendingOutcome | None = None


def _skip_gossip() -> None:
    """Do nothing: a single instance has no other instances to update."""


@final
class Callbacks:
    """Hold the functions through which steering acts on the outside.

    `forward` sends a packet to an upstream.  `reset` sends a reset to the
    caller of a packet.  `schedule_retry` calls `retry_unanswered_syn` for a
    flow after a delay in seconds.  `report_decision` reports a decision on a
    packet, with its upstream if there is one.  Its last argument is the list of
    upstreams tried so far for `OPENED` and `REOPENED`, and empty otherwise.
    `gossip_now` tells the instances of the local domain about changes in the
    state of upstreams without waiting for the next heartbeat, and
    `gossip_reopened` about flows whose SYN went to several upstreams.
    """

    __slots__ = (
        'forward',
        'gossip_now',
        'gossip_reopened',
        'report_decision',
        'reset',
        'schedule_retry',
    )

    def __init__(
        self,
        forward: Callable[[Packet, Upstream], None],
        reset: Callable[[Packet], None],
        schedule_retry: Callable[[float, bytes], None],
        report_decision: Callable[
            [Outcome, Packet, Upstream | None, Sequence[Upstream]], None
        ],
    ) -> None:
        """Store the callbacks; those for gossip do nothing until set."""
        self.gossip_now: Callable[[], None] = _skip_gossip
        self.gossip_reopened: Callable[[], None] = _skip_gossip
        self.forward = forward
        self.reset = reset
        self.schedule_retry = schedule_retry
        self.report_decision = report_decision


@final
class ResponseSize:
    """Hold an estimate of the median response size of a route, in bytes."""

    __slots__ = ('median', 'responses')

    def __init__(self) -> None:
        """Initialize without a response."""
        self.responses = 0
        self.median: float = 0


@final
class RequestTimes:
    """Hold estimates of the request times of a service.

    `service_seconds` is the median time that a request takes without queueing,
    and `target_seconds` the median target latency of the same requests.
    `requests` is the number of requests measured.
    """

    __slots__ = ('requests', 'service_seconds', 'target_seconds')

    def __init__(self) -> None:
        """Initialize without a request."""
        self.requests = 0
        self.target_seconds: float = 0
        self.service_seconds: float = 0


@final
class Partition:
    """Hold since when a failure domain seems to be partitioned.

    `last_detected_at` is when it was detected most recently, `next_probe_at`
    when the next new flow may be sent to the domain as a probe.
    """

    __slots__ = ('last_detected_at', 'next_probe_at', 'since')

    def __init__(self, now: float) -> None:
        """Start now, with the first probe half a second later."""
        self.since = now
        self.last_detected_at = now
        self.next_probe_at = now + FIRST_PARTITION_PROBE_DELAY_SECONDS


@final
class HandshakeTimes:
    """Hold estimates of the time from a SYN to the caller's next packet.

    `mean` and `deviation` are in seconds; `latencies` is the full histogram.
    """

    __slots__ = ('deviation', 'latencies', 'mean')

    def __init__(self) -> None:
        """Start with an estimate that suits most deployments."""
        self.mean: float = INITIAL_HANDSHAKE_SECONDS
        self.deviation: float = INITIAL_HANDSHAKE_SECONDS / 2
        self.latencies = LatencyHistogram()


@final
class Estimates:
    """Hold what has been measured on the flows so far.

    `handshake_times` is how long handshakes take, `response_size_by_endpoint`
    the median response size of each route, `request_times_by_service` how fast
    each service is, and `service_times` how long the requests of each route
    take.  `admission` holds what admission control follows, `held_flows` the
    SYNs that wait for capacity, `load_by_service` what the flows of each
    service bring, and `flow_lengths` how many requests a flow of each route
    brings.
    """

    __slots__ = (
        'admission',
        'flow_lengths',
        'handshake_times',
        'held_flows',
        'load_by_service',
        'request_times_by_service',
        'response_size_by_endpoint',
        'service_times',
    )

    def __init__(self) -> None:
        """Initialize without a measurement."""
        self.handshake_times = HandshakeTimes()
        self.response_size_by_endpoint: dict[bytes, ResponseSize] = {}
        self.request_times_by_service: dict[str, RequestTimes] = {}
        self.service_times = ServiceTimes()
        self.admission = AdmissionState()
        self.held_flows = HeldFlows()
        self.load_by_service: dict[str, ServiceLoad] = {}
        self.flow_lengths = FlowLengths()


@final
class LocalInstance:
    """Hold the identity and failure domain of this instance.

    `live_members` holds the name and domain of each live instance, including
    this one.  `false_suspicions` holds the times at which liveness evidence
    most recently contradicted this instance's suspicion of an upstream.
    `budgets` limits its reactions to trouble; whoever knows its link and its
    processor share replaces it.  `observed_at` is when the clock was last read,
    and `resumed_at` when the process went on after a pause.  `placement` is
    the method by which new flows are placed and refused.
    """

    __slots__ = (
        'budgets',
        'domain',
        'false_suspicions',
        'live_members',
        'name',
        'observed_at',
        'placement',
        'resumed_at',
    )

    def __init__(self, name: str, domain: str) -> None:
        """Initialize as the only instance."""
        self.name = name
        self.domain = domain
        self.budgets = make_budgets(DEFAULT_LINK_MEGABITS, 1)
        self.live_members: tuple[tuple[str, str], ...] = ((name, domain),)
        self.false_suspicions: deque[float] = deque(
            maxlen=FALSE_SUSPICIONS_KEPT
        )
        self.observed_at = float('inf')
        self.resumed_at = float('-inf')
        self.placement = PlacementMethod.REQUESTS


def observe_time(local_instance: LocalInstance, now: float) -> None:
    """Note that the process runs; detect a pause since the last time.

    It runs several times a second, so a longer gap means that it was held up.
    """
    if now - local_instance.observed_at > PAUSE_SECONDS:
        local_instance.resumed_at = now
    local_instance.observed_at = now


@final
class Steering:
    """Hold the steering state of one instance.

    `now` is the current time in steady seconds, which are those of
    `marlbend.clock.steady_seconds`.  Whoever calls into steering sets it first:
    the edge does so for each batch of packets, each heartbeat, each retry of a
    SYN, each status request and each round of maintenance.  All other times are
    on the same clock.

    `domains_out` maps each failure domain that the operator took out to the
    time of its return, or `OUT_INDEFINITELY`.  Its upstreams may have become
    cold, so the domain is used again only once the list of upstreams is as
    recent as its return.  The time is in the future if a copy of the store
    lacks that the domain is out.  `partition_by_domain` holds the domains that
    seem to be partitioned.

    `upstreams_known` is set by the first complete list.
    `upstreams_confirmed_at` is when the platform last confirmed the upstreams,
    `platform_recovered_at` when it first did so after an outage.
    `reopened_flows` holds the flows whose SYN went to several upstreams, as far
    as any instance reported.
    """

    __slots__ = (
        'callbacks',
        'counts',
        'domains_out',
        'estimates',
        'flow_by_key',
        'local_instance',
        'now',
        'partition_by_domain',
        'platform_recovered_at',
        'pool',
        'random',
        'reopened_flows',
        'routes',
        'upstreams_confirmed_at',
        'upstreams_known',
    )

    def __init__(
        self,
        local_instance: LocalInstance,
        callbacks: Callbacks,
        random: Random,
    ) -> None:
        """Initialize without routes, upstreams and flows."""
        self.local_instance = local_instance
        self.callbacks = callbacks
        self.random = random
        self.routes = RouteTable()
        self.pool = UpstreamPool()
        self.domains_out: dict[str, float] = {}
        self.partition_by_domain: dict[str, Partition] = {}
        self.flow_by_key: dict[bytes, Flow] = {}
        self.reopened_flows = ReopenedFlows()
        self.counts = [0 for _ in Outcome]
        self.upstreams_known = False
        self.estimates = Estimates()
        self.upstreams_confirmed_at: float = 0
        self.platform_recovered_at: float = 0
        self.now: float = 0

    @property
    def ready(self) -> bool:
        """Return whether routes and upstreams are known."""
        return self.upstreams_known and self.routes.version > 0
