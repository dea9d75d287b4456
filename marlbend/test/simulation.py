"""Simulate a fleet behind slow links, with callers and upstreams.

The instances run the production code for packets and heartbeats.  The clock and
the network are simulated: each instance has a link of limited bandwidth for all
that it sends and one for all that it receives, callers' packets and heartbeats
alike.  A link drops what would wait too long in its queue.
"""

import heapq
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from random import Random
from typing import Final, final
from unittest import mock

import msgspec

from marlbend.edge.node import GossipNode
from marlbend.edge.peers import (
    receive_heartbeat,
    send_gossip_round,
    send_urgent_heartbeats,
)
from marlbend.observe.control_traffic import Cause
from marlbend.steering import (
    Callbacks,
    LocalInstance,
    Packet,
    Publication,
    RouteSpec,
    Steering,
    Upstream,
    UpstreamEntry,
    update_routes,
)
from marlbend.steering.budgets import make_budgets
from marlbend.steering.flows import expire_flows
from marlbend.steering.gossip import GossipState
from marlbend.steering.members import Member, merge_member
from marlbend.steering.steer import make_receiver, retry_unanswered_syn
from marlbend.steering.upstreams import register_upstream
from marlbend.test.steering import make_entry
from marlbend.topics.changes import apply_peer_changes
from marlbend.topics.knowledge import Topic
from marlbend.wire.heartbeats import MemberUpdate, TopicChanges

__all__ = ('FleetSimulation',)

START: Final = 1000.0
SERVICE: Final = 'catalog'
CONTROL_PORT: Final = 6071
# Port 443 of 198.18.0.1.
ROUTE_ENDPOINT: Final = bytes((1, 187, 198, 18, 0, 1))
HEARTBEAT_SECONDS: Final = 0.25
MAINTENANCE_SECONDS: Final = 0.5
# A link drops what would have to wait longer than this.
MAX_QUEUE_SECONDS: Final = 0.5
# What the network adds to each datagram.
HEADER_BYTES: Final = 28
SYN_BYTES: Final = 44
REQUEST_BYTES: Final = 944
CALLER_SECONDS: Final = 0.003
UPSTREAM_SECONDS: Final = 0.0002
TARGET_SECONDS: Final = 0.55
RESPONSE_BYTES: Final = 2000
SHED_BYTES: Final = 120
# How many requests an upstream queues.
QUEUE_LIMIT: Final = 60
SERVICE_SECONDS: Final = 0.5
BATCH_SECONDS: Final = 0.3
SYN_RETRANSMISSIONS: Final = (0.2, 0.6)
HANDSHAKE_LIMIT_SECONDS: Final = 1.4

Action = Callable[[], None]


@final
class SimulatedLink:
    """Hold when a link will have sent all that waits in its queue."""

    def __init__(self, bytes_per_second: float) -> None:
        self.bytes_per_second = bytes_per_second
        self.free_at = START
        self.bytes_sent = 0

    def enqueue(self, now: float, size: int) -> float | None:
        """Return when the link has sent a datagram, `None` if it drops it."""
        starts_at = max(self.free_at, now)
        if starts_at - now > MAX_QUEUE_SECONDS:
            return None
        size += HEADER_BYTES
        self.bytes_sent += size
        self.free_at = starts_at + size / self.bytes_per_second
        return self.free_at


@final
class SimulatedUpstream:
    """Hold the requests of an upstream that sheds what it cannot queue."""

    def __init__(self) -> None:
        self.busy = 0
        self.queue: deque[Action] = deque()


@final
class SimulatedFlow:
    """Hold the caller's side of a flow."""

    def __init__(self, key: bytes, endpoint: bytes, opened_at: float) -> None:
        self.key = key
        self.endpoint = endpoint
        self.opened_at = opened_at
        self.cookie = 0
        self.is_prompt = False

    def make_packet(self, **fields: object) -> Packet:
        packet = Packet(b'raw')
        packet.flow_key = self.key
        packet.endpoint = self.endpoint
        for name, field in fields.items():
            setattr(packet, name, field)
        return packet


