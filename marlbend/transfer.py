"""Hand flows over to their new homes after each change.

The transfer compares the versions of view and configuration with those it
last worked on.  When one has moved it looks through the flow table, a shard
at a time, and sends what has a new home, one task for each receiver.  What a
receiver does not confirm stays here and is tried again.
"""

import asyncio
from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Final, final

from marlbend.config import Service
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.flows.handover import (
    Moves,
    find_moves,
    forget_flows,
    group_flows,
)
from marlbend.flows.table import SHARD_COUNT
from marlbend.members import Member, home_of, live_members
from marlbend.packets import PacketPath
from marlbend.wire.messages import HandOver
from marlbend.wire.rpc import call_hand_over

__all__ = ('Transfer', 'transfer_flows')

POLL_SECONDS: Final = 0.1
RETRY_SECONDS: Final = 0.5
CHUNK_FLOWS: Final = 8000


@final
class Transfer:
    """Remember the versions that the flow table was last compared with."""

    __slots__ = ('config_version', 'path', 'view_version')

    def __init__(self, path: PacketPath) -> None:
        """Start with nothing compared."""
        self.path = path
        self.view_version = 0
        self.config_version = 0


async def transfer_flows(transfer: Transfer) -> None:
    """Hand flows over whenever homes have moved, until cancelled."""
    path = transfer.path
    while True:
        await asyncio.sleep(POLL_SECONDS)
        view = path.fleet.version
        config = path.active.version
        if (view, config) == (transfer.view_version, transfer.config_version):
            continue
        if view != transfer.view_version:
            names = ' '.join(member.name for member in live_members(path.fleet))
            emit(Event.VIEW_CHANGED, version=view, members=names)
        if await _send_moves(path, await _collect_moves(path)):
            transfer.view_version = view
            transfer.config_version = config
        else:
            await asyncio.sleep(RETRY_SECONDS)


async def _collect_moves(path: PacketPath) -> Moves:
    collected: Moves = defaultdict(list)

    def find_home(service: Service, digest: int) -> Member | None:
        return home_of(path.fleet, service, digest)

    for shard in range(SHARD_COUNT):
        moves = find_moves(path.active, path.table, shard, find_home)
        for name, digests in moves.items():
            if name != path.fleet.myself.name:
                collected[name].extend(digests)
        await asyncio.sleep(0)
    return collected


async def _send_moves(path: PacketPath, moves: Mapping[str, list[int]]) -> bool:
    """Send to every receiver at once; tell if all have confirmed."""
    confirmed = await asyncio.gather(
        *(
            _send_to(path, path.fleet.member_by_name[name], digests)
            for name, digests in moves.items()
        )
    )
    return all(confirmed)


async def _send_to(
    path: PacketPath,
    receiver: Member,
    digests: Sequence[int],
) -> bool:
    for start in range(0, len(digests), CHUNK_FLOWS):
        chunk = digests[start : start + CHUNK_FLOWS]
        groups = tuple(group_flows(path.active, path.table, chunk))
        message = HandOver(path.fleet.myself, groups)
        try:
            await call_hand_over(
                receiver.address, receiver.admin_port, receiver.name, message
            )
        except MarlbendError as error:
            emit(Event.HANDOVER_FAILED, error=error)
            return False
        forget_flows(path.table, chunk)
    emit(Event.HANDOVER_SENT, flows=len(digests), name=receiver.name)
    return True
