"""Hand flows over to their new owners after each change of ownership.

The transfer compares the versions of membership view and configuration with
those that it was last completed for.  When one has changed, it scans the flow
table, a shard at a time, and sends the flows that have a new owner, to all
receivers in parallel.  Flows that a receiver does not acknowledge, or rejects,
stay in the table and are sent again.

The last message to a receiver carries the ownership digest (of the owners of
hash slots and the configuration version) for which the handover is complete, so
that the receiver need not look up unknown flows at this instance.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, final

from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.ownership.active import Service
from marlbend.ownership.daemon.state import Instance
from marlbend.ownership.flows.handover import (
    DigestsByOwner,
    accept_flows,
    group_by_owner,
    group_flows,
    remove_flows,
    split_by_owner,
)
from marlbend.ownership.flows.table import SHARD_COUNT
from marlbend.ownership.members import Member, MembershipView, owner_of
from marlbend.ownership.members.member import MemberState
from marlbend.ownership.members.owners import (
    later_owners,
    pending_previous_owners,
)
from marlbend.ownership.members.view import ownership_digest
from marlbend.ownership.packets import PacketPath
from marlbend.ownership.wire.flows import FlowGroup
from marlbend.ownership.wire.messages import Handover, HandoverReply
from marlbend.ownership.wire.rpc import call_handover

__all__ = (
    'TransferProgress',
    'accept_handover',
    'transfer_flows',
    'transfer_once',
)

CHECK_INTERVAL_SECONDS: Final = 0.1
RETRY_SECONDS: Final = 0.1
# At most 9 bytes each, so a message stays far below `MAX_MESSAGE_BYTES`.
FLOWS_PER_MESSAGE: Final = 8000


@final
class TransferProgress:
    """Hold the versions for which the last transfer was completed."""

    __slots__ = ('config_version', 'view_version')

    def __init__(self) -> None:
        """Start with no completed transfer."""
        self.view_version = 0
        self.config_version = 0


async def transfer_flows(instance: Instance) -> None:
    """Hand flows over whenever their owner changes, until cancelled."""
    progress = TransferProgress()
    while True:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        if not await transfer_once(instance, progress):
            await asyncio.sleep(RETRY_SECONDS)


async def transfer_once(
    instance: Instance,
    progress: TransferProgress,
) -> bool:
    """Hand over flows that changed owner; return whether that is complete."""
    path = instance.path
    view_version = path.view.version
    config_version = path.active.version
    if (view_version, config_version) == (
        progress.view_version,
        progress.config_version,
    ):
        return True
    complete = await _transfer_for_ownership_digest(
        path, ownership_digest(path.view)
    )
    if complete:
        progress.view_version = view_version
        progress.config_version = config_version
    return complete


async def _transfer_for_ownership_digest(
    path: PacketPath, target_ownership_digest: int
) -> bool:
    """Hand over the flows, then announce completion.

    Return whether all receivers have acknowledged both.
    """
    moved = await _find_moved_flows(path)
    acknowledged = await _send_moved_flows(path, moved)
    if not acknowledged or target_ownership_digest != ownership_digest(
        path.view
    ):
        return False
    path.view.handed_over_digest = target_ownership_digest
    if not await _poll_previous_owners(path):
        return False
    receivers = later_owners(path.view, path.now) | moved.keys()
    return await _announce_completion(path, receivers, target_ownership_digest)


def accept_handover(instance: Instance, message: Handover) -> HandoverReply:
    """Record the flows that another instance hands over.

    Only flows that this instance owns by its own view are accepted.  The
    sender keeps the others, and they are looked up there in the meantime.
    """
    path = instance.path
    sender = message.sender.name
    accepted_count = 0
    rejected: list[int] = []
    for group in message.groups:
        accepted, not_owned = split_by_owner(
            group, _make_ownership_check(path, group)
        )
        accepted_count += accept_flows(
            path.active, path.table, group, accepted, path.tick
        )
        rejected.extend(not_owned)
    if accepted_count:
        emit(Event.HANDOVER_RECEIVED, flows=accepted_count, name=sender)
    if message.completed_view:
        path.view.completed_digest_by_name[sender] = message.completed_view
        if message.sender.state == MemberState.LEAVING:
            # The sender has handed over all its flows, so the replicas that it
            # sent are stale.
            instance.replicas.by_origin.pop(sender, None)
    return HandoverReply(
        accepted_count, tuple(rejected), path.view.handed_over_digest
    )


def _make_ownership_check(
    path: PacketPath,
    group: FlowGroup,
) -> Callable[[int], bool]:
    service = path.active.service_by_name.get(group.service)

    def owns_flow(digest: int) -> bool:
        if service is None:
            return False
        return owner_of(path.view, service, digest) is path.view.myself

    return owns_flow


async def _find_moved_flows(path: PacketPath) -> DigestsByOwner:
    """Return the flows in the table that another instance owns now."""
    moved: DigestsByOwner = defaultdict(list)

    def locate_owner(service: Service, digest: int) -> Member | None:
        return owner_of(path.view, service, digest)

    for shard in range(SHARD_COUNT):
        by_owner = group_by_owner(path.active, path.table, shard, locate_owner)
        for owner, flow_digests in by_owner.items():
            if owner != path.view.myself.name:
                moved[owner].extend(flow_digests)
        await asyncio.sleep(0)
    return moved


async def _send_moved_flows(
    path: PacketPath,
    moved: Mapping[str, list[int]],
) -> bool:
    """Send flows to their owners; return whether all were acknowledged."""
    acknowledged = await asyncio.gather(
        *(
            _send_flows(path, receiver, moved[receiver.name])
            for receiver in _reachable_members(path.view, moved)
        )
    )
    return all(acknowledged)


async def _send_flows(
    path: PacketPath,
    receiver: Member,
    flow_digests: Sequence[int],
) -> bool:
    for start in range(0, len(flow_digests), FLOWS_PER_MESSAGE):
        chunk = flow_digests[start : start + FLOWS_PER_MESSAGE]
        groups = tuple(group_flows(path.active, path.table, chunk))
        reply = await _call(path, receiver, groups)
        if reply is None:
            return False
        remove_flows(path.table, set(chunk) - set(reply.refused))
        if reply.refused:
            return False
    emit(Event.HANDOVER_SENT, flows=len(flow_digests), name=receiver.name)
    return True


async def _poll_previous_owners(path: PacketPath) -> bool:
    """Poll previous owners for the progress of their handovers.

    Return whether none of them has any left.
    """
    view = path.view
    previous_owners = _reachable_members(
        view, pending_previous_owners(view, path.now)
    )
    await asyncio.gather(*(_call(path, member) for member in previous_owners))
    return not pending_previous_owners(view, path.now)


async def _announce_completion(
    path: PacketPath,
    receivers: Iterable[str],
    target_ownership_digest: int,
) -> bool:
    """Announce a completed handover; return whether all acknowledged it."""
    replies = await asyncio.gather(
        *(
            _call(path, receiver, (), target_ownership_digest)
            for receiver in _reachable_members(path.view, receivers)
        )
    )
    return None not in replies


async def _call(
    path: PacketPath,
    receiver: Member,
    groups: tuple[FlowGroup, ...] = (),
    completed_ownership_digest: int = 0,
) -> HandoverReply | None:
    """Send a handover message; return the reply, or None on failure."""
    message = Handover(path.view.myself, groups, completed_ownership_digest)
    try:
        reply = await call_handover(
            receiver.address, receiver.admin_port, receiver.name, message
        )
    except MarlbendError as error:
        emit(Event.HANDOVER_FAILED, error=error)
        return None
    path.view.handed_over_digest_by_name[receiver.name] = reply.given_view
    return reply


def _reachable_members(
    view: MembershipView, names: Iterable[str]
) -> list[Member]:
    """Return the members with these names that are not gone."""
    found = (view.member_by_name.get(name) for name in names)
    return [
        member
        for member in found
        if member is not None and member.state != MemberState.GONE
    ]
