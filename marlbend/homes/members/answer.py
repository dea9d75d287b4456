"""Take the messages by which instances see that others are alive."""

from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.events import Event, emit
from marlbend.homes.members.fleet import apply_member
from marlbend.homes.members.member import Member
from marlbend.homes.members.news import pick_news
from marlbend.homes.members.prober import (
    Address,
    Errand,
    Letter,
    Prober,
    announce,
    control_address,
    make_ack,
    make_ping,
)
from marlbend.homes.wire.liveness import Ack, Message, Ping, PingRequest

__all__ = ('receive_message',)

# A ping on behalf of another instance is answered within this time.
ERRAND_SECONDS: Final = 0.25


def receive_message(
    prober: Prober,
    message: Message,
    sender: Address,
    now: float,
) -> Iterator[Letter]:
    """Take a message from a control address and yield the answers."""
    for member in message.news:
        _hear(prober, member, now)
    if isinstance(message, PingRequest):
        yield from _run_errand(prober, message, sender, now)
        return
    _compare(prober, message, sender, now)
    if isinstance(message, Ping):
        yield Letter(sender, make_ack(prober, message.sequence))
    else:
        yield from _take_ack(prober, message)


def _take_ack(prober: Prober, message: Ack) -> Iterator[Letter]:
    prober.probe_by_sequence.pop(message.sequence, None)
    errand = prober.errand_by_sequence.pop(message.sequence, None)
    if errand is not None:
        yield Letter(errand.address, make_ack(prober, errand.sequence))


def _compare(
    prober: Prober,
    message: Ping | Ack,
    sender: Address,
    now: float,
) -> None:
    """Note who has another view or a newer configuration."""
    if message.view == prober.fleet.digest:
        prober.agreed_at = now
    else:
        prober.differing = sender
    if message.config > prober.config_version:
        prober.newer = sender


def _hear(prober: Prober, member: Member, now: float) -> None:
    myself = prober.fleet.myself
    if member.name != myself.name:
        announce(prober, member, now)
    elif myself.name not in prober.fleet.member_by_name:
        prober.fleet.myself = _outlive(myself, member)
    elif _contradicts(myself, member):
        # When it was held to be gone its slots have moved, and come back.
        apply_member(prober.fleet, member, now)
        emit(Event.FALSE_SUSPICION, state=member.state.name.lower())
        announce(prober, _outlive(myself, member), now)


def _outlive(myself: Member, heard: Member) -> Member:
    """Return the record of this instance that wins over one heard of it."""
    incarnation = max(myself.incarnation, heard.incarnation + 1)
    return msgspec.structs.replace(myself, incarnation=incarnation)


def _contradicts(myself: Member, heard: Member) -> bool:
    if heard.incarnation > myself.incarnation:
        return True
    return (
        heard.incarnation == myself.incarnation and heard.state > myself.state
    )


def _run_errand(
    prober: Prober,
    request: PingRequest,
    sender: Address,
    now: float,
) -> Iterator[Letter]:
    target = prober.fleet.member_by_name.get(request.target)
    if target is None:
        return
    prober.sequence += 1
    prober.errand_by_sequence[prober.sequence] = Errand(
        sender, request.sequence, now + ERRAND_SECONDS
    )
    yield Letter(
        control_address(target),
        make_ping(
            prober, prober.sequence, pick_news(prober.news, prober.fleet)
        ),
    )
