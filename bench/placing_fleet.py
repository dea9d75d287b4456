"""Run the production code of many instances under a simulated clock.

The instances handle packets and exchange heartbeats as the daemon does.  The
network between them, the upstreams and the callers only adds a delay.
"""

import time
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Final, final

from bench.events import Action, EventQueue, schedule
from bench.placing import (
    DOMAINS,
    HEARTBEAT_SECONDS,
    SERVICE,
    SLOTS_PER_UPSTREAM,
)
from marlbend.edge.peers import URGENT_INTERVAL_SECONDS
from marlbend.edge.pressure_updates import list_pressures, merge_pressures
from marlbend.edge.upstream_updates import (
    merge_upstream_updates,
    updates_for_local_domain,
    updates_for_remote_domain,
    urgent_updates,
)
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
from marlbend.steering.flows import expire_flows
from marlbend.steering.members import (
    Member,
    Members,
    choose_targets,
    merge_member,
)
from marlbend.steering.placement.method import PlacementMethod
from marlbend.steering.steer import make_receiver, retry_unanswered_syn
from marlbend.steering.upstreams import register_upstream
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberUpdate,
    decode_heartbeat,
    encode_heartbeat,
)

__all__ = (
    'CALLER_SECONDS',
    'Fleet',
    'Instance',
    'restart_instances',
    'send_to_instance',
    'start_fleet',
)

# One-way delays of the network.
CALLER_SECONDS: Final = 0.003
LOCAL_SECONDS: Final = 0.0001
REMOTE_SECONDS: Final = 0.0014
EXPIRY_SECONDS: Final = 0.5
# Steady seconds at the start.  Steering takes time zero as never.
START_SECONDS: Final = 1000.0
CONTROL_PORT: Final = 6071


@final
class Instance:
    """Hold one instance; a start or restart sets its steering."""

    __slots__ = ('member', 'members', 'receive', 'steering', 'urgent_sent_at')

    def __init__(self, number: int) -> None:
        """Initialize without other members."""
        endpoint = (f'10.0.0.{number}', CONTROL_PORT)
        domain = DOMAINS[number % len(DOMAINS)]
        name = f'n-{number}'
        self.member = MemberUpdate(name, endpoint, domain, 0, can_read=True)
        self.members = Members(Member(self.member, 0))
        self.urgent_sent_at: float = 0
        self.steering: Steering
        self.receive: Callable[[Packet], None]


@final
class Fleet(EventQueue):
    """Hold the instances, and what their decisions cost.

    `forward` is called when a packet reaches an upstream, and `reset` when one
    reaches the caller of a flow.  Heartbeats and maintenance stop once
    `is_running` is unset.  `choice_seconds` is the processor time that the
    instances take for SYNs, of which there are `choice_count`.
    """

    __slots__ = (
        'choice_count',
        'choice_seconds',
        'forward',
        'instances',
        'is_running',
        'placement',
        'random',
        'reset',
        'seed',
        'specs',
        'upstream_names',
    )

    def __init__(
        self,
        seed: int,
        specs: tuple[RouteSpec, ...],
        instance_count: int,
        upstream_names: tuple[str, ...],
        *,
        placement: PlacementMethod,
    ) -> None:
        """Initialize before the start of the instances."""
        super().__init__()
        self.seed = seed
        self.random = Random(seed)
        self.specs = specs
        self.placement = placement
        self.instances = [
            Instance(number) for number in range(1, instance_count + 1)
        ]
        self.upstream_names = upstream_names
        self.is_running = True
        self.choice_count = 0
        self.choice_seconds: float = 0
        self.forward: Callable[[Packet, Upstream], None]
        self.reset: Callable[[bytes], None]

    @property
    def steady_now(self) -> float:
        """Return the time on the clock of the instances."""
        return self.now + START_SECONDS


def start_fleet(fleet: Fleet) -> None:
    """Start instances that know each other and all upstreams."""
    for instance in fleet.instances:
        for other in fleet.instances:
            merge_member(instance.members, other.member, 0)
        _repeat(fleet, HEARTBEAT_SECONDS, _make_heartbeat(fleet, instance))
        _repeat(fleet, EXPIRY_SECONDS, _make_expiry(fleet, instance))
    restart_instances(fleet)


def restart_instances(fleet: Fleet) -> None:
    """Let all instances begin again, without estimates and known flows."""
    for instance in fleet.instances:
        instance.steering = _make_steering(fleet, instance)
        instance.receive = make_receiver(instance.steering)


def send_to_instance(fleet: Fleet, instance: Instance, packet: Packet) -> None:
    """Send a caller's packet to an instance."""

    def receive() -> None:
        instance.steering.now = fleet.steady_now
        started_at = time.process_time()
        instance.receive(packet)
        if packet.is_syn:
            fleet.choice_count += 1
            fleet.choice_seconds += time.process_time() - started_at

    schedule(fleet, fleet.now + CALLER_SECONDS, receive)


