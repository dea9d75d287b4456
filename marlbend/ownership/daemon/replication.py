"""Replicate overrides to the successors of their hash slots.

Flows on their default upstream need no replica, because any instance computes
the same default.  Overrides are sent, batched and within a byte budget, to the
instance that owns them if this one is gone.  Removals of replicas are charged
to the budget but not held back by it.
"""

import asyncio
import itertools
from collections import defaultdict
from collections.abc import Iterator
from typing import Final, final

from marlbend.ownership.daemon.state import Instance
from marlbend.ownership.flows.choice import choose_default
from marlbend.ownership.flows.handover import group_flows
from marlbend.ownership.flows.table import (
    ESTABLISHED,
    SHARD_COUNT,
    entry_phase,
    entry_upstream,
    is_override,
    iterate_shard,
    mark_override,
)
from marlbend.ownership.members import successor_of
from marlbend.ownership.packets import PacketPath
from marlbend.ownership.wire.replication import ReplicaUpdate

__all__ = ('replicate_overrides',)

FLUSH_INTERVAL_SECONDS: Final = 0.2
# A stale replica does no harm, so removals are held back to be batched.
REMOVAL_INTERVAL_SECONDS: Final = 2.0
FLOWS_PER_BATCH: Final = 100
# Part of the 4,096 bytes/s of control traffic that an instance may use.
BUDGET_BYTES_PER_SECOND: Final = 1000
BURST_BYTES: Final = 3000


@final
class _ReplicationState:
    """Track which view, configuration and successors replicas reflect.

    `hash_slot_successors` holds, for each hash slot that this instance owns,
    the failure domain, the hash slot and the name of its successor.
    """

    __slots__ = (
        'budget_bytes',
        'config_version',
        'epoch',
        'hash_slot_successors',
        'next_removals_at',
        'view_version',
    )

    def __init__(self) -> None:
        self.view_version = 0
        self.config_version = 0
        self.next_removals_at: float = 0
        self.hash_slot_successors: frozenset[tuple[str, int, str]] = frozenset()
        self.epoch = 1
        self.budget_bytes: float = BURST_BYTES


async def replicate_overrides(instance: Instance) -> None:
    """Send replicas, as the byte budget allows, and removals of replicas."""
    state = _ReplicationState()
    path = instance.path
    while True:
        await asyncio.sleep(FLUSH_INTERVAL_SECONDS)
        if state.config_version != path.active.version:
            state.config_version = path.active.version
            await _mark_new_overrides(path)
        if state.view_version != path.view.version:
            state.view_version = path.view.version
            await _update_epoch(instance, state)
        refill = BUDGET_BYTES_PER_SECOND * FLUSH_INTERVAL_SECONDS
        state.budget_bytes = min(BURST_BYTES, state.budget_bytes + refill)
        while state.budget_bytes > 0 and path.table.replicas_due:
            _send_replicas(instance, state)
        if path.now >= state.next_removals_at:
            state.next_removals_at = path.now + REMOVAL_INTERVAL_SECONDS
            _send_removals(instance, state)


async def _mark_new_overrides(path: PacketPath) -> None:
    """Mark flows whose default upstream a new configuration has changed."""
    for shard in range(SHARD_COUNT):
        for digest, entry in iterate_shard(path.table, shard):
            if not is_override(entry) and _is_off_default(path, digest, entry):
                mark_override(path.table, digest)
        await asyncio.sleep(0)


def _is_off_default(path: PacketPath, digest: int, entry: int) -> bool:
    upstream = path.active.pool.by_number[entry_upstream(entry)]
    service = path.active.service_by_name.get(upstream.service)
    if service is None:
        return False
    return choose_default(digest, service.accepting_upstreams) is not upstream


async def _update_epoch(instance: Instance, state: _ReplicationState) -> None:
    """Start a new epoch and resend all if the successors have changed."""
    path = instance.path
    hash_slot_successors = frozenset(_list_hash_slot_successors(path))
    if hash_slot_successors == state.hash_slot_successors:
        return
    old_names = {each[2] for each in state.hash_slot_successors}
    state.hash_slot_successors = hash_slot_successors
    state.epoch += 1
    path.table.replicas_due.clear()
    path.table.removals_due.clear()
    for shard in range(SHARD_COUNT):
        for digest, entry in iterate_shard(path.table, shard):
            if is_override(entry) and entry_phase(entry) == ESTABLISHED:
                path.table.replicas_due[digest] = entry_upstream(entry)
        await asyncio.sleep(0)
    # An empty message of the new epoch drops the replicas at its receiver.
    for name in old_names - {each[2] for each in hash_slot_successors}:
        _send(instance, state, name, ReplicaUpdate(*_header(path, state)))


def _list_hash_slot_successors(
    path: PacketPath,
) -> Iterator[tuple[str, int, str]]:
    local_name = path.view.myself.name
    for domain, table in path.view.hash_slots_by_domain.items():
        for hash_slot, owner in enumerate(table.owners):
            successor = table.successors[hash_slot]
            if (
                owner is not None
                and owner.name == local_name
                and successor is not None
            ):
                yield domain, hash_slot, successor.name


def _send_replicas(instance: Instance, state: _ReplicationState) -> None:
    path = instance.path
    for successor, digests in _pop_by_successor(
        path, path.table.replicas_due
    ).items():
        groups = tuple(group_flows(path.active, path.table, digests))
        _send(
            instance,
            state,
            successor,
            ReplicaUpdate(*_header(path, state), groups),
        )


def _send_removals(instance: Instance, state: _ReplicationState) -> None:
    path = instance.path
    for successor, ended in _pop_by_successor(
        path, path.table.removals_due
    ).items():
        message = ReplicaUpdate(*_header(path, state), (), tuple(ended))
        _send(instance, state, successor, message)


def _pop_by_successor(
    path: PacketPath,
    due: dict[int, int],
) -> dict[str, list[int]]:
    """Remove a batch of flows from a queue, grouped by their successor."""
    by_successor: dict[str, list[int]] = defaultdict(list)
    for digest in tuple(itertools.islice(due, FLOWS_PER_BATCH)):
        number = due.pop(digest)
        by_successor[_successor_name(path, digest, number)].append(digest)
    return by_successor


def _successor_name(path: PacketPath, digest: int, number: int) -> str:
    upstream = path.active.pool.by_number[number]
    service = path.active.service_by_name.get(upstream.service)
    if service is None:
        return ''
    successor = successor_of(path.view, service, digest)
    return '' if successor is None else successor.name


def _header(
    path: PacketPath,
    state: _ReplicationState,
) -> tuple[str, int, int]:
    myself = path.view.myself
    return myself.name, myself.incarnation, state.epoch


def _send(
    instance: Instance,
    state: _ReplicationState,
    name: str,
    message: ReplicaUpdate,
) -> None:
    member = instance.path.view.member_by_name.get(name)
    if member is not None:
        address = (member.address, member.control_port)
        state.budget_bytes -= instance.outbox.send(message, address)
