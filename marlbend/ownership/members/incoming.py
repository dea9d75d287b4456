"""Handle incoming messages of the failure detector."""

from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.events import Event, emit
from marlbend.ownership.members.failure_detector import (
    Address,
    Envelope,
    FailureDetector,
    IndirectPing,
    control_address,
    make_ack,
    make_ping,
    merge_and_gossip,
)
from marlbend.ownership.members.gossip import take_updates
from marlbend.ownership.members.member import Member
from marlbend.ownership.members.view import merge_member
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
    detector: FailureDetector,
    message: LivenessMessage,
    sender: Address,
    now: float,
) -> Iterator[Envelope]:
    """Handle a message from a control address and yield the replies."""
    for member in message.updates:
        _merge_update(detector, member, now)
    if isinstance(message, PingRequest):
        yield from _ping_indirectly(detector, message, sender, now)
        return
    _compare_versions(detector, message, sender, now)
    if isinstance(message, Ping):
        yield Envelope(sender, make_ack(detector, message.sequence))
    else:
        yield from _handle_ack(detector, message)


def _handle_ack(detector: FailureDetector, message: Ack) -> Iterator[Envelope]:
    detector.probe_by_sequence.pop(message.sequence, None)
    indirect_ping = detector.indirect_ping_by_sequence.pop(
        message.sequence, None
    )
    if indirect_ping is not None:
        yield Envelope(
            indirect_ping.address, make_ack(detector, indirect_ping.sequence)
        )


def _compare_versions(
    detector: FailureDetector,
    message: Ping | Ack,
    sender: Address,
    now: float,
) -> None:
    """Record whether the sender has the same membership and configuration.

    The sender becomes `differing_peer` if its membership digest differs, and
    `newer_config_peer` if its configuration is newer.
    """
    if message.membership_digest == detector.view.membership_digest:
        detector.last_agreed_at = now
    else:
        detector.differing_peer = sender
    if message.config_version > detector.config_version:
        detector.newer_config_peer = sender


def _merge_update(
    detector: FailureDetector, member: Member, now: float
) -> None:
    myself = detector.view.myself
    if member.name != myself.name:
        merge_and_gossip(detector, member, now)
    elif myself.name not in detector.view.member_by_name:
        # This instance has not joined yet, so the record is not of this process
        # but, for example, of an earlier one.  It is not merged; this instance
        # will join with a higher incarnation.
        detector.view.myself = _refute(myself, member)
    elif _should_refute(myself, member):
        # Peers that consider this instance gone have given its hash slots to
        # the successors.  Merging their record does so in this view as well,
        # before the refutation returns them, so that the successors are among
        # the previous owners here.
        merge_member(detector.view, member, now)
        emit(Event.FALSE_SUSPICION, state=member.state.name.lower())
        merge_and_gossip(detector, _refute(myself, member), now)


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
    detector: FailureDetector,
    request: PingRequest,
    sender: Address,
    now: float,
) -> Iterator[Envelope]:
    target = detector.view.member_by_name.get(request.target)
    if target is None:
        return
    detector.sequence += 1
    detector.indirect_ping_by_sequence[detector.sequence] = IndirectPing(
        sender, request.sequence, now + INDIRECT_PING_TIMEOUT_SECONDS
    )
    yield Envelope(
        control_address(target),
        make_ping(
            detector,
            detector.sequence,
            take_updates(detector.gossip, detector.view),
        ),
    )