@final
class SimulatedInstance:
    """Hold one instance and its links."""

    def __init__(
        self,
        simulation: 'FleetSimulation',
        name: str,
        domain: str,
        bytes_per_second: float,
    ) -> None:
        number = len(simulation.instances) + 1
        self.endpoint = (f'10.0.{number // 250}.{number % 250}', CONTROL_PORT)
        self.outgoing = SimulatedLink(bytes_per_second)
        self.incoming = SimulatedLink(bytes_per_second)
        self.simulation = simulation
        callbacks = Callbacks(
            self.forward,
            lambda packet: None,
            self.schedule_retry,
            lambda *ignored: None,
        )
        self.steering = Steering(
            LocalInstance(name, domain), callbacks, Random(name)
        )
        self.steering.local_instance.budgets = make_budgets(
            bytes_per_second * 8 / 1_000_000, 1
        )
        self.member = MemberUpdate(
            name, self.endpoint, domain, 0, can_read=True
        )
        gossip = GossipState(
            Member(self.member, START), dict.fromkeys(Topic, 2.0)
        )
        self.node = GossipNode(gossip, self.steering, (), self.send)
        callbacks.gossip_now = lambda: send_urgent_heartbeats(self.node)
        self.receive = make_receiver(self.steering)

    def send(self, datagram: bytes, endpoint: tuple[str, int]) -> None:
        """Send a heartbeat over both links."""
        simulation = self.simulation
        target = simulation.instance_by_endpoint[endpoint]

        def deliver() -> None:
            receive_heartbeat(target.node, datagram, self.endpoint)

        simulation.transmit(
            self.outgoing,
            len(datagram),
            lambda: simulation.transmit(
                target.incoming, len(datagram), deliver
            ),
        )

    def forward(self, packet: Packet, upstream: Upstream) -> None:
        """Send a caller's packet to an upstream."""
        size = SYN_BYTES + packet.payload_size
        self.simulation.transmit(
            self.outgoing,
            size,
            lambda: self.simulation.reach_upstream(self, packet, upstream),
        )

    def receive_packet(self, packet: Packet) -> None:
        """Receive a caller's packet over the link."""

        def deliver() -> None:
            self.steering.now = self.simulation.now
            self.receive(packet)

        size = SYN_BYTES + packet.payload_size
        self.simulation.transmit(self.incoming, size, deliver)

    def schedule_retry(self, seconds: float, key: bytes) -> None:
        due_at = self.simulation.now + seconds

        def retry() -> None:
            self.steering.now = self.simulation.now
            retry_unanswered_syn(self.steering, key, due_at)

        self.simulation.schedule(seconds, retry)


