"""Share the flows of a failure domain over its instances.

A domain has a fixed number of slots, and each slot belongs to the instance
with the highest hash of instance and slot (rendezvous hashing).  The scores
are kept, so a join costs one hash for each slot and a departure costs one
hash for each slot it leaves and each member that remains: no other slot
moves.  A slot that moved remembers its previous owner for a while, since that
one may know flows which the new owner does not.
"""

from array import array
from typing import Final, final

import xxhash

from marlbend.hashing import hash_text
from marlbend.members.member import Member

__all__ = (
    'Predecessor',
    'SlotTable',
    'add_member',
    'remove_member',
    'replace_member',
)

_hash_slot: Final = xxhash.xxh3_64_intdigest


@final
class Predecessor:
    """Name the previous owner of a slot until a time (monotonic seconds)."""

    __slots__ = ('member', 'until')

    def __init__(self, member: Member, until: float) -> None:
        """Keep both."""
        self.member = member
        self.until = until


@final
class SlotTable:
    """Know the owner of every slot of one failure domain."""

    __slots__ = ('member_by_name', 'owners', 'predecessor_by_slot', 'scores')

    def __init__(self, size: int) -> None:
        """Start without members; `size` is the number of slots."""
        self.owners: list[Member | None] = [None for _ in range(size)]
        self.scores = array('Q', bytes(size * 8))
        self.member_by_name: dict[str, Member] = {}
        self.predecessor_by_slot: dict[int, Predecessor] = {}


def add_member(table: SlotTable, member: Member, until: float) -> int:
    """Give a member its slots; return how many moved to it."""
    table.member_by_name[member.name] = member
    moved = 0
    seed = _member_seed(member)
    for slot, owner in enumerate(table.owners):
        score = _score(slot, seed)
        if owner is None or score > table.scores[slot]:
            _move_slot(table, slot, member, until)
            table.scores[slot] = score
            moved += 1
    return moved


def remove_member(table: SlotTable, name: str, until: float) -> int:
    """Take the slots of a member away; return how many moved."""
    member = table.member_by_name.pop(name, None)
    if member is None:
        return 0
    owned = [slot for slot, owner in enumerate(table.owners) if owner is member]
    seeds = {
        other.name: _member_seed(other)
        for other in table.member_by_name.values()
    }
    for slot in owned:
        _reassign_slot(table, slot, seeds, until)
    return len(owned)


def replace_member(table: SlotTable, member: Member) -> None:
    """Put a newer record of a member in the place of its older one."""
    known = table.member_by_name[member.name]
    table.member_by_name[member.name] = member
    for slot, owner in enumerate(table.owners):
        if owner is known:
            table.owners[slot] = member


def _reassign_slot(
    table: SlotTable,
    slot: int,
    seeds: dict[str, int],
    until: float,
) -> None:
    best_score = 0
    best_name = ''
    for name, seed in seeds.items():
        score = _score(slot, seed)
        if score > best_score:
            best_score = score
            best_name = name
    _move_slot(table, slot, table.member_by_name.get(best_name), until)
    table.scores[slot] = best_score


def _move_slot(
    table: SlotTable,
    slot: int,
    owner: Member | None,
    until: float,
) -> None:
    previous = table.owners[slot]
    if previous is not None:
        table.predecessor_by_slot[slot] = Predecessor(previous, until)
    table.owners[slot] = owner


def _member_seed(member: Member) -> int:
    return hash_text(member.name)


def _score(slot: int, seed: int) -> int:
    return _hash_slot(slot.to_bytes(4), seed)
