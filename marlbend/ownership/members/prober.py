"""Define the state of the failure detector and build its messages.

`marlbend.ownership.members.probe` pings the other instances and
`marlbend.ownership.members.incoming` handles the messages they send; both work
on the state defined here.
"""

from collections.abc import Iterator
from random import Random
from typing import Final, final

import msgspec

from marlbend.ownership.members.fleet import Fleet, merge_member
from marlbend.ownership.members.gossip import (
    GossipQueue,
    queue_update,
    take_updates,
)
from marlbend.ownership.members.member import OWNER_STATES, Member, MemberState
from marlbend.ownership.wire.liveness import Ack, LivenessMessage, Ping

__all__ = (
    'SUSPICION_TIMEOUT_SECONDS',
    'Address',
    'Envelope',
    'IndirectPing',
    'Probe',
    'Prober',
    'announce_config',
    'announce_departure',
    'control_address',
    'make_ack',
    'make_ping',
    'merge_and_gossip',
    'ping_with_updates',
    'should_ping',
    'shuffled_names',
)

SUSPICION_TIMEOUT_SECONDS: Final = 0.8
GOSSIP_FANOUT: Final = 3

Address = tuple[str, int]


@final
class Envelope:
    """Pair a message with the control address of its receiver."""

    __slots__ = ('address', 'message')

    def __init__(self, address: Address, message: LivenessMessage) -> None:
        """Address a message."""
        self.address = address
        self.message = message


@final
class Probe:
    """Hold a ping that has not been acknowledged yet.

    `direct` is false once peers have been asked to ping the target.
    """

    __slots__ = ('deadline', 'direct', 'target')

    def __init__(self, target: str, deadline: float) -> None:
        """Start with a direct ping."""
        self.target = target
        self.deadline = deadline
        self.direct = True


@final
class IndirectPing:
    """Hold who requested an indirect ping, and its sequence number there."""

    __slots__ = ('address', 'deadline', 'sequence')

    def __init__(
        self,
        address: Address,
        sequence: int,
        deadline: float,
    ) -> None:
        """Store the request of the instance at `address`."""
        self.address = address
        self.sequence = sequence
        self.deadline = deadline


@final
class Prober:
    """Hold the state of the failure detector of one instance.

    `last_agreed_at` is the last time at which a peer reported the same
    membership digest.  `differing_peer` is the latest peer that reported
    another digest, and `newer_config_peer` the latest with a newer
    configuration than `config_version`.  `remaining_targets` has the names of
    the instances to ping in this round.  After a pause of the process, packets
    of unknown flows are dropped until `caught_up_at`.
    """

    __slots__ = (
        'caught_up_at',
        'config_version',
        'differing_peer',
        'fleet',
        'gossip',
        'indirect_ping_by_sequence',
        'last_agreed_at',
        'last_run',
        'newer_config_peer',
        'next_ping',
        'probe_by_sequence',
        'random',
        'remaining_targets',
        'sequence',
        'suspicion_by_name',
    )

    def __init__(self, fleet: Fleet, random: Random) -> None:
        """Start without updates to gossip; the first run sends a ping."""
        self.fleet = fleet
        self.random = random
        self.sequence = 0
        self.last_agreed_at: float = 0
        self.caught_up_at: float = 0
        self.differing_peer: Address | None = None
        self.newer_config_peer: Address | None = None
        self.config_version = 0
        self.last_run: float = 0
        self.next_ping: float = 0
        self.remaining_targets: list[str] = []
        self.probe_by_sequence: dict[int, Probe] = {}
        self.indirect_ping_by_sequence: dict[int, IndirectPing] = {}
        self.suspicion_by_name: dict[str, float] = {}
        self.gossip = GossipQueue()


def merge_and_gossip(prober: Prober, member: Member, now: float) -> bool:
    """Merge a record and gossip it if it changed the view.

    Return whether it did.
    """
    if not merge_member(prober.fleet, member, now):
        return False
    queue_update(prober.gossip, prober.fleet, member.name)
    # Send the update with the next run instead of the next protocol period.
    prober.next_ping = min(prober.next_ping, now)
    if member.state == MemberState.SUSPECT:
        prober.suspicion_by_name[member.name] = now + SUSPICION_TIMEOUT_SECONDS
    else:
        prober.suspicion_by_name.pop(member.name, None)
    return True


def announce_config(prober: Prober, version: int) -> Iterator[Envelope]:
    """Announce a new configuration version to a few peers at once."""
    prober.config_version = version
    for name in shuffled_names(prober)[:GOSSIP_FANOUT]:
        yield from ping_with_updates(prober, prober.fleet.member_by_name[name])


def announce_departure(prober: Prober, now: float) -> Iterator[Envelope]:
    """Announce to a few peers that this instance is gone."""
    myself = prober.fleet.myself
    gone = msgspec.structs.replace(myself, state=MemberState.GONE)
    merge_and_gossip(prober, gone, now)
    for name in shuffled_names(prober)[:GOSSIP_FANOUT]:
        yield from ping_with_updates(prober, prober.fleet.member_by_name[name])


def ping_with_updates(prober: Prober, member: Member) -> Iterator[Envelope]:
    """Ping a peer only to send it updates; nothing waits for the reply."""
    prober.sequence += 1
    updates = take_updates(prober.gossip, prober.fleet)
    yield Envelope(
        control_address(member), make_ping(prober, prober.sequence, updates)
    )


def make_ping(
    prober: Prober,
    sequence: int,
    updates: tuple[Member, ...],
) -> Ping:
    """Return a ping with the membership digest and the config version."""
    return Ping(sequence, prober.fleet.digest, prober.config_version, updates)


def make_ack(prober: Prober, sequence: int) -> Ack:
    """Return an acknowledgement with membership updates."""
    updates = take_updates(prober.gossip, prober.fleet)
    return Ack(sequence, prober.fleet.digest, prober.config_version, updates)


def should_ping(prober: Prober, member: Member) -> bool:
    """Return whether an instance may be alive.

    An instance that is known only from the platform's list may be alive.
    """
    if member.name == prober.fleet.myself.name:
        return False
    if member.state in OWNER_STATES:
        return True
    listed = member.name in prober.fleet.listed_names
    return listed and member.state != MemberState.LEAVING


def shuffled_names(prober: Prober) -> list[str]:
    """Return the names of the instances to ping, in random order."""
    names = [
        member.name
        for member in prober.fleet.member_by_name.values()
        if should_ping(prober, member)
    ]
    prober.random.shuffle(names)
    return names


def control_address(member: Member) -> Address:
    """Return the address at which an instance receives control messages."""
    return member.address, member.control_port
