"""Decide what becomes of each packet: the whole path in one place.

The fabric hands a packet to any instance.  That instance, the entry, looks
the service up by exact address and port and forwards the packet if it holds
the flow itself.  Otherwise it relays the packet to the flow's home (HOME).

The home forwards a packet of a flow it knows.  A packet of a flow it does not
know may belong to a flow that lived at an earlier home of its slot, because
the view has changed lately.  So the home first sends it there (CHASE): the
earlier home forwards what it knows, and returns what it does not (DECIDE).
When no earlier home is left to ask, the home decides on its own: a SYN starts
a flow on the upstream chosen, any other packet goes to the default upstream of
its digest, which is where the flow lives unless load had moved it.

Views differ for a while after each change, so a packet may be relayed to an
instance that no longer thinks it is the home; it relays the packet on, and a
limit on hops ends every loop.  An earlier home that has not heard of the change
remembers who asked about a flow, and sends later packets there.

Nothing here touches a socket or a clock: the senders and the time come from
outside.
"""

from collections.abc import Callable
from typing import Final

from marlbend.homes.active import Service
from marlbend.homes.flows.referrals import find_referral, note_referral
from marlbend.homes.flows.table import (
    CLOSING,
    ESTABLISHED,
    HALF_OPEN,
    UPSTREAM_MASK,
    entry_phase,
    set_phase,
    touch_flow,
)
from marlbend.homes.members import Member, owner_of, previous_owners_of
from marlbend.homes.members.member import DEPARTED_STATES
from marlbend.homes.members.ownership import can_hold_flows
from marlbend.homes.packets.decide import decide, forward
from marlbend.homes.packets.header import (
    FIN,
    RST,
    SYN,
    endpoint_key,
    flow_digest,
    judge_packet,
    packet_flags,
)
from marlbend.homes.packets.outcomes import Outcome
from marlbend.homes.packets.state import Address, PacketPath
from marlbend.homes.wire.relay import (
    FRAME_BYTES,
    INGRESS_FRAME,
    Frame,
    RelayKind,
    find_frame,
    read_frame,
)

__all__ = ('make_receivers',)

# From entry to home, and on to an earlier home.
REFERRED_HOPS: Final = 2
_SPECIAL_FLAGS: Final = SYN | FIN | RST

Receive = Callable[[bytes], None]
ReceiveFrom = Callable[[bytes, Address], None]


def make_receivers(path: PacketPath) -> tuple[Receive, ReceiveFrom]:
    """Return the functions that take fabric packets and relayed packets."""

    def receive_fabric(packet: bytes) -> None:
        service = _find_service(path, packet)
        if service is not None:
            _enter(path, packet, service, INGRESS_FRAME, path.fleet.myself)

    def receive_relay(datagram: bytes, sender: Address) -> None:
        peer = path.fleet.member_by_relay.get(sender)
        if peer is None:
            path.counts[Outcome.DROPPED_UNKNOWN_PEER] += 1
            return
        frame = read_frame(datagram)
        if frame is None:
            path.counts[Outcome.DROPPED_RELAY_FRAME] += 1
            return
        packet = datagram[FRAME_BYTES:]
        service = _find_service(path, packet)
        if service is None:
            return
        if frame.kind is RelayKind.LOOKUP:
            _answer_chase(path, packet, service, frame, peer)
        else:
            _enter(path, packet, service, frame, peer)

    return receive_fabric, receive_relay


def _find_service(path: PacketPath, packet: bytes) -> Service | None:
    outcome = judge_packet(packet)
    if outcome != Outcome.ACCEPTED:
        path.counts[outcome] += 1
        return None
    service = path.active.service_by_endpoint.get(endpoint_key(packet))
    if service is None:
        path.counts[Outcome.DROPPED_NO_SERVICE] += 1
    return service


def _enter(
    path: PacketPath,
    packet: bytes,
    service: Service,
    frame: Frame,
    sender: Member,
) -> None:
    """Forward a packet, act as its home, or relay it there.

    Where this view holds the sender to be the home, the sender's own view says
    otherwise: it knows of a change that has not been heard of here.
    """
    digest = flow_digest(packet)
    if _forward_known(path, packet, service, digest):
        return
    home = owner_of(path.fleet, service, digest)
    if home is None:
        path.counts[Outcome.DROPPED_NO_HOME] += 1
    elif home is path.fleet.myself or home is sender:
        _act_as_home(path, packet, service, digest, frame, sender)
    else:
        path.counts[Outcome.RELAYED] += 1
        _relay(path, packet, (frame.kind, frame.hops, frame.lookups), home)


