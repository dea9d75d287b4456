"""Play steps on the decisions of one instance, with a clock of its own."""

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
    publish_routes,
)
from marlbend.steering.flows import expire_flows
from marlbend.steering.refusing import KNOWN_REQUESTS, note_work
from marlbend.steering.state import OUT_INDEFINITELY
from marlbend.steering.steer import make_receiver, retry_unanswered_syn
from marlbend.steering.upstreams import (
    PeerReport,
    end_upstream,
    expire_upstreams,
    mark_missing,
    register_upstream,
)

__all__ = ('Play', 'make_entry')

START = 1000.0
TICK = 0.01


class Caller:
    """Hold what the caller of a flow knows: cookie and positions."""

    def __init__(self, key: bytes, endpoint: bytes) -> None:
        self.key = key
        self.endpoint = endpoint
        self.cookie = 0
        self.sequence = 100
        self.acknowledged = 500
        self.copies = 0


class Play:
    """Hold an instance, its callers, and what was sent in this step."""

    def __init__(self, domain: str = 'a') -> None:
        self.now = START
        self.random = Random(1)
        self.sent: list[str] = []
        self.told: list[str] = []
        self.reminders: list[tuple[float, bytes]] = []
        self.routes: dict[str, RouteSpec] = {}
        self.limits: dict[str, ServiceLimits] = {}
        self.version = 0
        self.callers: dict[str, Caller] = {}
        self.upstream_by_cookie: dict[int, str] = {}
        self.away = False
        self.start(domain)

    def start(self, domain: str) -> None:
        """Start an instance that knows nothing."""
        ways = Callbacks(self.forward, self.reset, self.remind, self.tell)
        self.steering = Steering(LocalInstance('me', domain), ways, self.random)
        self.steering.now = self.now
        self.steering.upstreams_confirmed_at = self.now
        self.receive = make_receiver(self.steering)
        self.reminders.clear()

    def forward(self, packet: Packet, upstream: Upstream) -> None:
        """Note where a packet goes; its caller hears the cookie."""
        self.sent.append(upstream.name)
        for caller in self.callers.values():
            if caller.key == packet.flow_key:
                caller.cookie = upstream.cookie

    def reset(self, packet: Packet) -> None:
        """Note a reset."""
        self.sent.append('reset')

    def remind(self, seconds: float, key: bytes) -> None:
        """Keep a reminder until its time."""
        self.reminders.append((self.now + seconds, key))

    def tell(self, outcome: object, *rest: object) -> None:
        """Keep the outcome."""
        self.told.append(str(getattr(outcome, 'name', outcome)).lower())

    def publish(self) -> None:
        """Put the routes in force as a new version."""
        self.version += 1
        publication = Publication(
            self.version, tuple(self.routes.values()), dict(self.limits)
        )
        publish_routes(self.steering.routes, publication, self.now)

    def route(self, name: str, shares: str, kind: str = 'safe') -> None:
        """Add or change a route: `catalog` or `catalog=9,survey=1`."""
        parts = (share.partition('=') for share in shares.split(','))
        weights = tuple((part[0], int(part[2] or 1)) for part in parts)
        self.routes[name] = RouteSpec(
            name, name.encode().ljust(6, b'.'), weights, kind == 'safe'
        )
        self.publish()

    def target(self, name: str, seconds: str, priority: str = '0') -> None:
        """Say within what time a route's requests are to be answered."""
        self.routes[name] = structs.replace(
            self.routes[name],
            target_seconds=float(seconds),
            priority=int(priority),
        )
        self.publish()

    def work(self, name: str, seconds: str) -> None:
        """Let it be known how long a request of a route takes."""
        spec = self.routes[name]
        service = spec.weight_by_service[0][0]
        for _ in range(KNOWN_REQUESTS):
            note_work(self.steering, spec, service, float(seconds))

    def tells(self, member: str, upstream: str, busy: str) -> None:
        """Hear what another instance lets an upstream do."""
        known = self.steering.pool.by_name[upstream]
        known.report_by_member[member] = PeerReport(self.now, int(busy))

    def far(self, upstream: str, busy: str) -> None:
        """Hear from an upstream's domain what it has to do."""
        known = self.steering.pool.by_name[upstream]
        known.far_busy = int(busy)
        known.far_at = self.now

    def drop(self, name: str) -> None:
        """Drop a route."""
        self.routes.pop(name)
        self.publish()

    def ramp(self, service: str, rate: str) -> None:
        """Let cold upstreams of a service bear so many flows a second."""
        self.limits[service] = ServiceLimits(2000, float(rate))
        self.publish()

    def upstream(
        self, name: str, service: str, domain: str, *marks: str
    ) -> None:
        """Register an upstream."""
        entry = make_entry(name, service, domain, marks)
        register_upstream(self.steering.pool, entry, self.now)
        self.steering.upstreams_known = True

    def left(self, name: str) -> None:
        """Let an upstream end."""
        end_upstream(self.steering.pool, name, self.now)

    def lapse(self, name: str) -> None:
        """Let a registration lapse."""
        mark_missing(self.steering.pool, name, self.now)

    def out(self, domain: str) -> None:
        """Take a domain out."""
        self.steering.domains_out[domain] = OUT_INDEFINITELY

    def back(self, domain: str) -> None:
        """Take a domain in again."""
        self.steering.domains_out.pop(domain)

    def peers(self, *names: str) -> None:
        """Let the instance know others, `NAME:DOMAIN`."""
        pairs = (name.split(':') for name in names)
        known = tuple((name, domain) for name, domain in pairs)
        self.steering.local_instance.peers = (
            ('me', self.steering.local_instance.domain),
            *known,
        )

    def deaf(self) -> None:
        """Let the platform have been silent for long."""
        self.away = True
        self.steering.upstreams_confirmed_at = self.now - 100

    def lose(self) -> None:
        """Let the platform go away."""
        self.away = True

    def back_again(self) -> None:
        """Let the platform answer again."""
        self.away = False
        self.steering.platform_recovered_at = self.now

    def wait(self, seconds: str) -> None:
        """Let time pass, in small steps."""
        until = self.now + float(seconds)
        while self.now < until:
            self.advance(min(TICK, until - self.now + 1e-6))

    def freeze(self, seconds: str) -> None:
        """Let time pass while the process stands still."""
        self.advance(float(seconds))

    def advance(self, seconds: float) -> None:
        """Move the clock and let what is due happen."""
        self.now += seconds
        self.steering.now = self.now
        due = [each for each in self.reminders if each[0] <= self.now]
        for reminder in due:
            self.reminders.remove(reminder)
            retry_unanswered_syn(self.steering, reminder[1], reminder[0])
        if not self.away:
            self.steering.upstreams_confirmed_at = self.now
        confirmed = (
            self.steering.platform_recovered_at,
            self.steering.upstreams_confirmed_at,
        )
        list(expire_upstreams(self.steering.pool, self.now, confirmed))

    def sweep(self) -> None:
        """Forget what is idle."""
        expire_flows(self.steering)

    def open(self, flow: str, route: str) -> None:
        """Send an opening packet."""
        key = flow.encode().ljust(6, b'-') + route.encode().ljust(6, b'.')
        self.callers[flow] = Caller(key, key[6:])
        self.send(flow, opening=True)

    def copy(self, flow: str) -> None:
        """Send a copy of the opening packet."""
        self.callers[flow].copies += 1
        self.send(flow, opening=True)

    def answer(self, flow: str) -> None:
        """Send the packet that ends the handshake."""
        self.send(flow)

    def more(self, flow: str) -> None:
        """Send new data."""
        self.callers[flow].sequence += 10
        self.send(flow, size=10)

    def repeat(self, flow: str) -> None:
        """Send the latest data again."""
        self.send(flow, size=10)

    def ack(self, flow: str) -> None:
        """Acknowledge bytes of the upstream."""
        self.callers[flow].acknowledged += 10
        self.send(flow)

    def hear_of(self, member: str, upstream: str, silences: str) -> None:
        """Hear from another instance that flows of an upstream are silent."""
        known = self.steering.pool.by_name[upstream]
        told = PeerReport(self.now, 0)
        told.silences = int(silences)
        told.silent_since = self.now - 0.45
        known.report_by_member[member] = told

    def reply(self, flow: str, size: str) -> None:
        """Take a whole answer of so many bytes, after a request."""
        self.more(flow)
        self.callers[flow].acknowledged += int(size)
        self.send(flow)

    def fin(self, flow: str) -> None:
        """Close the flow."""
        self.send(flow, closing=True)

    def forge(self, flow: str, upstream: str) -> None:
        """Send data with the cookie of another upstream."""
        pool = self.steering.pool
        cookie = 77 if upstream == '?' else pool.by_name[upstream].cookie
        self.callers[flow].cookie = cookie
        self.more(flow)

    def send(
        self,
        flow: str,
        size: int = 0,
        opening: bool = False,
        closing: bool = False,
    ) -> None:
        """Hand a packet of a caller to the instance."""
        caller = self.callers[flow]
        packet = Packet(b'raw')
        packet.flow_key = caller.key
        packet.endpoint = caller.endpoint
        packet.is_syn = opening
        packet.is_closing = closing
        packet.payload_size = size
        packet.sequence = caller.sequence
        if opening:
            packet.attempt = caller.copies
        else:
            packet.cookie = caller.cookie
            packet.acknowledged = caller.acknowledged
        self.steering.now = self.now
        self.receive(packet)


def make_entry(
    name: str, service: str, domain: str, marks: tuple[str, ...] = ()
) -> UpstreamEntry:
    """Return a registration; marks are `draining`, `cold=S`, `born=N`."""
    marked = dict(mark.partition('=')[::2] for mark in marks)
    return UpstreamEntry(
        name=name,
        service=service,
        address=('127.0.0.1', 9),
        domain=domain,
        slots=int(marked.get('slots', 4)),
        accepting='draining' not in marked,
        cold_seconds=float(marked.get('cold', 0)),
        born=int(marked.get('born', 1)),
    )
