"""Define the state of the failure detector and build its messages.

`marlbend.ownership.members.swim` pings the other instances and
`marlbend.ownership.members.incoming` handles the messages they send; both work
on the state defined here.
"""

from collections.abc import Iterator
from random import Random
from typing import Final, final

import msgspec

from marlbend.ownership.members.gossip import (
    GossipQueue,
    queue_update,
    take_updates,
)
from marlbend.ownership.members.member import OWNER_STATES, Member, MemberState
from marlbend.ownership.members.view import MembershipView, merge_member
from marlbend.ownership.wire.liveness import Ack, LivenessMessage, Ping

__all__ = (
    'SUSPICION_TIMEOUT_SECONDS',
    'Address',
    'Envelope',
    'FailureDetector',
    'IndirectPing',
    'Probe',
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
# Peers that an announcement is sent to at once, before gossip spreads it.
ANNOUNCEMENT_FANOUT: Final = 3

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
class FailureDetector:
    """Hold the state of the failure detector of one instance.

    This includes what piggybacks on its messages: membership updates and the
    configuration version.

    `last_agreed_at` is the last time at which a peer reported the same
    membership digest, or at which a snapshot was requested because none did for
    too long.  `differing_peer` is the latest peer that reported another digest,
    and `newer_config_peer` the latest with a newer configuration than
    `config_version`.  `suspicion_deadline_by_name` has the time at which each
    suspect is declared gone.  `remaining_targets` has the names of the
    instances to ping in this round.  After a pause of the process, packets of
    unknown flows are dropped until `catch_up_until`.
    """

    __slots__ = (
        'catch_up_until',
        'config_version',
        'differing_peer',
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
        'suspicion_deadline_by_name',
        'view',
    )

    def __init__(self, view: MembershipView, random: Random) -> None:
        """Start without updates to gossip; the first run sends a ping."""
        self.view = view
        self.random = random
        self.sequence = 0
        self.last_agreed_at: float = 0
        self.catch_up_until: float = 0
        self.differing_peer: Address | None = None
        self.newer_config_peer: Address | None = None
        self.config_version = 0
        self.last_run: float = 0
        self.next_ping: float = 0
        self.remaining_targets: list[str] = []
        self.probe_by_sequence: dict[int, Probe] = {}
        self.indirect_ping_by_sequence: dict[int, IndirectPing] = {}
        self.suspicion_deadline_by_name: dict[str, float] = {}
        self.gossip = GossipQueue()


def merge_and_gossip(
    detector: FailureDetector, member: Member, now: float
) -> bool:
    """Merge a record and gossip it if it changed the view.

    Return whether it did.
    """
    if not merge_member(detector.view, member, now):
        return False
    queue_update(detector.gossip, detector.view, member.name)
    # Send the update with the next run instead of the next protocol period.
    detector.next_ping = min(detector.next_ping, now)
    if member.state == MemberState.SUSPECT:
        detector.suspicion_deadline_by_name[member.name] = (
            now + SUSPICION_TIMEOUT_SECONDS
        )
    else:
        detector.suspicion_deadline_by_name.pop(member.name, None)
    return True


def announce_config(
    detector: FailureDetector, version: int
) -> Iterator[Envelope]:
    """Announce a new configuration version to a few peers at once."""
    detector.config_version = version
    for name in shuffled_names(detector)[:ANNOUNCEMENT_FANOUT]:
        yield from ping_with_updates(
            detector, detector.view.member_by_name[name]
        )


def announce_departure(
    detector: FailureDetector, now: float
) -> Iterator[Envelope]:
    """Announce to a few peers that this instance is gone."""
    myself = detector.view.myself
    gone = msgspec.structs.replace(myself, state=MemberState.GONE)
    merge_and_gossip(detector, gone, now)
    for name in shuffled_names(detector)[:ANNOUNCEMENT_FANOUT]:
        yield from ping_with_updates(
            detector, detector.view.member_by_name[name]
        )


def ping_with_updates(
    detector: FailureDetector, member: Member
) -> Iterator[Envelope]:
    """Ping a peer only to send it updates; nothing waits for the reply."""
    detector.sequence += 1
    updates = take_updates(detector.gossip, detector.view)
    yield Envelope(
        control_address(member), make_ping(detector, detector.sequence, updates)
    )


def make_ping(
    detector: FailureDetector,
    sequence: int,
    updates: tuple[Member, ...],
) -> Ping:
    """Return a ping with the membership digest and the config version."""
    return Ping(
        sequence,
        detector.view.membership_digest,
        detector.config_version,
        updates,
    )


def make_ack(detector: FailureDetector, sequence: int) -> Ack:
    """Return an acknowledgement with membership updates."""
    updates = take_updates(detector.gossip, detector.view)
    return Ack(
        sequence,
        detector.view.membership_digest,
        detector.config_version,
        updates,
    )


def should_ping(detector: FailureDetector, member: Member) -> bool:
    """Return whether the failure detector pings an instance.

    It pings the owners of hash slots, and any other instance that the platform
    lists unless it is leaving.  The latter include instances known only from
    the list and instances declared gone, which may be running.
    """
    if member.name == detector.view.myself.name:
        return False
    if member.state in OWNER_STATES:
        return True
    listed = member.name in detector.view.listed_names
    return listed and member.state != MemberState.LEAVING


def shuffled_names(detector: FailureDetector) -> list[str]:
    """Return the names of the instances to ping, in random order."""
    names = [
        member.name
        for member in detector.view.member_by_name.values()
        if should_ping(detector, member)
    ]
    detector.random.shuffle(names)
    return names


def control_address(member: Member) -> Address:
    """Return the address at which an instance receives control messages."""
    return member.address, member.control_port
