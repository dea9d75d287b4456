"""Drive the steering of one instance step by step, with a simulated clock."""

from random import Random

from msgspec import structs

from marlbend.steering import (
    Callbacks,
    LocalInstance,
    Packet,
    Publication,
    RouteSpec,
    ServiceLimits,
    Steering,
    Upstream,
    UpstreamEntry,
    update_routes,
)
from marlbend.steering.flows import expire_flows
from marlbend.steering.placement.load_shedding import (
    MIN_REQUESTS,
    record_service_time,
)
from marlbend.steering.reports import PeerReport, add_report
from marlbend.steering.state import OUT_INDEFINITELY
from marlbend.steering.steer import make_receiver, retry_unanswered_syn
from marlbend.steering.upstream_expiry import expire_upstreams
from marlbend.steering.upstreams import (
    end_upstream,
    mark_missing,
    register_upstream,
)

__all__ = ('SteeringDriver', 'make_entry')

START = 1000.0
TICK = 0.01
# Callers choose the first sequence number of each flow at random.
SEQUENCE_DISTANCE = 50_000_000


class Caller:
    """Hold a caller's state of a flow: cookie and sequence numbers."""

    def __init__(self, key: bytes, endpoint: bytes, sequence: int) -> None:
        self.key = key
        self.endpoint = endpoint
        self.cookie = 0
        self.initial_sequence = sequence
        self.sequence = sequence
        self.acknowledged = 500
        self.syn_attempts = 0


