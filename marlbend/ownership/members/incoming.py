"""Handle incoming messages of the failure detector."""

from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.events import Event, emit
from marlbend.ownership.members.fleet import merge_member
from marlbend.ownership.members.gossip import take_updates
from marlbend.ownership.members.member import Member
from marlbend.ownership.members.prober import (
    Address,
    Envelope,
    IndirectPing,
    Prober,
    control_address,
    make_ack,
    make_ping,
    merge_and_gossip,
)
from marlbend.ownership.wire.liveness import (
    Ack,
    LivenessMessage,
    Ping,
    PingRequest,
)

__all__ = ('receive_message',)

# An indirect ping that is not acknowledged by then is dropped.
INDIRECT_PING_TIMEOUT_SECONDS: Final = 0.25


def receive_message(
    prober: Prober,
    message: LivenessMessage,
    sender: Address,
    now: float,
) -> Iterator[Envelope]:
    """Handle a message from a control address and yield the replies."""
    for member in message.updates:
        _merge_update(prober, member, now)
    if isinstance(message, PingRequest):
        yield from _ping_indirectly(prober, message, sender, now)
        return
    _compare_versions(prober, message, sender, now)
    if isinstance(message, Ping):
        yield Envelope(sender, make_ack(prober, message.sequence))
    else:
        yield from _handle_ack(prober, message)


def _handle_ack(prober: Prober, message: Ack) -> Iterator[Envelope]:
    prober.probe_by_sequence.pop(message.sequence, None)
    indirect_ping = prober.indirect_ping_by_sequence.pop(message.sequence, None)
    if indirect_ping is not None:
        yield Envelope(
            indirect_ping.address, make_ack(prober, indirect_ping.sequence)
        )


def _compare_versions(
    prober: Prober,
    message: Ping | Ack,
    sender: Address,
    now: float,
) -> None:
    """Record whether the sender has the same membership and configuration.

    The sender becomes `differing_peer` if its membership digest differs, and
    `newer_config_peer` if its configuration is newer.
    """
    if message.membership_digest == prober.fleet.digest:
        prober.last_agreed_at = now
    else:
        prober.differing_peer = sender
    if message.config_version > prober.config_version:
        prober.newer_config_peer = sender


def _merge_update(prober: Prober, member: Member, now: float) -> None:
    myself = prober.fleet.myself
    if member.name != myself.name:
        merge_and_gossip(prober, member, now)
    elif myself.name not in prober.fleet.member_by_name:
        prober.fleet.myself = _refute(myself, member)
    elif _should_refute(myself, member):
        # Peers that consider this instance gone have given its hash slots to
        # the successors.  Merging their record does so in this view as well,
        # before the refutation returns them, so that the successors are among
        # the previous owners here.
        merge_member(prober.fleet, member, now)
        emit(Event.FALSE_SUSPICION, state=member.state.name.lower())
        merge_and_gossip(prober, _refute(myself, member), now)


def _refute(myself: Member, reported: Member) -> Member:
    """Return a record of this instance that overrides the reported one."""
    incarnation = max(myself.incarnation, reported.incarnation + 1)
    return msgspec.structs.replace(myself, incarnation=incarnation)


def _should_refute(myself: Member, reported: Member) -> bool:
    if reported.incarnation > myself.incarnation:
        return True
    return (
        reported.incarnation == myself.incarnation
        and reported.state > myself.state
    )


def _ping_indirectly(
    prober: Prober,
    request: PingRequest,
    sender: Address,
    now: float,
) -> Iterator[Envelope]:
    target = prober.fleet.member_by_name.get(request.target)
    if target is None:
        return
    prober.sequence += 1
    prober.indirect_ping_by_sequence[prober.sequence] = IndirectPing(
        sender, request.sequence, now + INDIRECT_PING_TIMEOUT_SECONDS
    )
    yield Envelope(
        control_address(target),
        make_ping(
            prober, prober.sequence, take_updates(prober.gossip, prober.fleet)
        ),
    )