def _repeat(fleet: Fleet, seconds: float, action: Action) -> None:
    def run_once() -> None:
        action()
        if fleet.is_running:
            schedule(fleet, fleet.now + seconds, run_once)

    schedule(fleet, fleet.random.uniform(0, seconds), run_once)


def _make_steering(fleet: Fleet, instance: Instance) -> Steering:
    member = instance.member

    def forward(packet: Packet, upstream: Upstream) -> None:
        seconds = _one_way_seconds(member.domain, upstream.entry.domain)
        schedule(
            fleet,
            fleet.now + seconds,
            lambda: fleet.forward(packet, upstream),
        )

    def reset(packet: Packet) -> None:
        schedule(
            fleet,
            fleet.now + CALLER_SECONDS,
            lambda: fleet.reset(packet.flow_key),
        )

    def schedule_retry(seconds: float, key: bytes) -> None:
        due_at = fleet.steady_now + seconds

        def retry() -> None:
            # A restart loses the retries.
            if instance.steering is steering:
                steering.now = fleet.steady_now
                retry_unanswered_syn(steering, key, due_at)

        schedule(fleet, fleet.now + seconds, retry)

    callbacks = Callbacks(forward, reset, schedule_retry, _ignore)
    callbacks.gossip_now = _make_urgent_sender(fleet, instance)
    local_instance = LocalInstance(member.name, member.domain)
    local_instance.placement = fleet.placement
    local_instance.live_members = tuple(
        (each.member.name, each.member.domain) for each in fleet.instances
    )
    steering = Steering(
        local_instance, callbacks, Random(f'{fleet.seed} {member.name}')
    )
    _introduce(fleet, steering)
    return steering


def _ignore(*arguments: object) -> None:
    """Discard the report of a decision."""


def _introduce(fleet: Fleet, steering: Steering) -> None:
    steering.now = fleet.steady_now
    steering.upstreams_known = True
    steering.upstreams_confirmed_at = fleet.steady_now
    steering.pool.knows_ended = True
    publication = Publication(1, fleet.specs, {})
    update_routes(steering.routes, publication, fleet.steady_now)
    for position, name in enumerate(fleet.upstream_names):
        entry = UpstreamEntry(
            name,
            SERVICE,
            ('127.0.0.1', CONTROL_PORT),
            DOMAINS[position % len(DOMAINS)],
            SLOTS_PER_UPSTREAM,
            accepting=True,
            cold_seconds=0,
            born=1,
        )
        register_upstream(steering.pool, entry, fleet.steady_now)


def _one_way_seconds(domain: str, other: str) -> float:
    return LOCAL_SECONDS if domain == other else REMOTE_SECONDS


def _make_expiry(fleet: Fleet, instance: Instance) -> Action:
    def expire() -> None:
        instance.steering.now = fleet.steady_now
        instance.steering.upstreams_confirmed_at = fleet.steady_now
        expire_flows(instance.steering)

    return expire


def _make_heartbeat(fleet: Fleet, instance: Instance) -> Action:
    def send_heartbeats() -> None:
        steering = instance.steering
        steering.now = fleet.steady_now
        for target in choose_targets(instance.members, steering.random):
            if target.domain == instance.member.domain:
                updates = updates_for_local_domain(steering, fleet.steady_now)
            else:
                updates = updates_for_remote_domain(
                    steering, target.domain, fleet.steady_now
                )
            heartbeat = Heartbeat(
                (instance.member,),
                upstreams=tuple(updates),
                pressures=list_pressures(steering, fleet.steady_now),
            )
            _send(fleet, instance, heartbeat, [target])

    return send_heartbeats


def _make_urgent_sender(fleet: Fleet, instance: Instance) -> Action:
    def send_urgent() -> None:
        if fleet.now - instance.urgent_sent_at >= URGENT_INTERVAL_SECONDS:
            instance.urgent_sent_at = fleet.now
            updates = urgent_updates(instance.steering, fleet.steady_now)
            heartbeat = Heartbeat((instance.member,), upstreams=tuple(updates))
            _send(fleet, instance, heartbeat, instance.members.local)

    return send_urgent


def _send(
    fleet: Fleet,
    sender: Instance,
    heartbeat: Heartbeat,
    targets: Iterable[Member],
) -> None:
    datagram = encode_heartbeat(heartbeat)

    def deliver(receiver: Instance) -> None:
        received = decode_heartbeat(datagram)
        if received is not None:
            merge_upstream_updates(
                receiver.steering,
                sender.member,
                received,
                fleet.steady_now,
            )
            merge_pressures(
                receiver.steering, received.pressures, fleet.steady_now
            )

    names = {target.name for target in targets}
    for receiver in fleet.instances:
        if receiver.member.name in names:
            seconds = _one_way_seconds(
                sender.member.domain, receiver.member.domain
            )
            schedule(fleet, fleet.now + seconds, partial(deliver, receiver))
