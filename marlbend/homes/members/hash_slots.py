"""Share the flows of a failure domain over its instances.

A domain has a fixed number of slots.  Each slot belongs to the instance with
the highest hash of instance and slot (rendezvous hashing), its owner; the
second highest is its heir, which would own the slot without the owner.  The
scores are kept, so a join costs one hash for each slot, and a departure costs
one hash for each slot it owned or was heir to and each member that remains: no
other slot moves.  A slot that moved remembers its previous owners for a while,
latest first, since they may know flows which the new owner does not.
"""

from array import array
from typing import Final, final

from marlbend.hashing import hash_number, hash_text
from marlbend.homes.members.member import Member

__all__ = (
    'HashSlotTable',
    'Predecessor',
    'add_member',
    'remove_member',
    'replace_member',
)

# More moves of a slot than this, in a short time, are not followed.
CHAIN_LENGTH: Final = 4

_SCORE_BYTES: Final = 8


@final
class Predecessor:
    """Name the previous owner of a slot until a time (monotonic seconds)."""

    __slots__ = ('name', 'until')

    def __init__(self, name: str, until: float) -> None:
        """Keep both."""
        self.name = name
        self.until = until


@final
class HashSlotTable:
    """Know the owner and the heir of every slot of one failure domain."""

    __slots__ = (
        'heir_scores',
        'member_by_name',
        'owner_scores',
        'owners',
        'predecessors_by_slot',
        'successors',
    )

    def __init__(self, size: int) -> None:
        """Start without members; `size` is the number of slots."""
        self.owners: list[Member | None] = [None for _ in range(size)]
        self.successors: list[Member | None] = [None for _ in range(size)]
        self.owner_scores = array('Q', bytes(size * _SCORE_BYTES))
        self.heir_scores = array('Q', bytes(size * _SCORE_BYTES))
        self.member_by_name: dict[str, Member] = {}
        self.predecessors_by_slot: dict[int, tuple[Predecessor, ...]] = {}


def add_member(table: HashSlotTable, member: Member, until: float) -> None:
    """Give a member its slots."""
    table.member_by_name[member.name] = member
    seed = hash_text(member.name)
    for slot, owner in enumerate(table.owners):
        score = hash_number(slot, seed)
        if score > table.owner_scores[slot]:
            _set_heir(table, slot, owner, table.owner_scores[slot])
            _set_owner(table, slot, member, score, until)
        elif score > table.heir_scores[slot]:
            _set_heir(table, slot, member, score)


def remove_member(table: HashSlotTable, name: str, until: float) -> None:
    """Give the slots of a member to their heirs, and find new heirs."""
    member = table.member_by_name.pop(name, None)
    if member is None:
        return
    seeds = {other: hash_text(other) for other in table.member_by_name}
    for slot, owner in enumerate(table.owners):
        if owner is member:
            heir = table.successors[slot]
            _set_owner(table, slot, heir, table.heir_scores[slot], until)
        if owner is member or table.successors[slot] is member:
            _find_heir(table, slot, seeds)


def replace_member(table: HashSlotTable, member: Member) -> None:
    """Put a newer record of a member in the place of its older one."""
    known = table.member_by_name[member.name]
    table.member_by_name[member.name] = member
    for slot, owner in enumerate(table.owners):
        if owner is known:
            table.owners[slot] = member
        elif table.successors[slot] is known:
            table.successors[slot] = member


def _set_owner(
    table: HashSlotTable,
    slot: int,
    owner: Member | None,
    score: int,
    until: float,
) -> None:
    previous = table.owners[slot]
    if previous is not None:
        new_name = '' if owner is None else owner.name
        earlier = (
            predecessor
            for predecessor in table.predecessors_by_slot.get(slot, ())
            if predecessor.name not in {previous.name, new_name}
        )
        chain = (Predecessor(previous.name, until), *earlier)
        table.predecessors_by_slot[slot] = chain[:CHAIN_LENGTH]
    table.owners[slot] = owner
    table.owner_scores[slot] = score


def _set_heir(
    table: HashSlotTable,
    slot: int,
    heir: Member | None,
    score: int,
) -> None:
    table.successors[slot] = heir
    table.heir_scores[slot] = score


def _find_heir(table: HashSlotTable, slot: int, seeds: dict[str, int]) -> None:
    owner = table.owners[slot]
    scores = {
        name: hash_number(slot, seed)
        for name, seed in seeds.items()
        if owner is None or name != owner.name
    }
    best = max(scores, key=scores.__getitem__, default='')
    heir = table.member_by_name.get(best)
    _set_heir(table, slot, heir, scores.get(best, 0))
