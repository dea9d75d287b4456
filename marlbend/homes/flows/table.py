"""Hold the flows an instance is home for, in bounded memory.

An entry is one integer: the number of the upstream, the phase of the flow,
whether it departs from the default of its digest, and the tick (seconds,
modulo 2**16) of its last packet.  Entries live in many small dictionaries, so
that a sweep or a hand-over looks at a few thousand at a time and never stops
the packet path for long.

Departures are the only state worth copying elsewhere.  The table lists those
that began to carry data (`replicas_due`) and those whose copy has to end
(`removals_due`), each with the number of its upstream.
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
DEPARTURE_BIT: Final = 1 << UPSTREAM_BITS + 2
TICK_SHIFT: Final = UPSTREAM_BITS + 3
TICK_BITS: Final = 16
TICK_MASK: Final = (1 << TICK_BITS) - 1


@final
class Timeouts:
    """Give the idle time of each phase in ticks."""

    __slots__ = ('by_phase',)

    def __init__(self, half_open: int, established: int, closing: int) -> None:
        """Keep the limits in the order of the phases."""
        self.by_phase = (half_open, established, closing)


@final
class FlowTable:
    """Map flow digests to packed entries and count them.

    `open_by_number` counts the flows of an upstream that are not closing and
    `received_flows` the flows that other homes have handed over.
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
        """Start empty; `limit` bounds the number of flows."""
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
        """Return the number of flows in every phase."""
        return sum(self.count_by_phase)

    def find(self, digest: int) -> int | None:
        """Return the entry of a flow, if it is known."""
        return self.shards[digest & SHARD_MASK].get(digest)


def entry_upstream(entry: int) -> int:
    """Return the number of the upstream that serves the flow."""
    return entry & UPSTREAM_MASK


def entry_phase(entry: int) -> int:
    """Return the phase of the flow."""
    return (entry >> PHASE_SHIFT) & PHASE_MASK


def is_override(entry: int) -> bool:
    """Tell whether the flow departs from its default upstream."""
    return bool(entry & DEPARTURE_BIT)


def record_flow(
    table: FlowTable,
    digest: int,
    number: int,
    phase: int,
    tick: int,
) -> None:
    """Add a flow on its default upstream, or replace what is known of it."""
    remove_flow(table, digest)
    _insert(
        table,
        digest,
        (tick & TICK_MASK) << TICK_SHIFT | phase << PHASE_SHIFT | number,
    )


def mark_override(table: FlowTable, digest: int) -> None:
    """Note that a known flow departs from its default upstream."""
    entry = table.shards[digest & SHARD_MASK][digest]
    table.shards[digest & SHARD_MASK][digest] = entry | DEPARTURE_BIT
    if entry_phase(entry) == ESTABLISHED:
        table.replicas_due[digest] = entry_upstream(entry)


def remove_flow(table: FlowTable, digest: int) -> None:
    """Forget a flow, if it is known."""
    entry = table.shards[digest & SHARD_MASK].pop(digest, None)
    if entry is None:
        return
    phase = entry_phase(entry)
    table.count_by_phase[phase] -= 1
    if phase != CLOSING:
        _count_open(table, entry_upstream(entry), -1)
    if phase == ESTABLISHED and entry & DEPARTURE_BIT:
        _end_copy(table, digest, entry_upstream(entry))


def touch_flow(table: FlowTable, digest: int, entry: int, tick: int) -> None:
    """Note that a packet was seen; write only when the tick has moved."""
    if entry >> TICK_SHIFT != tick & TICK_MASK:
        kept = entry & ((1 << TICK_SHIFT) - 1)
        table.shards[digest & SHARD_MASK][digest] = (
            tick & TICK_MASK
        ) << TICK_SHIFT | kept


def set_phase(table: FlowTable, digest: int, phase: int, tick: int) -> None:
    """Move a known flow to another phase."""
    entry = table.shards[digest & SHARD_MASK][digest]
    record_flow(table, digest, entry_upstream(entry), phase, tick)
    if entry & DEPARTURE_BIT:
        mark_override(table, digest)


def iterate_shard(table: FlowTable, shard: int) -> Iterator[tuple[int, int]]:
    """Yield digest and entry of each flow of one shard, from a snapshot."""
    yield from tuple(table.shards[shard].items())


def sweep_shard(
    table: FlowTable,
    shard: int,
    tick: int,
    timeouts: Timeouts,
) -> int:
    """Remove the flows of one shard that were idle for too long."""
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


def _end_copy(table: FlowTable, digest: int, number: int) -> None:
    """Cancel a copy that was not sent yet, or ask for its end."""
    if table.replicas_due.pop(digest, None) is None:
        table.removals_due[digest] = number


def _insert(table: FlowTable, digest: int, entry: int) -> None:
    table.shards[digest & SHARD_MASK][digest] = entry
    phase = entry_phase(entry)
    table.count_by_phase[phase] += 1
    if phase != CLOSING:
        _count_open(table, entry_upstream(entry), 1)


def _count_open(table: FlowTable, number: int, change: int) -> None:
    opened = table.open_by_number.get(number, 0) + change
    if opened:
        table.open_by_number[number] = opened
    else:
        table.open_by_number.pop(number, None)
