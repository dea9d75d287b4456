"""Hold what decisions on packets read and write."""

import enum
from collections import deque
from collections.abc import Callable, Sequence
from random import Random
from typing import Final, final

from marlbend.observe.latency import Latencies
from marlbend.steering.packet import Packet
from marlbend.steering.routes import RouteTable
from marlbend.steering.upstreams import Upstream, UpstreamPool

__all__ = (
    'OUT_INDEFINITELY',
    'Callbacks',
    'Cut',
    'Flow',
    'Handshakes',
    'Learned',
    'LocalInstance',
    'Outcome',
    'RequestTimes',
    'Steering',
    'Typical',
)

# The handshake takes two client links and a hop between domains, about 10 ms;
# until some have been measured the time-out allows for a slow start.
FIRST_HANDSHAKE_SECONDS: Final = 0.02
FIRST_TEST_SECONDS: Final = 0.5
REFUTED_KEPT: Final = 8
# The return of a failure domain that is out for good.
OUT_INDEFINITELY: Final = float('inf')


@enum.unique
@final
class Outcome(enum.IntEnum):
    """Name what can become of a packet; the number is an index."""

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


@final
class Flow:
    """Hold what packets have shown of one flow.

    Losing it costs nothing but the estimate of load: the cookie says where the
    packets go.  `tried` holds the upstreams that were sent the opening packet,
    `opening` the packet itself until the handshake is seen, and
    `opened_at` when it came.  Times are
    monotonic seconds; `sent_at` is when the oldest data without a sign of the
    upstream was seen, zero if there is none.  A flow is `fresh` until its first
    data; before that the positions mean nothing.  `answered_from` is the
    position at which the answer to the latest request starts, and `at_once`
    tells that nothing waited before that request.
    """

    __slots__ = (
        'acknowledged',
        'answered_from',
        'at_once',
        'busy',
        'fresh',
        'opened_at',
        'opening',
        'repeats',
        'seen_at',
        'sent_at',
        'sequence',
        'tried',
        'upstream',
    )

    def __init__(self, upstream: Upstream, now: float) -> None:
        """Start as an idle flow of an upstream."""
        self.upstream = upstream
        self.opening: Packet | None = None
        self.tried: list[Upstream] = []
        self.opened_at = now
        self.seen_at = now
        self.sent_at: float = 0
        self.fresh = True
        self.sequence = 0
        self.acknowledged = 0
        self.answered_from = 0
        self.repeats = 0
        self.busy = False
        self.at_once = False


def _ignore_alarm() -> None:
    """Do nothing: an instance alone has nobody to alarm."""


@final
class Callbacks:
    """Hold the ways out of the decisions.

    `forward` sends a packet to an upstream, `reset` ends the flow of a packet
    towards its caller, `remind` calls `retry_unanswered_syn` for a flow after so
    many seconds, `tell` reports a decision on a packet, its upstream and those
    that were sent it so far.  `gossip_now` lets the instances of the own domain know
    at once what was found out about an upstream.
    """

    __slots__ = ('forward', 'gossip_now', 'remind', 'reset', 'tell')

    def __init__(
        self,
        forward: Callable[[Packet, Upstream], None],
        reset: Callable[[Packet], None],
        remind: Callable[[float, bytes], None],
        tell: Callable[
            [Outcome, Packet, Upstream | None, Sequence[Upstream]], None
        ],
    ) -> None:
        """Keep the four; nobody hears an alarm until somebody is named."""
        self.gossip_now: Callable[[], None] = _ignore_alarm
        self.forward = forward
        self.reset = reset
        self.remind = remind
        self.tell = tell


@final
class Typical:
    """Estimate the usual size of a route's answers, in bytes."""

    __slots__ = ('median', 'responses')

    def __init__(self) -> None:
        """Start without an answer."""
        self.responses = 0
        self.median: float = 0


