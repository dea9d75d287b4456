"""Find flows with a new owner and accept flows from previous owners.

After each change of the membership view or the configuration, an instance
scans its table for flows that another instance owns now.  They are sent in
groups of equal upstream and phase, and removed from the table once the new
owner has acknowledged them.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence

from marlbend.ownership.active import ActiveConfig, Service
from marlbend.ownership.flows.choice import choose_default
from marlbend.ownership.flows.table import (
    FlowTable,
    entry_phase,
    entry_upstream,
    iterate_shard,
    mark_override,
    record_flow,
    remove_flow,
)
from marlbend.ownership.members import Member
from marlbend.ownership.wire.flows import FlowGroup

__all__ = (
    'DigestsByOwner',
    'FindOwner',
    'accept_flows',
    'group_by_owner',
    'group_flows',
    'remove_flows',
    'split_by_owner',
)

FindOwner = Callable[[Service, int], Member | None]
DigestsByOwner = dict[str, list[int]]


def group_by_owner(
    active: ActiveConfig,
    table: FlowTable,
    shard: int,
    find_owner: FindOwner,
) -> DigestsByOwner:
    """Return the digests of one shard, grouped by the name of their owner.

    Flows without an owner, or of a service that was removed, are left out.
    """
    digests_by_owner: DigestsByOwner = defaultdict(list)
    for digest, entry in iterate_shard(table, shard):
        upstream = active.pool.by_number[entry_upstream(entry)]
        service = active.service_by_name.get(upstream.service)
        if service is None:
            continue
        owner = find_owner(service, digest)
        if owner is not None:
            digests_by_owner[owner.name].append(digest)
    return digests_by_owner


def group_flows(
    active: ActiveConfig,
    table: FlowTable,
    digests: Sequence[int],
) -> Iterator[FlowGroup]:
    """Yield groups of the flows that are still in the table."""
    groups: dict[tuple[int, int], list[int]] = defaultdict(list)
    for digest in digests:
        entry = table.find(digest)
        if entry is not None:
            groups[entry_upstream(entry), entry_phase(entry)].append(digest)
    for (number, phase), grouped in groups.items():
        upstream = active.pool.by_number[number]
        yield FlowGroup(
            upstream.service, *upstream.tunnel, phase, tuple(grouped)
        )


def split_by_owner(
    group: FlowGroup,
    is_owned: Callable[[int], bool],
) -> tuple[list[int], list[int]]:
    """Return the digests of a group that are owned, and the others."""
    owned: list[int] = []
    rejected: list[int] = []
    for digest in group.digests:
        (owned if is_owned(digest) else rejected).append(digest)
    return owned, rejected


def accept_flows(
    active: ActiveConfig,
    table: FlowTable,
    group: FlowGroup,
    digests: Sequence[int],
    tick: int,
) -> int:
    """Record flows from a previous owner; return how many were new.

    A flow that is in the table already is left unchanged, since its entry may
    be newer.
    """
    upstream = active.pool.intern(group.service, group.address, group.port)
    service = active.service_by_name.get(group.service)
    accepting = () if service is None else service.accepting_upstreams
    added = 0
    for digest in digests:
        if table.find(digest) is None:
            record_flow(table, digest, upstream.number, group.phase, tick)
            if choose_default(digest, accepting) is not upstream:
                mark_override(table, digest)
            added += 1
    table.received_flows += added
    return added


def remove_flows(table: FlowTable, digests: Iterable[int]) -> None:
    """Remove flows that their new owner has acknowledged."""
    for digest in digests:
        remove_flow(table, digest)
