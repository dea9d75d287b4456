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
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import Final, final

from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.homes.active import Service
from marlbend.homes.daemon.state import Instance
from marlbend.homes.flows.handover import (
    DigestsByOwner,
    accept_flows,
    find_moved_flows,
    group_flows,
    remove_flows,
    split_by_owner,
)
from marlbend.homes.flows.table import SHARD_COUNT
from marlbend.homes.members import Fleet, Member, home_of
from marlbend.homes.members.fleet import view_mark
from marlbend.homes.members.homes import holders_before, receivers_of_moves
from marlbend.homes.members.member import MemberState
from marlbend.homes.packets import PacketPath
from marlbend.homes.wire.flows import FlowGroup
from marlbend.homes.wire.messages import HandOver, HandOverReply
from marlbend.homes.wire.rpc import call_hand_over

__all__ = ('Worked', 'take_hand_over', 'transfer_flows', 'transfer_once')

POLL_SECONDS: Final = 0.1
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
    done = await _follow_mark(path, view_mark(path.fleet))
    if done:
        worked.view_version = view
        worked.config_version = config
    return done


async def _follow_mark(path: PacketPath, mark: int) -> bool:
    """Give what has moved, then say so; tell if both were heard."""
    moves = await _collect_moves(path)
    given = await _give_moves(path, moves)
    if not given or mark != view_mark(path.fleet):
        return False
    path.fleet.given_mark = mark
    if not await _ask_holders(path):
        return False
    receivers = receivers_of_moves(path.fleet, path.now) | moves.keys()
    return await _complete(path, receivers, mark)


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
        kept, elsewhere = split_by_owner(group, _make_home_test(path, group))
        taken += accept_flows(path.active, path.table, group, kept, path.tick)
        refused.extend(elsewhere)
    if taken:
        emit(Event.HANDOVER_RECEIVED, flows=taken, name=sender)
    if message.completed_view:
        path.fleet.completed_by_name[sender] = message.completed_view
        if message.sender.state == MemberState.LEAVING:
            # It has given what it had; its copies are out of date.
            instance.replicas.by_origin.pop(sender, None)
    return HandOverReply(taken, tuple(refused), path.fleet.given_mark)


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


async def _collect_moves(path: PacketPath) -> DigestsByOwner:
    collected: DigestsByOwner = defaultdict(list)

    def find_home(service: Service, digest: int) -> Member | None:
        return home_of(path.fleet, service, digest)

    for shard in range(SHARD_COUNT):
        moves = find_moved_flows(path.active, path.table, shard, find_home)
        for home, digests in moves.items():
            if home != path.fleet.myself.name:
                collected[home].extend(digests)
        await asyncio.sleep(0)
    return collected


async def _give_moves(path: PacketPath, moves: Mapping[str, list[int]]) -> bool:
    """Give flows to every receiver at once; tell if all were taken."""
    taken = await asyncio.gather(
        *(
            _give_flows(path, receiver, moves[receiver.name])
            for receiver in _find_members(path.fleet, moves)
        )
    )
    return all(taken)


async def _give_flows(
    path: PacketPath,
    receiver: Member,
    digests: Sequence[int],
) -> bool:
    for start in range(0, len(digests), CHUNK_FLOWS):
        chunk = digests[start : start + CHUNK_FLOWS]
        groups = tuple(group_flows(path.active, path.table, chunk))
        reply = await _send(path, receiver, groups)
        if reply is None:
            return False
        remove_flows(path.table, set(chunk) - set(reply.refused))
        if reply.refused:
            return False
    emit(Event.HANDOVER_SENT, flows=len(digests), name=receiver.name)
    return True


async def _ask_holders(path: PacketPath) -> bool:
    """Ask those that may still have flows; tell if none of them has any."""
    fleet = path.fleet
    holders = _find_members(fleet, holders_before(fleet, path.now))
    await asyncio.gather(*(_send(path, holder) for holder in holders))
    return not holders_before(fleet, path.now)


async def _complete(
    path: PacketPath,
    names: Iterable[str],
    mark: int,
) -> bool:
    """Tell that there is no more to come; tell if all have heard it."""
    heard = await asyncio.gather(
        *(
            _send(path, receiver, (), mark)
            for receiver in _find_members(path.fleet, names)
        )
    )
    return None not in heard


async def _send(
    path: PacketPath,
    receiver: Member,
    groups: tuple[FlowGroup, ...] = (),
    mark: int = 0,
) -> HandOverReply | None:
    """Send one message; return nothing without an answer."""
    message = HandOver(path.fleet.myself, groups, mark)
    try:
        reply = await call_hand_over(
            receiver.address, receiver.admin_port, receiver.name, message
        )
    except MarlbendError as error:
        emit(Event.HANDOVER_FAILED, error=error)
        return None
    path.fleet.given_by_name[receiver.name] = reply.given_view
    return reply


def _find_members(fleet: Fleet, names: Iterable[str]) -> list[Member]:
    """Return the instances of these names that can be reached."""
    found = (fleet.member_by_name.get(name) for name in names)
    return [
        member
        for member in found
        if member is not None and member.state != MemberState.GONE
    ]
