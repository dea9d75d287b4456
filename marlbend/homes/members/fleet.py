"""Keep this instance's view of the fleet.

A view is what an instance knows of all others.  Records are merged by
incarnation and state, so the order in which they arrive does not matter, and
two instances that have heard the same records have the same view: their
digests are equal.
"""

from collections.abc import Iterable
from typing import Final, final

from marlbend.hashing import hash_text
from marlbend.homes.active import CHASE_SECONDS
from marlbend.homes.members.hash_slots import (
    HashSlotTable,
    add_member,
    remove_member,
    replace_member,
)
from marlbend.homes.members.member import (
    DEPARTED_STATES,
    HOME_STATES,
    Member,
    MemberState,
)

__all__ = (
    'Fleet',
    'apply_member',
    'live_members',
    'merge_listed_members',
    'ownership_digest',
    'remove_departed_members',
)

# News of an instance has long died out after this time.
TOMBSTONE_SECONDS: Final = 300.0


@final
class Fleet:
    """Hold every known instance and the slots of each failure domain.

    `version` counts the changes of this view; it is local to the instance.
    `digest` is equal for equal sets of homes.  `completed_by_name` holds the
    mark of the view for which an instance has handed everything over that it,
    or any owner before it, had; `handed_over_by_name` the mark for which it has
    given what it had itself, and `handed_over_digest` is that of this instance.
    `departed_at` is the monotonic time at which one was heard to have departed.
    """

    __slots__ = (
        'completed_by_name',
        'config_version',
        'departed_at',
        'digest',
        'handed_over_by_name',
        'handed_over_digest',
        'hash_slot_count',
        'hash_slots_by_domain',
        'listed',
        'member_by_control',
        'member_by_name',
        'member_by_relay',
        'myself',
        'version',
    )

    def __init__(self, myself: Member, slot_count: int) -> None:
        """Start with only this instance, not yet in its own view."""
        self.myself = myself
        self.hash_slot_count = slot_count
        self.version = 0
        self.digest = 0
        self.config_version = 0
        self.listed: frozenset[str] = frozenset()
        self.member_by_name: dict[str, Member] = {}
        self.member_by_relay: dict[tuple[str, int], Member] = {}
        self.member_by_control: dict[tuple[str, int], Member] = {}
        self.hash_slots_by_domain: dict[str, HashSlotTable] = {}
        self.completed_by_name: dict[str, int] = {}
        self.departed_at: dict[str, float] = {}
        self.handed_over_digest = 0
        self.handed_over_by_name: dict[str, int] = {}


def apply_member(fleet: Fleet, member: Member, now: float) -> bool:
    """Merge what was heard of one instance; tell if the view changed.

    The larger incarnation wins; within one incarnation the later state wins.
    `now` is monotonic time in seconds.
    """
    known = fleet.member_by_name.get(member.name)
    if known is not None and _rank(member) <= _rank(known):
        return False
    if known is None or not _replace_in_place(fleet, known, member):
        _forget(fleet, known, now)
        _remember(fleet, member, now)
    fleet.digest ^= _home_digest(known) ^ _home_digest(member)
    fleet.member_by_name[member.name] = member
    fleet.member_by_control[member.address, member.control_port] = member
    if member.name == fleet.myself.name:
        fleet.myself = member
    fleet.version += 1
    if member.state in DEPARTED_STATES:
        fleet.departed_at[member.name] = now
    else:
        fleet.departed_at.pop(member.name, None)
    return True


def merge_listed_members(
    fleet: Fleet, listed: Iterable[Member], now: float
) -> None:
    """Take the platform's list: a seed of addresses, never a verdict."""
    members = list(listed)
    fleet.listed = frozenset(member.name for member in members)
    for member in members:
        if member.name != fleet.myself.name:
            apply_member(fleet, member, now)


def remove_departed_members(fleet: Fleet, now: float) -> int:
    """Drop records of instances that departed long ago; return how many.

    Until then they stay, since older news of them may still travel.
    """
    dropped = [
        name
        for name, departed in fleet.departed_at.items()
        if now - departed > TOMBSTONE_SECONDS and name not in fleet.listed
    ]
    for name in dropped:
        fleet.departed_at.pop(name)
        member = fleet.member_by_name.pop(name)
        fleet.member_by_control.pop((member.address, member.control_port), None)
        fleet.completed_by_name.pop(name, None)
        fleet.handed_over_by_name.pop(name, None)
    return len(dropped)


def ownership_digest(fleet: Fleet) -> int:
    """Return a number that is equal where every flow has the same home."""
    return fleet.digest ^ hash_text(str(fleet.config_version))


def live_members(fleet: Fleet) -> list[Member]:
    """Return the instances that are home to flows, sorted by name."""
    return [
        fleet.member_by_name[name]
        for name in sorted(fleet.member_by_name)
        if fleet.member_by_name[name].state in HOME_STATES
    ]


def _replace_in_place(fleet: Fleet, known: Member, member: Member) -> bool:
    """Swap the record of an instance that stays where it is and live."""
    if _place(known) != _place(member):
        return False
    if known.state not in HOME_STATES or member.state not in HOME_STATES:
        return False
    replace_member(fleet.hash_slots_by_domain[known.domain], member)
    fleet.member_by_relay[member.address, member.relay_port] = member
    return True


def _remember(fleet: Fleet, member: Member, now: float) -> None:
    if member.state != MemberState.GONE:
        fleet.member_by_relay[member.address, member.relay_port] = member
    if member.state in HOME_STATES:
        table = fleet.hash_slots_by_domain.setdefault(
            member.domain,
            HashSlotTable(fleet.hash_slot_count),
        )
        add_member(table, member, now + CHASE_SECONDS)


def _forget(fleet: Fleet, known: Member | None, now: float) -> None:
    if known is None:
        return
    table = fleet.hash_slots_by_domain.get(known.domain)
    if table is not None:
        remove_member(table, known.name, now + CHASE_SECONDS)
    fleet.member_by_relay.pop((known.address, known.relay_port), None)


def _home_digest(member: Member | None) -> int:
    if member is None or member.state not in HOME_STATES:
        return 0
    return hash_text(f'{member.domain}/{member.name}/{member.incarnation}')


def _place(member: Member) -> tuple[str, str, int]:
    return member.domain, member.address, member.relay_port


def _rank(member: Member) -> tuple[int, int]:
    return member.incarnation, member.state
