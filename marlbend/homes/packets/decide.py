"""Decide, as the home of a flow that nobody knows, where its packets go."""

from collections.abc import Callable

from marlbend.homes.active import Service
from marlbend.homes.flows import choose_default, choose_upstream
from marlbend.homes.flows.table import HALF_OPEN, mark_override, record_flow
from marlbend.homes.packets.header import ACK, SYN, packet_flags
from marlbend.homes.packets.outcomes import Outcome
from marlbend.homes.packets.state import PacketPath
from marlbend.homes.upstreams import Upstream
from marlbend.homes.upstreams.load import count_arrival, others_share

__all__ = ('decide', 'forward')


def decide(
    path: PacketPath,
    packet: bytes,
    service: Service,
    digest: int,
) -> None:
    """Start a flow with a SYN, or take one up again with any other packet."""
    flags = packet_flags(packet)
    if flags & SYN and not flags & ACK:
        upstream = _start_flow(path, service, digest)
    else:
        upstream = _recover_flow(path, service, digest)
    if upstream is None:
        path.counts[Outcome.DROPPED_NO_UPSTREAM] += 1
    else:
        forward(path, packet, upstream)


def _start_flow(
    path: PacketPath,
    service: Service,
    digest: int,
) -> Upstream | None:
    """Choose the upstream of a new flow and record it.

    A flood of SYNs fills the half-open share of the table; beyond it the
    default needs no entry, since it can be computed again.
    """
    table = path.table
    if not _has_room(path):
        return choose_default(digest, service.accepting)
    upstream = choose_upstream(
        digest, service.accepting, _make_load(path, service)
    )
    if upstream is not None:
        count_arrival(path.loads, service.name)
        record_flow(table, digest, upstream.number, HALF_OPEN, path.tick)
        if upstream is not choose_default(digest, service.accepting):
            mark_override(table, digest)
    return upstream


def _make_load(
    path: PacketPath,
    service: Service,
) -> Callable[[Upstream], float]:
    share = others_share(path.loads, service.name, path.owner_count)
    opened = path.table.open_by_number
    others = path.loads.others_by_number

    def load_of(upstream: Upstream) -> float:
        number = upstream.number
        flows = opened.get(number, 0) + share * others.get(number, 0)
        return flows / upstream.connections

    return load_of


def _recover_flow(
    path: PacketPath,
    service: Service,
    digest: int,
) -> Upstream | None:
    """Take a flow up again whose home is lost: it was on its default.

    It stays half-open until its next packet, so that stray packets cannot
    fill the table.
    """
    table = path.table
    upstream = choose_default(digest, service.accepting)
    if upstream is not None and _has_room(path):
        record_flow(table, digest, upstream.number, HALF_OPEN, path.tick)
    return upstream


def _has_room(path: PacketPath) -> bool:
    table = path.table
    if table.count_by_phase[HALF_OPEN] >= path.half_open_limit:
        return False
    return len(table) < table.limit


def forward(path: PacketPath, packet: bytes, upstream: Upstream) -> None:
    """Send a packet to an upstream and count it."""
    path.counts[Outcome.FORWARDED] += 1
    path.senders.forward(packet, upstream.tunnel)