class SteeringDriver:
    """Hold an instance, its callers, and what was sent in this step."""

    def __init__(self, domain: str = 'a') -> None:
        self.now = START
        self.random = Random(1)
        self.sent: list[str] = []
        self.reported: list[str] = []
        self.retries: list[tuple[float, bytes]] = []
        self.routes: dict[str, RouteSpec] = {}
        self.limits: dict[str, ServiceLimits] = {}
        self.version = 0
        self.callers: dict[str, Caller] = {}
        self.upstream_by_cookie: dict[int, str] = {}
        self.platform_is_down = False
        self.flows_opened = 0
        self.start(domain)

    def start(self, domain: str) -> None:
        """Start an instance without routes, upstreams and flows."""
        callbacks = Callbacks(
            self.forward, self.reset, self.schedule_retry, self.report_decision
        )
        self.steering = Steering(
            LocalInstance('me', domain), callbacks, self.random
        )
        self.steering.now = self.now
        self.steering.upstreams_confirmed_at = self.now
        self.steering.pool.knows_ended = True
        self.receive = make_receiver(self.steering)
        self.retries.clear()

    def forward(self, packet: Packet, upstream: Upstream) -> None:
        """Record the upstream of a packet; give its cookie to the caller."""
        self.sent.append(upstream.name)
        for caller in self.callers.values():
            if caller.key == packet.flow_key:
                caller.cookie = upstream.cookie

    def reset(self, packet: Packet) -> None:
        """Record a reset."""
        self.sent.append('reset')

    def schedule_retry(self, seconds: float, key: bytes) -> None:
        """Store when to call `retry_unanswered_syn` for a flow."""
        self.retries.append((self.now + seconds, key))

    def report_decision(self, outcome: object, *rest: object) -> None:
        """Record the outcome."""
        self.reported.append(str(getattr(outcome, 'name', outcome)).lower())

    def publish(self) -> None:
        """Publish the routes and limits as a new version."""
        self.version += 1
        publication = Publication(
            self.version, tuple(self.routes.values()), dict(self.limits)
        )
        update_routes(self.steering.routes, publication, self.now)

    def route(self, name: str, shares: str, kind: str = 'safe') -> None:
        """Add or change a route: `catalog` or `catalog=9,survey=1`."""
        parts = (share.partition('=') for share in shares.split(','))
        weights = tuple((part[0], int(part[2] or 1)) for part in parts)
        self.routes[name] = RouteSpec(
            name, name.encode().ljust(6, b'.'), weights, kind == 'safe'
        )
        self.publish()

    def target(self, name: str, seconds: str, priority: str = '0') -> None:
        """Set the target latency and the priority of a route's requests."""
        self.routes[name] = structs.replace(
            self.routes[name],
            target_seconds=float(seconds),
            priority=int(priority),
        )
        self.publish()

    def service_time(self, name: str, seconds: str) -> None:
        """Record enough requests of a route to estimate its service time."""
        spec = self.routes[name]
        service = spec.weight_by_service[0][0]
        for _ in range(MIN_REQUESTS):
            record_service_time(self.steering, spec, service, float(seconds))

    def report_busy(self, member: str, upstream: str, busy: str) -> None:
        """Apply a peer's report of its requests in progress at an upstream."""
        known = self.steering.pool.by_name[upstream]
        report = PeerReport(self.now, int(busy))
        add_report(known.reports, member, report)

    def report_domain_busy(self, upstream: str, busy: str) -> None:
        """Apply the total of requests that the upstream's domain reports."""
        known = self.steering.pool.by_name[upstream]
        known.domain_report = PeerReport(self.now, int(busy))

    def drop_route(self, name: str) -> None:
        """Remove a route."""
        self.routes.pop(name)
        self.publish()

    def warm_up_rate(self, service: str, rate: str) -> None:
        """Set the new flows per second for each cold upstream of a service."""
        self.limits[service] = ServiceLimits(2000, float(rate), 5)
        self.publish()

    def upstream(
        self, name: str, service: str, domain: str, *options: str
    ) -> None:
        """Register an upstream."""
        entry = make_entry(name, service, domain, options)
        register_upstream(self.steering.pool, entry, self.now)
        self.steering.upstreams_known = True

    def end(self, name: str) -> None:
        """End an upstream."""
        end_upstream(self.steering.pool, name, self.now)

    def expire_registration(self, name: str) -> None:
        """Simulate that an upstream's registration has expired."""
        mark_missing(self.steering.pool, name, self.now)

    def forget_ended(self) -> None:
        """Simulate an instance that has just started, like all others."""
        self.steering.pool.knows_ended = False

    def take_out(self, domain: str) -> None:
        """Take a failure domain out of service."""
        self.steering.domains_out[domain] = OUT_INDEFINITELY

    def restore_domain(self, domain: str) -> None:
        """Return a failure domain to service."""
        self.steering.domains_out.pop(domain)

    def peers(self, *names: str) -> None:
        """Set the other live instances, each as `NAME:DOMAIN`."""
        pairs = (name.split(':') for name in names)
        known = tuple((name, domain) for name, domain in pairs)
        self.steering.local_instance.live_members = (
            ('me', self.steering.local_instance.domain),
            *known,
        )

    def platform_stale(self) -> None:
        """Simulate an outage of the platform that started long ago."""
        self.platform_is_down = True
        self.steering.upstreams_confirmed_at = self.now - 100

    def platform_down(self) -> None:
        """Start an outage of the platform."""
        self.platform_is_down = True

    def platform_up(self) -> None:
        """End an outage of the platform."""
        self.platform_is_down = False
        self.steering.platform_recovered_at = self.now

    def wait(self, seconds: str) -> None:
        """Advance the clock in small steps."""
        until = self.now + float(seconds)
        while self.now < until:
            self.advance(min(TICK, until - self.now + 1e-6))

    def pause(self, seconds: str) -> None:
        """Advance the clock in one step, as if the process had been paused."""
        self.advance(float(seconds))

    def advance(self, seconds: float) -> None:
        """Advance the clock, then run due retries and expiry."""
        self.now += seconds
        self.steering.now = self.now
        due = [each for each in self.retries if each[0] <= self.now]
        for retry in due:
            self.retries.remove(retry)
            retry_unanswered_syn(self.steering, retry[1], retry[0])
        if not self.platform_is_down:
            self.steering.upstreams_confirmed_at = self.now
        confirmed = (
            self.steering.platform_recovered_at,
            self.steering.upstreams_confirmed_at,
        )
        list(expire_upstreams(self.steering.pool, self.now, confirmed))

    def sweep(self) -> None:
        """Expire idle flows."""
        expire_flows(self.steering)

    def open(self, flow: str, route: str) -> None:
        """Send a SYN."""
        key = flow.encode().ljust(6, b'-') + route.encode().ljust(6, b'.')
        self.flows_opened += 1
        sequence = self.flows_opened * SEQUENCE_DISTANCE
        self.callers[flow] = Caller(key, key[6:], sequence)
        self.send(flow, is_syn=True)

    def repeat_syn(self, flow: str) -> None:
        """Let the network repeat the first SYN."""
        caller = self.callers[flow]
        copy = Caller(caller.key, caller.endpoint, caller.initial_sequence)
        self.callers[flow] = copy
        self.send(flow, is_syn=True)
        self.callers[flow] = caller

    def retransmit_syn(self, flow: str) -> None:
        """Retransmit the SYN."""
        self.callers[flow].syn_attempts += 1
        self.send(flow, is_syn=True)

    def establish(self, flow: str) -> None:
        """Send the packet that completes the handshake."""
        self.send(flow)

    def send_data(self, flow: str) -> None:
        """Send new data."""
        self.callers[flow].sequence += 10
        self.send(flow, size=10)

    def retransmit(self, flow: str) -> None:
        """Retransmit the latest data."""
        self.send(flow, size=10)

    def ack(self, flow: str) -> None:
        """Acknowledge 10 more bytes from the upstream."""
        self.callers[flow].acknowledged += 10
        self.send(flow)

    def report_unanswered(self, member: str, upstream: str, count: str) -> None:
        """Apply a peer's report of unanswered packets at an upstream."""
        known = self.steering.pool.by_name[upstream]
        report = PeerReport(self.now, 0)
        report.unanswered = int(count)
        report.unanswered_since = self.now - 0.45
        add_report(known.reports, member, report)

    def complete_request(self, flow: str, size: str) -> None:
        """Send a request, and acknowledge a response of `size` bytes."""
        self.send_data(flow)
        self.callers[flow].acknowledged += int(size)
        self.send(flow)

    def fin(self, flow: str) -> None:
        """Send a FIN."""
        self.send(flow, is_closing=True)

    def forge(self, flow: str, upstream: str) -> None:
        """Send data with the cookie of another upstream, or an unknown one."""
        pool = self.steering.pool
        cookie = 77 if upstream == '?' else pool.by_name[upstream].cookie
        self.callers[flow].cookie = cookie
        self.send_data(flow)

    def send(
        self,
        flow: str,
        size: int = 0,
        is_syn: bool = False,
        is_closing: bool = False,
    ) -> None:
        """Send a packet from a caller to the instance."""
        caller = self.callers[flow]
        packet = Packet(b'raw')
        packet.flow_key = caller.key
        packet.endpoint = caller.endpoint
        packet.is_syn = is_syn
        packet.is_closing = is_closing
        packet.payload_size = size
        packet.sequence = caller.sequence
        if is_syn:
            packet.attempt = caller.syn_attempts
        else:
            packet.cookie = caller.cookie
            packet.acknowledged = caller.acknowledged
        self.steering.now = self.now
        self.receive(packet)


def make_entry(
    name: str, service: str, domain: str, options: tuple[str, ...] = ()
) -> UpstreamEntry:
    """Return a registration.

    The options are `draining`, `slots=N`, `cold=SECONDS` and `born=N`.
    """
    value_by_option = dict(option.partition('=')[::2] for option in options)
    return UpstreamEntry(
        name=name,
        service=service,
        address=('127.0.0.1', 9),
        domain=domain,
        slots=int(value_by_option.get('slots', 4)),
        accepting='draining' not in value_by_option,
        cold_seconds=float(value_by_option.get('cold', 0)),
        born=int(value_by_option.get('born', 1)),
    )
