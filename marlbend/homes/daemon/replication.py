"""Copy departures to the heirs of their slots.

Flows on their default need no copy.  What departs is sent, batched and within
a budget of bytes, to the instance that would inherit it.
"""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Iterator
from typing import Final, final

from marlbend.homes.daemon.state import Instance
from marlbend.homes.flows.choice import choose_default
from marlbend.homes.flows.handover import group_flows
from marlbend.homes.flows.table import (
    ESTABLISHED,
    SHARD_COUNT,
    entry_phase,
    entry_upstream,
    is_override,
    iterate_shard,
    mark_override,
)
from marlbend.homes.members import successor_of
from marlbend.homes.packets import PacketPath
from marlbend.homes.wire.replication import ReplicaUpdate

__all__ = ('replicate_departures',)

FLUSH_SECONDS: Final = 0.2
# A copy that is kept too long does no harm, so ends wait to be many.
ENDS_SECONDS: Final = 2.0
CHUNK_FLOWS: Final = 100
BYTES_A_SECOND: Final = 1000
BURST_BYTES: Final = 3000


@final
class _Replication:
    """Remember for which heirs and configuration copies were sent."""

    __slots__ = (
        'config_version',
        'ends_at',
        'epoch',
        'room',
        'successors',
        'view_version',
    )

    def __init__(self) -> None:
        self.view_version = 0
        self.config_version = 0
        self.ends_at: float = 0
        self.successors: frozenset[tuple[str, int, str]] = frozenset()
        self.epoch = 1
        self.room: float = BURST_BYTES


async def replicate_departures(instance: Instance) -> None:
    """Send copies whenever there is room in the budget, until cancelled."""
    state = _Replication()
    path = instance.path
    while True:
        await asyncio.sleep(FLUSH_SECONDS)
        if state.config_version != path.active.version:
            state.config_version = path.active.version
            await _mark_departures(path)
        if state.view_version != path.fleet.version:
            state.view_version = path.fleet.version
            await _renew_epoch(instance, state)
        earned = BYTES_A_SECOND * FLUSH_SECONDS
        state.room = min(BURST_BYTES, state.room + earned)
        while state.room > 0 and path.table.replicas_due:
            _send_copies(instance, state)
        if path.now >= state.ends_at:
            state.ends_at = path.now + ENDS_SECONDS
            _send_ends(instance, state)


async def _mark_departures(path: PacketPath) -> None:
    """Find the flows that a new configuration makes depart."""
    for shard in range(SHARD_COUNT):
        for digest, entry in iterate_shard(path.table, shard):
            if not is_override(entry) and _departs(path, digest, entry):
                mark_override(path.table, digest)
        await asyncio.sleep(0)


def _departs(path: PacketPath, digest: int, entry: int) -> bool:
    upstream = path.active.pool.by_number[entry_upstream(entry)]
    service = path.active.service_by_name.get(upstream.service)
    if service is None:
        return False
    return choose_default(digest, service.accepting) is not upstream


async def _renew_epoch(instance: Instance, state: _Replication) -> None:
    """Send everything again if the heirs of this home have changed."""
    path = instance.path
    heirs = frozenset(_list_heirs(path))
    if heirs == state.successors:
        return
    old_names = {heir[2] for heir in state.successors}
    state.successors = heirs
    state.epoch += 1
    path.table.replicas_due.clear()
    path.table.removals_due.clear()
    for shard in range(SHARD_COUNT):
        for digest, entry in iterate_shard(path.table, shard):
            if is_override(entry) and entry_phase(entry) == ESTABLISHED:
                path.table.replicas_due[digest] = entry_upstream(entry)
        await asyncio.sleep(0)
    for name in old_names - {heir[2] for heir in heirs}:
        _send(instance, state, name, ReplicaUpdate(*_head(path, state)))


def _list_heirs(path: PacketPath) -> Iterator[tuple[str, int, str]]:
    myself = path.fleet.myself.name
    for domain, table in path.fleet.hash_slots_by_domain.items():
        for slot, owner in enumerate(table.owners):
            heir = table.successors[slot]
            if owner is not None and owner.name == myself and heir is not None:
                yield domain, slot, heir.name


def _send_copies(instance: Instance, state: _Replication) -> None:
    path = instance.path
    for heir, digests in _take_by_heir(path, path.table.replicas_due).items():
        groups = tuple(group_flows(path.active, path.table, digests))
        _send(instance, state, heir, ReplicaUpdate(*_head(path, state), groups))


def _send_ends(instance: Instance, state: _Replication) -> None:
    path = instance.path
    for heir, ended in _take_by_heir(path, path.table.removals_due).items():
        message = ReplicaUpdate(*_head(path, state), (), tuple(ended))
        _send(instance, state, heir, message)


def _take_by_heir(
    path: PacketPath,
    due: dict[int, int],
) -> dict[str, list[int]]:
    """Take some flows off a queue, grouped by their heir."""
    by_heir: dict[str, list[int]] = defaultdict(list)
    for digest in tuple(itertools.islice(due, CHUNK_FLOWS)):
        number = due.pop(digest)
        by_heir[_heir_name(path, digest, number)].append(digest)
    return by_heir


def _heir_name(path: PacketPath, digest: int, number: int) -> str:
    upstream = path.active.pool.by_number[number]
    service = path.active.service_by_name.get(upstream.service)
    if service is None:
        return ''
    heir = successor_of(path.fleet, service, digest)
    return '' if heir is None else heir.name


def _head(path: PacketPath, state: _Replication) -> tuple[str, int, int]:
    myself = path.fleet.myself
    return myself.name, myself.incarnation, state.epoch


def _send(
    instance: Instance,
    state: _Replication,
    name: str,
    message: ReplicaUpdate,
) -> None:
    member = instance.path.fleet.member_by_name.get(name)
    if member is not None:
        address = (member.address, member.control_port)
        state.room -= instance.outbox.send(message, address)
