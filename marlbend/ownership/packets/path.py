"""Route each packet: forward it, relay it or drop it.

The fabric delivers a packet to any instance.  This ingress instance finds the
service by exact destination address and port, and forwards the packet if the
flow is in its own flow table.  Otherwise it relays the packet to the owner of
the flow (`OWNER`).

The owner forwards the packets of flows in its table.  A flow that is not in
its table may still be in that of a previous owner, if the membership view or
the configuration has changed recently.  So the owner first sends the packet to
the previous owner (`LOOKUP`), which forwards it if it holds the flow and
returns it otherwise (`LOOKUP_MISS`).  When no previous owner is left, the owner
selects the upstream: a SYN opens a flow on the upstream chosen by load, any
other packet goes to the default upstream of its digest, which serves the flow
unless the flow was an override.

Membership views differ for a while after each change, so a packet may be
relayed to an instance that no longer considers itself the owner.  It relays
the packet again; a hop limit ends every loop.  A previous owner that does not
have the change yet records which instance looked a flow up, and relays later
packets of the flow to that instance.

This module uses no socket and no clock: the callbacks that send and the time
are passed in.
"""

from collections.abc import Callable
from typing import Final

from marlbend.ownership.active import Service
from marlbend.ownership.flows.owner_hints import find_hint, record_hint
from marlbend.ownership.flows.table import (
    CLOSING,
    ESTABLISHED,
    HALF_OPEN,
    UPSTREAM_MASK,
    entry_phase,
    set_phase,
    touch_flow,
)
from marlbend.ownership.members import Member, owner_of, previous_owners_of
from marlbend.ownership.members.member import DEPARTED_STATES
from marlbend.ownership.members.owners import can_hold_flows
from marlbend.ownership.packets.header import (
    FIN,
    RST,
    SYN,
    endpoint_key,
    flow_digest,
    tcp_flags,
    validate_packet,
)
from marlbend.ownership.packets.outcomes import Outcome
from marlbend.ownership.packets.state import Address, PacketPath
from marlbend.ownership.packets.unknown_flows import (
    forward_to_upstream,
    forward_unknown_flow,
)
from marlbend.ownership.wire.relay import (
    FRAME_BYTES,
    INGRESS_FRAME,
    Frame,
    RelayKind,
    find_frame,
    read_frame,
)

__all__ = ('make_receivers',)

# From the ingress instance to the owner, and from there to a previous owner.
MAX_HINTED_HOPS: Final = 2
# Flags that may change the phase of a flow.
_PHASE_FLAGS: Final = SYN | FIN | RST

Receive = Callable[[bytes], None]
ReceiveFrom = Callable[[bytes, Address], None]


def make_receivers(path: PacketPath) -> tuple[Receive, ReceiveFrom]:
    """Return the handlers of fabric packets and of relayed packets."""

    def receive_fabric(packet: bytes) -> None:
        service = _find_service(path, packet)
        if service is not None:
            _route_packet(
                path, packet, service, INGRESS_FRAME, path.view.myself
            )

    def receive_relay(datagram: bytes, sender: Address) -> None:
        peer = path.view.member_by_relay.get(sender)
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
            _handle_lookup(path, packet, service, frame, peer)
        else:
            _route_packet(path, packet, service, frame, peer)

    return receive_fabric, receive_relay


def _find_service(path: PacketPath, packet: bytes) -> Service | None:
    outcome = validate_packet(packet)
    if outcome != Outcome.ACCEPTED:
        path.counts[outcome] += 1
        return None
    service = path.active.service_by_endpoint.get(endpoint_key(packet))
    if service is None:
        path.counts[Outcome.DROPPED_NO_SERVICE] += 1
    return service


def _route_packet(
    path: PacketPath,
    packet: bytes,
    service: Service,
    frame: Frame,
    sender: Member,
) -> None:
    """Forward a packet of a known flow, else relay it to the owner.

    If the sender is the owner by the view of this instance, this instance
    handles the packet as the owner itself: the sender's view differs because of
    a change that has not reached this instance yet.
    """
    digest = flow_digest(packet)
    if _forward_known_flow(path, packet, service, digest):
        return
    owner = owner_of(path.view, service, digest)
    if owner is None:
        path.counts[Outcome.DROPPED_NO_HOME] += 1
    elif owner is path.view.myself or owner is sender:
        _handle_as_owner(path, packet, service, digest, frame, sender)
    else:
        path.counts[Outcome.RELAYED] += 1
        _relay_packet(
            path, packet, (frame.kind, frame.hops, frame.lookup_position), owner
        )