@final
class FleetSimulation:
    """Hold the instances, the upstreams and the events to come.

    `answered_by_second` maps each second of the simulation to the results of
    the flows whose first SYN was sent in it: whether the handshake completed
    before the caller sent the SYN again.  `served_by_second` counts the
    requests that were not shed.  With `slots` zero, upstreams serve any number
    of requests at once.
    """

    def __init__(self, seed: int, instances_by_domain: dict[str, int]) -> None:
        self.now = START
        self.random = Random(seed)
        self.events: list[tuple[float, int, Action]] = []
        self.event_count = 0
        self.instances: list[SimulatedInstance] = []
        self.dark: set[str] = set()
        self.slots = 0
        self.service_seconds = SERVICE_SECONDS
        self.upstream_by_name: dict[str, SimulatedUpstream] = {}
        self.served_by_second: dict[int, int] = {}
        self.revision = 1
        self.flow_by_key: dict[bytes, SimulatedFlow] = {}
        self.answered_by_second: dict[int, list[bool]] = {}
        self.instances_by_domain = instances_by_domain
        self.instance_by_endpoint: dict[tuple[str, int], SimulatedInstance] = {}

    def start(self, upstream_count: int, bytes_per_second: float) -> None:
        """Start instances that know each other and all upstreams."""
        for domain, count in self.instances_by_domain.items():
            for number in range(count):
                instance = SimulatedInstance(
                    self, f'{domain}-{number}', domain, bytes_per_second
                )
                self.instances.append(instance)
                self.instance_by_endpoint[instance.endpoint] = instance
        for instance in self.instances:
            self._introduce(instance, upstream_count)
            self._repeat(HEARTBEAT_SECONDS, self._make_heartbeat(instance))
            self._repeat(MAINTENANCE_SECONDS, self._make_expiry(instance))

    def open_flows(self, per_instance_and_second: float, until: float) -> None:
        """Let callers open flows at random times, at every instance."""
        for instance in self.instances:
            moment: float = 0
            while moment < until:
                moment += self.random.expovariate(per_instance_and_second)
                self.schedule(moment, self._make_caller(instance))

    def replace_upstreams(self, names: list[str], batch: int) -> None:
        """Replace upstreams in batches, as a planned release does.

        The first instance learns of each batch from the platform, and passes it
        on in one change.
        """
        for start in range(0, len(names), batch):
            self.schedule(
                start // batch * BATCH_SECONDS,
                self._make_replacement(names[start : start + batch]),
            )

    def run(self, until: float) -> None:
        """Process all events up to a time in seconds since the start."""
        with patched_clock(lambda: self.now):
            while self.events and self.events[0][0] <= START + until:
                event = heapq.heappop(self.events)
                self.now = event[0]
                event[2]()

    def answered_share(self, since: int, until: int) -> float:
        """Return the share of the flows of some seconds that opened at once."""
        answers = [
            answered
            for second in range(since, until)
            for answered in self.answered_by_second.get(second, ())
        ]
        return sum(answers) / len(answers)

    def schedule(self, seconds: float, action: Action) -> None:
        """Call a function after some seconds."""
        self.event_count += 1
        heapq.heappush(
            self.events, (self.now + seconds, self.event_count, action)
        )

    def transmit(self, link: SimulatedLink, size: int, deliver: Action) -> None:
        """Deliver a datagram when a link has sent it, unless it is full."""
        sent_at = link.enqueue(self.now, size)
        if sent_at is not None:
            self.schedule(sent_at - self.now, deliver)

    def reach_upstream(
        self,
        instance: SimulatedInstance,
        packet: Packet,
        upstream: Upstream,
    ) -> None:
        """Let the caller receive the answer of an upstream, if it is up."""
        flow = self.flow_by_key.get(packet.flow_key)
        if flow is None or upstream.name in self.dark:
            return
        if packet.is_syn:
            self.schedule(
                UPSTREAM_SECONDS + CALLER_SECONDS,
                lambda: self._complete_handshake(instance, flow, upstream),
            )
        elif packet.payload_size:
            self._serve(instance, flow, upstream.name)

    def _serve(
        self, instance: SimulatedInstance, flow: SimulatedFlow, name: str
    ) -> None:
        """Start a request, queue it, or shed it with a short response."""
        upstream = self.upstream_by_name.setdefault(name, SimulatedUpstream())

        def start() -> None:
            upstream.busy += 1
            self.schedule(self.service_seconds, end)

        def end() -> None:
            upstream.busy -= 1
            second = int(self.now - START)
            served = self.served_by_second.get(second, 0)
            self.served_by_second[second] = served + 1
            self._respond(instance, flow, RESPONSE_BYTES)
            if upstream.queue:
                upstream.queue.popleft()()

        if not self.slots or upstream.busy < self.slots:
            start()
        elif len(upstream.queue) < QUEUE_LIMIT:
            upstream.queue.append(start)
        else:
            self._respond(instance, flow, SHED_BYTES)

    def _respond(
        self, instance: SimulatedInstance, flow: SimulatedFlow, size: int
    ) -> None:
        self.schedule(CALLER_SECONDS, lambda: self._close(instance, flow, size))

    def _complete_handshake(
        self,
        instance: SimulatedInstance,
        flow: SimulatedFlow,
        upstream: Upstream,
    ) -> None:
        if flow.cookie or self.now - flow.opened_at > HANDSHAKE_LIMIT_SECONDS:
            return
        flow.cookie = upstream.cookie
        flow.is_prompt = self.now - flow.opened_at < SYN_RETRANSMISSIONS[0]
        request = flow.make_packet(
            cookie=flow.cookie, sequence=1, payload_size=REQUEST_BYTES
        )
        self.schedule(CALLER_SECONDS, lambda: instance.receive_packet(request))

    def _close(
        self, instance: SimulatedInstance, flow: SimulatedFlow, size: int
    ) -> None:
        packet = flow.make_packet(
            cookie=flow.cookie,
            sequence=1 + REQUEST_BYTES,
            acknowledged=size,
            is_closing=True,
        )
        instance.receive_packet(packet)

    def _introduce(
        self, instance: SimulatedInstance, upstream_count: int
    ) -> None:
        steering = instance.steering
        # Nothing is fetched: there is no network for it here.
        instance.node.fetching.update(Topic)
        instance.node.gossip.revision_by_topic[Topic.UPSTREAMS] = self.revision
        instance.node.gossip.confirmed_at_by_topic[Topic.UPSTREAMS] = self.now
        for other in self.instances:
            merge_member(instance.node.gossip.members, other.member, self.now)
        steering.local_instance.live_members = tuple(
            (other.member.name, other.member.domain) for other in self.instances
        )
        spec = RouteSpec(
            'route', ROUTE_ENDPOINT, ((SERVICE, 1),), True, TARGET_SECONDS
        )
        update_routes(steering.routes, Publication(1, (spec,), {}), self.now)
        domains = tuple(self.instances_by_domain)
        for number in range(upstream_count):
            domain = domains[number % len(domains)]
            slots = (f'slots={self.slots}',) if self.slots else ()
            entry = make_entry(f'h-{number:04x}', SERVICE, domain, slots)
            register_upstream(steering.pool, entry, self.now)
        steering.upstreams_known = True
        steering.upstreams_confirmed_at = self.now

    def _make_replacement(self, names: list[str]) -> Action:
        def replace() -> None:
            self.revision += 1
            entry_by_name: dict[str, UpstreamEntry | None] = {}
            domains = tuple(self.instances_by_domain)
            for number, name in enumerate(names):
                new = f'{name}{self.revision:02x}'
                domain = domains[number % len(domains)]
                entry_by_name[name] = None
                entry_by_name[new] = make_entry(new, SERVICE, domain)
            body = msgspec.msgpack.encode(entry_by_name)
            changes = TopicChanges(Topic.UPSTREAMS, 1, self.revision, body)
            node = self.instances[0].node
            apply_peer_changes(node.steering, node.gossip, [changes], 'reader')
            send_gossip_round(node, Cause.CHANGE)

        return replace

    def _make_heartbeat(self, instance: SimulatedInstance) -> Action:
        return lambda: send_gossip_round(instance.node, Cause.PERIODIC)

    def _make_expiry(self, instance: SimulatedInstance) -> Action:
        def expire() -> None:
            instance.steering.now = self.now
            instance.steering.upstreams_confirmed_at = self.now
            expire_flows(instance.steering)

        return expire

    def _repeat(self, seconds: float, action: Action) -> None:
        def run_once() -> None:
            action()
            self.schedule(seconds, run_once)

        self.schedule(self.random.uniform(0, seconds), run_once)

    def _make_caller(self, instance: SimulatedInstance) -> Action:
        def open_flow() -> None:
            key = self.random.randbytes(12)
            flow = SimulatedFlow(key, ROUTE_ENDPOINT, self.now)
            self.flow_by_key[key] = flow
            self._send_syn(instance, flow, 0)
            for attempt, seconds in enumerate(SYN_RETRANSMISSIONS, 1):
                self.schedule(
                    seconds, self._make_retransmission(instance, flow, attempt)
                )
            self.schedule(HANDSHAKE_LIMIT_SECONDS, lambda: self._judge(flow))

        return open_flow

    def _make_retransmission(
        self, instance: SimulatedInstance, flow: SimulatedFlow, attempt: int
    ) -> Action:
        def retransmit() -> None:
            if not flow.cookie:
                self._send_syn(instance, flow, attempt)

        return retransmit

    def _send_syn(
        self, instance: SimulatedInstance, flow: SimulatedFlow, attempt: int
    ) -> None:
        syn = flow.make_packet(is_syn=True, attempt=attempt)
        self.schedule(CALLER_SECONDS, lambda: instance.receive_packet(syn))

    def _judge(self, flow: SimulatedFlow) -> None:
        second = int(flow.opened_at - START)
        answers = self.answered_by_second.setdefault(second, [])
        answers.append(flow.is_prompt)
        if not flow.cookie:
            self.flow_by_key.pop(flow.key)


@contextmanager
def patched_clock(read: Callable[[], float]) -> Iterator[None]:
    """Replace the steady clock where heartbeats are made and received."""
    with (
        mock.patch('marlbend.edge.peers.steady_seconds', read),
        mock.patch('marlbend.edge.reopened_updates.steady_seconds', read),
        mock.patch('marlbend.topics.changes.steady_seconds', read),
        mock.patch('marlbend.topics.contents.steady_seconds', read),
    ):
        yield
