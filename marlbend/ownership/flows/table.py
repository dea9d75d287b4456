"""Hold the flows that an instance owns, in bounded memory.

An entry is one integer that packs the number of the upstream, the phase of the
flow, whether the flow is an override (not on the default upstream of its
digest), and the tick (seconds, modulo 2**16) of its last packet.  Entries are
sharded over many small dictionaries, so that a sweep or a handover handles a
few thousand at a time and does not block the packet path for long.

Only overrides need replication: all other flows can be computed again.  The
table lists the overrides to replicate, which are established
(`replicas_due`), and the replicas to remove (`removals_due`), each with the
number of its upstream.
"""

from collections.abc import Iterator
from typing import Final, final

__all__ = (
    'CLOSING',
    'ESTABLISHED',
    'HALF_OPEN',
    'SHARD_COUNT',
    'FlowTable',
    'Timeouts',
    'entry_phase',
    'entry_upstream',
    'is_override',
    'iterate_shard',
    'mark_override',
    'record_flow',
    'remove_flow',
    'set_phase',
    'sweep_shard',
    'touch_flow',
)

HALF_OPEN: Final = 0
ESTABLISHED: Final = 1
CLOSING: Final = 2

SHARD_COUNT: Final = 64
SHARD_MASK: Final = SHARD_COUNT - 1

UPSTREAM_BITS: Final = 20
UPSTREAM_MASK: Final = (1 << UPSTREAM_BITS) - 1
PHASE_SHIFT: Final = UPSTREAM_BITS
PHASE_MASK: Final = 3
OVERRIDE_BIT: Final = 1 << UPSTREAM_BITS + 2
TICK_SHIFT: Final = UPSTREAM_BITS + 3
TICK_BITS: Final = 16
TICK_MASK: Final = (1 << TICK_BITS) - 1


@final
class Timeouts:
    """Hold the idle timeout of each phase in ticks."""

    __slots__ = ('by_phase',)

    def __init__(self, half_open: int, established: int, closing: int) -> None:
        """Store the timeouts in the order of the phases."""
        self.by_phase = (half_open, established, closing)


@final
class FlowTable:
    """Map flow digests to packed entries and count them.

    `open_by_number` counts the flows of each upstream that are half-open or
    established, by the number of the upstream.  `received_flows` counts the
    flows received in handovers from previous owners.
    """

    __slots__ = (
        'count_by_phase',
        'limit',
        'open_by_number',
        'received_flows',
        'removals_due',
        'replicas_due',
        'shards',
    )

    def __init__(self, limit: int) -> None:
        """Start empty; new flows are opened only up to `limit` flows."""
        self.limit = limit
        self.received_flows = 0
        self.shards: tuple[dict[int, int], ...] = tuple(
            {} for _ in range(SHARD_COUNT)
        )
        self.open_by_number: dict[int, int] = {}
        self.count_by_phase = [0, 0, 0]
        self.replicas_due: dict[int, int] = {}
        self.removals_due: dict[int, int] = {}

    def __len__(self) -> int:
        """Return the number of flows in all phases."""
        return sum(self.count_by_phase)

    def find(self, digest: int) -> int | None:
        """Return the entry of a flow, or `None` if the flow is unknown."""
        return self.shards[digest & SHARD_MASK].get(digest)


def entry_upstream(entry: int) -> int:
    """Return the number of the upstream that serves the flow."""
    return entry & UPSTREAM_MASK


def entry_phase(entry: int) -> int:
    """Return the phase of the flow."""
    return (entry >> PHASE_SHIFT) & PHASE_MASK


def is_override(entry: int) -> bool:
    """Return whether the flow is not on its default upstream."""
    return bool(entry & OVERRIDE_BIT)


def record_flow(
    table: FlowTable,
    digest: int,
    number: int,
    phase: int,
    tick: int,
) -> None:
    """Add or replace the entry of a flow, not marked as an override."""
    remove_flow(table, digest)
    _insert(
        table,
        digest,
        (tick & TICK_MASK) << TICK_SHIFT | phase << PHASE_SHIFT | number,
    )


def mark_override(table: FlowTable, digest: int) -> None:
    """Mark a known flow as an override."""
    entry = table.shards[digest & SHARD_MASK][digest]
    table.shards[digest & SHARD_MASK][digest] = entry | OVERRIDE_BIT
    if entry_phase(entry) == ESTABLISHED:
        table.replicas_due[digest] = entry_upstream(entry)


def remove_flow(table: FlowTable, digest: int) -> None:
    """Remove a flow, if it is known."""
    entry = table.shards[digest & SHARD_MASK].pop(digest, None)
    if entry is None:
        return
    phase = entry_phase(entry)
    table.count_by_phase[phase] -= 1
    if phase != CLOSING:
        _count_open(table, entry_upstream(entry), -1)
    if phase == ESTABLISHED and entry & OVERRIDE_BIT:
        _end_replica(table, digest, entry_upstream(entry))


def touch_flow(table: FlowTable, digest: int, entry: int, tick: int) -> None:
    """Record the time of a packet; write only if the tick has changed."""
    if entry >> TICK_SHIFT != tick & TICK_MASK:
        other_fields = entry & ((1 << TICK_SHIFT) - 1)
        table.shards[digest & SHARD_MASK][digest] = (
            tick & TICK_MASK
        ) << TICK_SHIFT | other_fields


def set_phase(table: FlowTable, digest: int, phase: int, tick: int) -> None:
    """Set the phase of a known flow."""
    entry = table.shards[digest & SHARD_MASK][digest]
    record_flow(table, digest, entry_upstream(entry), phase, tick)
    if entry & OVERRIDE_BIT:
        mark_override(table, digest)


def iterate_shard(table: FlowTable, shard: int) -> Iterator[tuple[int, int]]:
    """Yield the digest and entry of each flow in a snapshot of a shard."""
    yield from tuple(table.shards[shard].items())


def sweep_shard(
    table: FlowTable,
    shard: int,
    tick: int,
    timeouts: Timeouts,
) -> int:
    """Remove the idle flows of one shard; return their number."""
    expired = tuple(_find_expired(table.shards[shard], tick, timeouts))
    for digest in expired:
        remove_flow(table, digest)
    return len(expired)


def _find_expired(
    shard: dict[int, int],
    tick: int,
    timeouts: Timeouts,
) -> Iterator[int]:
    for digest, entry in shard.items():
        idle = (tick - (entry >> TICK_SHIFT)) & TICK_MASK
        if idle > timeouts.by_phase[entry_phase(entry)]:
            yield digest


def _end_replica(table: FlowTable, digest: int, number: int) -> None:
    """Cancel a replica that is not sent yet, else schedule its removal."""
    if table.replicas_due.pop(digest, None) is None:
        table.removals_due[digest] = number


def _insert(table: FlowTable, digest: int, entry: int) -> None:
    table.shards[digest & SHARD_MASK][digest] = entry
    phase = entry_phase(entry)
    table.count_by_phase[phase] += 1
    if phase != CLOSING:
        _count_open(table, entry_upstream(entry), 1)


def _count_open(table: FlowTable, number: int, delta: int) -> None:
    count = table.open_by_number.get(number, 0) + delta
    if count:
        table.open_by_number[number] = count
    else:
        table.open_by_number.pop(number, None)
