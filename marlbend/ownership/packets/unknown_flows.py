"""Select the upstream of packets whose flow is in no flow table.

The owner of a flow does this when no previous owner is left for a lookup.
"""

from collections.abc import Callable

from marlbend.ownership.active import Service
from marlbend.ownership.flows import choose_default, choose_upstream
from marlbend.ownership.flows.table import HALF_OPEN, mark_override, record_flow
from marlbend.ownership.packets.header import ACK, SYN, tcp_flags
from marlbend.ownership.packets.outcomes import Outcome
from marlbend.ownership.packets.state import PacketPath
from marlbend.ownership.upstreams import Upstream
from marlbend.ownership.upstreams.load import count_new_flow, others_load_weight

__all__ = ('forward_to_upstream', 'forward_unknown_flow')


def forward_unknown_flow(
    path: PacketPath,
    packet: bytes,
    service: Service,
    digest: int,
) -> None:
    """Open a flow for a SYN, recover the flow for any other packet."""
    flags = tcp_flags(packet)
    if flags & SYN and not flags & ACK:
        upstream = _open_flow(path, service, digest)
    else:
        upstream = _recover_flow(path, service, digest)
    if upstream is None:
        path.counts[Outcome.DROPPED_NO_UPSTREAM] += 1
    else:
        forward_to_upstream(path, packet, upstream)


def _open_flow(
    path: PacketPath,
    service: Service,
    digest: int,
) -> Upstream | None:
    """Choose the upstream of a new flow and record the flow.

    A SYN flood can fill only the half-open share of the table.  Beyond that
    limit a flow goes to its default upstream without a table entry, since the
    default can be computed again for each packet.
    """
    table = path.table
    if not _has_room(path):
        return choose_default(digest, service.accepting_upstreams)
    upstream = choose_upstream(
        digest, service.accepting_upstreams, _make_load_function(path, service)
    )
    if upstream is not None:
        count_new_flow(path.loads, service.name)
        record_flow(table, digest, upstream.number, HALF_OPEN, path.tick)
        if upstream is not choose_default(digest, service.accepting_upstreams):
            mark_override(table, digest)
    return upstream


def _make_load_function(
    path: PacketPath,
    service: Service,
) -> Callable[[Upstream], float]:
    weight = others_load_weight(path.loads, service.name, path.owner_count)
    own_flows = path.table.open_by_number
    reported = path.loads.reported_by_number

    def load_of(upstream: Upstream) -> float:
        number = upstream.number
        flows = own_flows.get(number, 0) + weight * reported.get(number, 0)
        return flows / upstream.connections

    return load_of


def _recover_flow(
    path: PacketPath,
    service: Service,
    digest: int,
) -> Upstream | None:
    """Recover a flow whose owner was lost, on its default upstream.

    The flow is recorded as half-open until its next packet, so that stray
    packets cannot fill the table.
    """
    table = path.table
    upstream = choose_default(digest, service.accepting_upstreams)
    if upstream is not None and _has_room(path):
        record_flow(table, digest, upstream.number, HALF_OPEN, path.tick)
    return upstream


def _has_room(path: PacketPath) -> bool:
    table = path.table
    if table.count_by_phase[HALF_OPEN] >= path.half_open_limit:
        return False
    return len(table) < table.limit


def forward_to_upstream(
    path: PacketPath,
    packet: bytes,
    upstream: Upstream,
) -> None:
    """Send a packet to the tunnel of an upstream and count it."""
    path.counts[Outcome.FORWARDED] += 1
    path.senders.forward(packet, upstream.tunnel)