def _handle_as_owner(
    path: PacketPath,
    packet: bytes,
    service: Service,
    digest: int,
    frame: Frame,
    sender: Member,
) -> None:
    """Look the flow up at the next previous owner, else select an upstream.

    Previous owners that can no longer hold the flow are skipped.
    """
    hinted = _find_hinted_owner(path, digest, frame)
    if hinted is not None and hinted is not sender:
        path.counts[Outcome.RELAYED] += 1
        _relay_packet(
            path,
            packet,
            (frame.kind, frame.hops, frame.lookup_position),
            hinted,
        )
        return
    previous = previous_owners_of(path.view, service, digest, path.now)
    candidates = (
        (lookup_position, member)
        for lookup_position, member in enumerate(previous, 1)
        if lookup_position > frame.lookup_position
        and can_hold_flows(path.view, member.name)
    )
    lookup_position, candidate = next(candidates, (0, None))
    if path.catching_up:
        path.counts[Outcome.DROPPED_CATCHING_UP] += 1
    elif candidate is None:
        forward_unknown_flow(path, packet, service, digest)
    else:
        path.counts[Outcome.CHASED] += 1
        _relay_packet(
            path,
            packet,
            (RelayKind.LOOKUP, frame.hops, lookup_position),
            candidate,
        )


def _find_hinted_owner(
    path: PacketPath,
    digest: int,
    frame: Frame,
) -> Member | None:
    """Return the owner by a change that has not reached this instance.

    After `MAX_HINTED_HOPS` the hint is ignored: instances that have looked a
    flow up at each other would otherwise relay its packets back and forth.
    """
    if frame.hops > MAX_HINTED_HOPS:
        return None
    name = find_hint(path.owner_hints, digest)
    member = path.view.member_by_name.get(name or '')
    if member is None or member.state in DEPARTED_STATES:
        return None
    return member


def _handle_lookup(
    path: PacketPath,
    packet: bytes,
    service: Service,
    frame: Frame,
    peer: Member,
) -> None:
    """Forward a packet of a known flow, else relay the lookup or return it.

    A previous owner from which this instance still expects flows may be
    unknown to the current owner, so this instance relays the lookup to it.
    """
    digest = flow_digest(packet)
    if _forward_known_flow(path, packet, service, digest):
        return
    hinted = _find_hinted_owner(path, digest, frame)
    if (
        hinted is None
        and owner_of(path.view, service, digest) is path.view.myself
    ):
        record_hint(path.owner_hints, digest, peer.name)
    previous = previous_owners_of(path.view, service, digest, path.now)
    candidates = (
        member
        for member in previous
        if member is not peer and can_hold_flows(path.view, member.name)
    )
    candidate = next(candidates, None)
    if hinted is not None and hinted is not peer:
        # The hint has precedence over a previous owner: the hinted instance
        # looked the flow up here as its owner, so it may have opened the flow
        # since.  If it and the peer joined recently, they may be missing from
        # each other's view, so only this instance can relay the lookup.
        candidate = hinted
    if candidate is None:
        path.counts[Outcome.RETURNED] += 1
        frame_parts = (RelayKind.LOOKUP_MISS, frame.hops, frame.lookup_position)
    else:
        path.counts[Outcome.CHASED] += 1
        frame_parts = (RelayKind.LOOKUP, frame.hops, frame.lookup_position)
    _relay_packet(path, packet, frame_parts, candidate or peer)


def _relay_packet(
    path: PacketPath,
    packet: bytes,
    frame_parts: tuple[RelayKind, int, int],
    target: Member,
) -> None:
    kind, hops, lookup_position = frame_parts
    frame = find_frame(kind, hops + 1, lookup_position)
    if frame is None:
        path.counts[Outcome.DROPPED_HOP_LIMIT] += 1
        return
    path.senders.relay(frame.raw + packet, (target.address, target.relay_port))


def _forward_known_flow(
    path: PacketPath,
    packet: bytes,
    service: Service,
    digest: int,
) -> bool:
    """Forward a packet of a known flow; return whether it was known.

    A table entry whose upstream serves another service is the result of a
    digest collision and is not used.  Neither is an entry whose upstream left
    the service long ago: its address may soon belong to another service.
    """
    entry = path.table.find(digest)
    if entry is None:
        return False
    upstream = path.active.pool.by_number[entry & UPSTREAM_MASK]
    if upstream.service != service.name or upstream.forward_until <= path.now:
        return False
    flags = tcp_flags(packet)
    phase = entry_phase(entry)
    if flags & _PHASE_FLAGS or phase == HALF_OPEN:
        if phase == CLOSING and flags & SYN:
            return False
        _update_phase(path, digest, flags, phase)
    else:
        touch_flow(path.table, digest, entry, path.tick)
    forward_to_upstream(path, packet, upstream)
    return True


def _update_phase(
    path: PacketPath,
    digest: int,
    flags: int,
    phase: int,
) -> None:
    if flags & (FIN | RST):
        set_phase(path.table, digest, CLOSING, path.tick)
    elif phase == HALF_OPEN and not flags & SYN:
        set_phase(path.table, digest, ESTABLISHED, path.tick)