def _act_as_home(
    path: PacketPath,
    packet: bytes,
    service: Service,
    digest: int,
    frame: Frame,
    sender: Member,
) -> None:
    """Ask the next earlier home that may know the flow, else decide."""
    referred = _find_referred(path, digest, frame)
    if referred is not None and referred is not sender:
        path.counts[Outcome.RELAYED] += 1
        _relay(path, packet, (frame.kind, frame.hops, frame.lookups), referred)
        return
    earlier = previous_owners_of(path.fleet, service, digest, path.now)
    useful = (
        (tries, member)
        for tries, member in enumerate(earlier, 1)
        if tries > frame.lookups and can_hold_flows(path.fleet, member.name)
    )
    tries, asked = next(useful, (0, None))
    if path.catching_up:
        path.counts[Outcome.DROPPED_CATCHING_UP] += 1
    elif asked is None:
        decide(path, packet, service, digest)
    else:
        path.counts[Outcome.CHASED] += 1
        _relay(path, packet, (RelayKind.LOOKUP, frame.hops, tries), asked)


def _find_referred(
    path: PacketPath,
    digest: int,
    frame: Frame,
) -> Member | None:
    """Return the instance that is the home by a view not heard of here.

    A packet that has come a longer way is not referred again: instances that
    asked each other would send it to and fro.
    """
    if frame.hops > REFERRED_HOPS:
        return None
    name = find_referral(path.referrals, digest)
    member = path.fleet.member_by_name.get(name or '')
    if member is None or member.state in DEPARTED_STATES:
        return None
    return member


def _answer_chase(
    path: PacketPath,
    packet: bytes,
    service: Service,
    frame: Frame,
    peer: Member,
) -> None:
    """Forward a packet whose flow is known, else pass it on or back.

    An earlier home that this instance is still waiting for may be one that the
    home has never heard of.
    """
    digest = flow_digest(packet)
    if _forward_known(path, packet, service, digest):
        return
    referred = _find_referred(path, digest, frame)
    if (
        referred is None
        and owner_of(path.fleet, service, digest) is path.fleet.myself
    ):
        note_referral(path.referrals, digest, peer.name)
    earlier = previous_owners_of(path.fleet, service, digest, path.now)
    useful = (
        member
        for member in earlier
        if member is not peer and can_hold_flows(path.fleet, member.name)
    )
    asked = next(useful, None)
    if referred is not None and referred is not peer:
        # Two newcomers may not have heard of each other: one asked before.
        asked = referred
    if asked is None:
        path.counts[Outcome.RETURNED] += 1
        parts = (RelayKind.LOOKUP_MISS, frame.hops, frame.lookups)
    else:
        path.counts[Outcome.CHASED] += 1
        parts = (RelayKind.LOOKUP, frame.hops, frame.lookups)
    _relay(path, packet, parts, asked or peer)


def _relay(
    path: PacketPath,
    packet: bytes,
    parts: tuple[RelayKind, int, int],
    target: Member,
) -> None:
    kind, hops, tries = parts
    frame = find_frame(kind, hops + 1, tries)
    if frame is None:
        path.counts[Outcome.DROPPED_HOP_LIMIT] += 1
        return
    path.senders.relay(frame.raw + packet, (target.address, target.relay_port))


def _forward_known(
    path: PacketPath,
    packet: bytes,
    service: Service,
    digest: int,
) -> bool:
    """Forward a packet of a known flow; tell if it was known.

    An entry whose upstream serves another service can only come from two
    flows with one digest; it is not used.  Nor is one whose upstream left the
    service long ago: its address may soon belong to another.
    """
    entry = path.table.find(digest)
    if entry is None:
        return False
    upstream = path.active.pool.by_number[entry & UPSTREAM_MASK]
    if upstream.service != service.name or upstream.given_up_at <= path.now:
        return False
    flags = packet_flags(packet)
    phase = entry_phase(entry)
    if flags & _SPECIAL_FLAGS or phase == HALF_OPEN:
        if phase == CLOSING and flags & SYN:
            return False
        _follow_flags(path, digest, flags, phase)
    else:
        touch_flow(path.table, digest, entry, path.tick)
    forward(path, packet, upstream)
    return True


def _follow_flags(
    path: PacketPath,
    digest: int,
    flags: int,
    phase: int,
) -> None:
    if flags & (FIN | RST):
        set_phase(path.table, digest, CLOSING, path.tick)
    elif phase == HALF_OPEN and not flags & SYN:
        set_phase(path.table, digest, ESTABLISHED, path.tick)
