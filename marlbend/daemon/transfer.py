"""Hand flows over to their new homes after each change.

The transfer compares the versions of view and configuration with those it
last worked on.  When one has moved it looks through the flow table, a shard at
a time, and sends what has a new home, one task for each receiver.  What a
receiver does not confirm stays here and is tried again.

The last message to a receiver says for which view it is complete, so that the
receiver need not ask this instance about flows it does not know.
"""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from typing import Final, final

from marlbend.config import Service
from marlbend.daemon.state import Instance
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.flows.handover import (
    Moves,
    find_moves,
    forget_flows,
    group_flows,
    split_group,
    take_flows,
)
from marlbend.flows.table import SHARD_COUNT
from marlbend.members import Member, home_of
from marlbend.members.fleet import view_mark
from marlbend.members.homes import is_complete_for, receivers_of_moves
from marlbend.members.member import MemberState
from marlbend.packets import PacketPath
from marlbend.wire.flows import FlowGroup
from marlbend.wire.messages import HandOver, HandOverReply
from marlbend.wire.rpc import call_hand_over

__all__ = ('Worked', 'take_hand_over', 'transfer_flows', 'transfer_once')

POLL_SECONDS: Final = 0.05
RETRY_SECONDS: Final = 0.1
CHUNK_FLOWS: Final = 8000


@final
class Worked:
    """Remember the versions that the flow table was last compared with."""

    __slots__ = ('config_version', 'view_version')

    def __init__(self) -> None:
        """Start with nothing compared."""
        self.view_version = 0
        self.config_version = 0


async def transfer_flows(instance: Instance) -> None:
    """Hand flows over whenever homes have moved, until cancelled."""
    worked = Worked()
    while True:
        await asyncio.sleep(POLL_SECONDS)
        if not await transfer_once(instance, worked):
            await asyncio.sleep(RETRY_SECONDS)


async def transfer_once(instance: Instance, worked: Worked) -> bool:
    """Hand over what has moved since `worked`; tell if all is done."""
    path = instance.path
    view = path.fleet.version
    config = path.active.version
    if (view, config) == (worked.view_version, worked.config_version):
        return True
    moves = await _collect_moves(path)
    if not await _send_moves(path, moves):
        return False
    worked.view_version = view
    worked.config_version = config
    return True


def take_hand_over(instance: Instance, message: HandOver) -> HandOverReply:
    """Take the flows that another instance gives.

    Only those are taken whose home this instance is by its own view.  The
    sender keeps the others, and is asked for them meanwhile.
    """
    path = instance.path
    sender = message.sender.name
    taken = 0
    refused: list[int] = []
    for group in message.groups:
        kept, elsewhere = split_group(group, _make_home_test(path, group))
        taken += take_flows(path.active, path.table, group, kept, path.tick)
        refused.extend(elsewhere)
    if taken:
        emit(Event.HANDOVER_TAKEN, flows=taken, name=sender)
    if message.completed_view:
        path.fleet.completed_by_name[sender] = message.completed_view
        if message.sender.state == MemberState.LEAVING:
            # It has given what it had; its copies are out of date.
            instance.replicas.by_origin.pop(sender, None)
    return HandOverReply(taken, tuple(refused))


def _make_home_test(
    path: PacketPath,
    group: FlowGroup,
) -> Callable[[int], bool]:
    service = path.active.service_by_name.get(group.service)

    def is_home(digest: int) -> bool:
        if service is None:
            return False
        return home_of(path.fleet, service, digest) is path.fleet.myself

    return is_home


async def _collect_moves(path: PacketPath) -> Moves:
    collected: Moves = defaultdict(list)

    def find_home(service: Service, digest: int) -> Member | None:
        return home_of(path.fleet, service, digest)

    for name in receivers_of_moves(path.fleet, path.now):
        collected[name] = []
    for shard in range(SHARD_COUNT):
        moves = find_moves(path.active, path.table, shard, find_home)
        for home, digests in moves.items():
            if home != path.fleet.myself.name:
                collected[home].extend(digests)
        await asyncio.sleep(0)
    return collected


async def _send_moves(path: PacketPath, moves: Mapping[str, list[int]]) -> bool:
    """Send to every receiver at once; tell if all have confirmed."""
    view = view_mark(path.fleet)
    known = path.fleet.member_by_name
    confirmed = await asyncio.gather(
        *(
            _send_to(path, known[name], digests, view)
            for name, digests in moves.items()
            if name in known and known[name].state != MemberState.GONE
        )
    )
    return all(confirmed)


async def _send_to(
    path: PacketPath,
    receiver: Member,
    digests: Sequence[int],
    view: int,
) -> bool:
    for start in range(0, len(digests), CHUNK_FLOWS):
        chunk = digests[start : start + CHUNK_FLOWS]
        groups = tuple(group_flows(path.active, path.table, chunk))
        reply = await _give(receiver, HandOver(path.fleet.myself, groups))
        if reply is None:
            return False
        forget_flows(path.table, set(chunk) - set(reply.refused))
        if reply.refused:
            return False
    if digests:
        emit(Event.HANDOVER_SENT, flows=len(digests), name=receiver.name)
    if not is_complete_for(path.fleet, receiver.name, path.now):
        return False
    last = HandOver(path.fleet.myself, (), view)
    return await _give(receiver, last) is not None


async def _give(receiver: Member, message: HandOver) -> HandOverReply | None:
    try:
        return await call_hand_over(
            receiver.address, receiver.admin_port, receiver.name, message
        )
    except MarlbendError as error:
        emit(Event.HANDOVER_FAILED, error=error)
        return None
