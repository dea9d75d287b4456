"""Find the flows that have a new home, and take those that others give.

After each change of view or configuration an instance looks through its table
for flows whose home is now another instance.  They are sent in groups of equal
upstream and phase; once the new home has confirmed them they are removed here.
"""

from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence

from marlbend.homes.active import ActiveConfig, Service
from marlbend.homes.flows.choice import choose_default
from marlbend.homes.flows.table import (
    FlowTable,
    entry_phase,
    entry_upstream,
    iterate_shard,
    mark_override,
    record_flow,
    remove_flow,
)
from marlbend.homes.members import Member
from marlbend.homes.wire.flows import FlowGroup

__all__ = (
    'DigestsByOwner',
    'HomeOf',
    'accept_flows',
    'find_moved_flows',
    'group_flows',
    'remove_flows',
    'split_by_owner',
)

HomeOf = Callable[[Service, int], Member | None]
DigestsByOwner = dict[str, list[int]]


def find_moved_flows(
    active: ActiveConfig,
    table: FlowTable,
    shard: int,
    home_of: HomeOf,
) -> DigestsByOwner:
    """Return the digests of one shard that moved, by name of their home."""
    moves: DigestsByOwner = defaultdict(list)
    for digest, entry in iterate_shard(table, shard):
        upstream = active.pool.by_number[entry_upstream(entry)]
        service = active.service_by_name.get(upstream.service)
        if service is None:
            continue
        home = home_of(service, digest)
        if home is not None:
            moves[home.name].append(digest)
    return moves


def group_flows(
    active: ActiveConfig,
    table: FlowTable,
    digests: Sequence[int],
) -> Iterator[FlowGroup]:
    """Yield the flows that are still known, grouped for sending."""
    by_kind: dict[tuple[int, int], list[int]] = defaultdict(list)
    for digest in digests:
        entry = table.find(digest)
        if entry is not None:
            by_kind[entry_upstream(entry), entry_phase(entry)].append(digest)
    for (number, phase), grouped in by_kind.items():
        upstream = active.pool.by_number[number]
        yield FlowGroup(
            upstream.service, *upstream.tunnel, phase, tuple(grouped)
        )


def split_by_owner(
    group: FlowGroup,
    is_home: Callable[[int], bool],
) -> tuple[list[int], list[int]]:
    """Return the digests of a group that belong here, and the others."""
    kept: list[int] = []
    refused: list[int] = []
    for digest in group.digests:
        (kept if is_home(digest) else refused).append(digest)
    return kept, refused


def accept_flows(
    active: ActiveConfig,
    table: FlowTable,
    group: FlowGroup,
    digests: Sequence[int],
    tick: int,
) -> int:
    """Record flows given by another instance; return how many were new.

    A flow known here already is kept as it is: it may have moved on.
    """
    upstream = active.pool.intern(group.service, group.address, group.port)
    service = active.service_by_name.get(group.service)
    accepting = () if service is None else service.accepting
    taken = 0
    for digest in digests:
        if table.find(digest) is None:
            record_flow(table, digest, upstream.number, group.phase, tick)
            if choose_default(digest, accepting) is not upstream:
                mark_override(table, digest)
            taken += 1
    table.received_flows += taken
    return taken


def remove_flows(table: FlowTable, digests: Iterable[int]) -> None:
    """Remove flows that their new home has confirmed."""
    for digest in digests:
        remove_flow(table, digest)