@final
class RequestTimes:
    """Estimate how long a request of a service takes, and may take.

    `requests` counts those that were measured.  Both times are in seconds.
    """

    __slots__ = ('requests', 'service_seconds', 'target_seconds')

    def __init__(self) -> None:
        """Start without a request."""
        self.requests = 0
        self.target_seconds: float = 0
        self.service_seconds: float = 0


@final
class Cut:
    """Hold since when a failure domain seems cut off.

    `seen_at` is when that was seen last, `retry_at` when a new flow may test
    it again.
    """

    __slots__ = ('retry_at', 'seen_at', 'since')

    def __init__(self, now: float) -> None:
        """Start now, with the first test half a second later."""
        self.since = now
        self.seen_at = now
        self.retry_at = now + FIRST_TEST_SECONDS


@final
class Handshakes:
    """Estimate the seconds between an opening packet and the caller's next.

    `latencies` holds them all.
    """

    __slots__ = ('deviation', 'latencies', 'mean')

    def __init__(self) -> None:
        """Start with an estimate that suits most deployments."""
        self.mean: float = FIRST_HANDSHAKE_SECONDS
        self.deviation: float = FIRST_HANDSHAKE_SECONDS / 2
        self.latencies = Latencies()


@final
class Learned:
    """Hold what the flows so far have taught.

    `handshake_times` says how long they take, `typical_by_endpoint` the usual size
    of the answers of each route, `request_times_by_service` how fast each service is.
    """

    __slots__ = (
        'handshake_times',
        'request_times_by_service',
        'typical_by_endpoint',
    )

    def __init__(self) -> None:
        """Start without a flow."""
        self.handshake_times = Handshakes()
        self.typical_by_endpoint: dict[bytes, Typical] = {}
        self.request_times_by_service: dict[str, RequestTimes] = {}


@final
class LocalInstance:
    """Say where an instance stands: its name and failure domain.

    `peers` names the live instances, itself included, with their domains.
    `refuted` is when signs of life last proved this one wrong about upstreams.
    """

    __slots__ = ('domain', 'name', 'peers', 'refuted')

    def __init__(self, name: str, domain: str) -> None:
        """Start as the only instance."""
        self.name = name
        self.domain = domain
        self.peers: tuple[tuple[str, str], ...] = ((name, domain),)
        self.refuted: deque[float] = deque(maxlen=REFUTED_KEPT)


@final
class Steering:
    """Hold the state of the decisions of one instance.

    `domains_out` holds the failure domains that the operator took out, each
    with when it was taken back or `OUT_INDEFINITELY`: its upstreams may have become
    cold, so it waits for news of upstreams that is as new.
    `partition_by_domain` those that a partition seems to have cut off.
    `upstreams_known` turns true with the first complete list, `upstreams_confirmed_at` is
    when the platform last told of the upstreams, `platform_recovered_at` when it did so first
    since it was away, and `unknown_since` when each
    cookie that no upstream has was seen first.
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
        'routes',
        'unknown_since',
        'upstreams_confirmed_at',
        'upstreams_known',
    )

    def __init__(
        self, place: LocalInstance, ways: Callbacks, random: Random
    ) -> None:
        """Start without routes, upstreams and flows."""
        self.local_instance = place
        self.callbacks = ways
        self.random = random
        self.routes = RouteTable()
        self.pool = UpstreamPool()
        self.domains_out: dict[str, float] = {}
        self.partition_by_domain: dict[str, Cut] = {}
        self.flow_by_key: dict[bytes, Flow] = {}
        self.counts = [0 for _ in Outcome]
        self.upstreams_known = False
        self.unknown_since: dict[int, float] = {}
        self.estimates = Learned()
        self.upstreams_confirmed_at: float = 0
        self.platform_recovered_at: float = 0
        self.now: float = 0

    @property
    def ready(self) -> bool:
        """Tell whether routes and upstreams are known."""
        return self.upstreams_known and self.routes.version > 0
