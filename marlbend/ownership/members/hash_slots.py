"""Assign the hash slots of a failure domain to its instances.

A failure domain has a fixed number of hash slots.  By rendezvous hashing, a
hash slot is owned by the instance with the highest score, which is the hash of
instance and hash slot.  The instance with the second highest score is the
successor, which owns the hash slot once the owner is gone.

The scores are stored.  A join costs one hash for each hash slot.  A departure
costs one hash for each remaining member and each hash slot that the departed
member owned or was the successor of.  No other hash slot changes its owner.

The previous owners of a hash slot are kept for a while, latest first, because
they may hold flows that are not in the table of the new owner.
"""

from array import array
from typing import Final, final

from marlbend.hashing import hash_number, hash_text
from marlbend.ownership.members.member import Member

__all__ = (
    'HashSlotTable',
    'PreviousOwner',
    'add_member',
    'remove_member',
    'replace_member',
)

# If a hash slot changes its owner more often in a short time, the oldest of its
# previous owners are dropped.
MAX_PREVIOUS_OWNERS: Final = 4

_SCORE_BYTES: Final = 8


@final
class PreviousOwner:
    """Name a previous owner of a hash slot.

    Flows are looked up there until `lookup_until` (monotonic time in seconds).
    """

    __slots__ = ('lookup_until', 'name')

    def __init__(self, name: str, lookup_until: float) -> None:
        """Set the name and the end of lookups."""
        self.name = name
        self.lookup_until = lookup_until


@final
class HashSlotTable:
    """Hold the owner and successor of each hash slot of a failure domain."""

    __slots__ = (
        'member_by_name',
        'owner_scores',
        'owners',
        'previous_owners_by_hash_slot',
        'successor_scores',
        'successors',
    )

    def __init__(self, size: int) -> None:
        """Start without members; `size` is the number of hash slots."""
        self.owners: list[Member | None] = [None for _ in range(size)]
        self.successors: list[Member | None] = [None for _ in range(size)]
        self.owner_scores = array('Q', bytes(size * _SCORE_BYTES))
        self.successor_scores = array('Q', bytes(size * _SCORE_BYTES))
        self.member_by_name: dict[str, Member] = {}
        self.previous_owners_by_hash_slot: dict[
            int, tuple[PreviousOwner, ...]
        ] = {}


def add_member(
    table: HashSlotTable, member: Member, lookup_until: float
) -> None:
    """Add a member and assign it the hash slots it scores highest for.

    Flows are looked up at the previous owners until `lookup_until` (monotonic
    time in seconds).
    """
    table.member_by_name[member.name] = member
    seed = hash_text(member.name)
    for hash_slot, owner in enumerate(table.owners):
        score = hash_number(hash_slot, seed)
        if score > table.owner_scores[hash_slot]:
            _set_successor(
                table, hash_slot, owner, table.owner_scores[hash_slot]
            )
            _set_owner(table, hash_slot, member, score, lookup_until)
        elif score > table.successor_scores[hash_slot]:
            _set_successor(table, hash_slot, member, score)


def remove_member(table: HashSlotTable, name: str, lookup_until: float) -> None:
    """Remove a member; its hash slots go to their successors.

    Flows are looked up at the member until `lookup_until` (monotonic time in
    seconds).
    """
    member = table.member_by_name.pop(name, None)
    if member is None:
        return
    seeds = {other: hash_text(other) for other in table.member_by_name}
    for hash_slot, owner in enumerate(table.owners):
        if owner is member:
            successor = table.successors[hash_slot]
            _set_owner(
                table,
                hash_slot,
                successor,
                table.successor_scores[hash_slot],
                lookup_until,
            )
        if owner is member or table.successors[hash_slot] is member:
            _find_successor(table, hash_slot, seeds)


def replace_member(table: HashSlotTable, member: Member) -> None:
    """Replace the record of a member; no hash slot changes its owner."""
    known = table.member_by_name[member.name]
    table.member_by_name[member.name] = member
    for hash_slot, owner in enumerate(table.owners):
        if owner is known:
            table.owners[hash_slot] = member
        elif table.successors[hash_slot] is known:
            table.successors[hash_slot] = member


def _set_owner(
    table: HashSlotTable,
    hash_slot: int,
    owner: Member | None,
    score: int,
    lookup_until: float,
) -> None:
    previous = table.owners[hash_slot]
    if previous is not None:
        new_name = '' if owner is None else owner.name
        earlier = (
            other
            for other in table.previous_owners_by_hash_slot.get(hash_slot, ())
            if other.name not in {previous.name, new_name}
        )
        previous_owners = (PreviousOwner(previous.name, lookup_until), *earlier)
        table.previous_owners_by_hash_slot[hash_slot] = previous_owners[
            :MAX_PREVIOUS_OWNERS
        ]
    table.owners[hash_slot] = owner
    table.owner_scores[hash_slot] = score


def _set_successor(
    table: HashSlotTable,
    hash_slot: int,
    successor: Member | None,
    score: int,
) -> None:
    table.successors[hash_slot] = successor
    table.successor_scores[hash_slot] = score


def _find_successor(
    table: HashSlotTable, hash_slot: int, seeds: dict[str, int]
) -> None:
    owner = table.owners[hash_slot]
    scores = {
        name: hash_number(hash_slot, seed)
        for name, seed in seeds.items()
        if owner is None or name != owner.name
    }
    best = max(scores, key=scores.__getitem__, default='')
    successor = table.member_by_name.get(best)
    _set_successor(table, hash_slot, successor, scores.get(best, 0))
