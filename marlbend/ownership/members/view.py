"""Maintain the membership view of this instance.

The view holds the record of every known instance.  Records are merged by
incarnation and state, which is independent of their order: instances that have
received the same records have the same view, and their digests are equal.
"""

from collections.abc import Iterable
from typing import Final, final

from marlbend.hashing import hash_text
from marlbend.ownership.active import PREVIOUS_OWNER_LOOKUP_SECONDS
from marlbend.ownership.members.hash_slots import (
    HashSlotTable,
    add_member,
    remove_member,
    replace_member,
)
from marlbend.ownership.members.member import (
    DEPARTED_STATES,
    OWNER_STATES,
    Member,
    MemberState,
)

__all__ = (
    'MembershipView',
    'merge_listed_members',
    'merge_member',
    'owner_members',
    'ownership_digest',
    'remove_departed_members',
)

# Gossip about a departed instance has ended by then.
TOMBSTONE_SECONDS: Final = 300.0


@final
class MembershipView:
    """Hold every known instance and the hash slots of each failure domain.

    `version` counts the changes of this view; it is local to the instance.
    `membership_digest` is equal for equal sets of instances that own hash
    slots.  Together with the configuration version it gives the ownership
    digest (`ownership_digest`).

    The progress of handovers is recorded as ownership digests.
    `handed_over_digest_by_name` has the latest digest for which each peer has
    handed over its own flows, and `handed_over_digest` that of this instance.
    `completed_digest_by_name` has the latest digest for which a peer has
    nothing left to hand over to this instance, neither its own flows nor those
    of its previous owners.

    `departed_at` has the monotonic time at which an instance was merged as
    leaving, or as gone if that came later.
    """

    __slots__ = (
        'completed_digest_by_name',
        'config_version',
        'departed_at',
        'handed_over_digest',
        'handed_over_digest_by_name',
        'hash_slot_count',
        'hash_slots_by_domain',
        'listed_names',
        'member_by_control',
        'member_by_name',
        'member_by_relay',
        'membership_digest',
        'myself',
        'version',
    )

    def __init__(self, myself: Member, hash_slot_count: int) -> None:
        """Start with this instance only, which is not in its own view yet."""
        self.myself = myself
        self.hash_slot_count = hash_slot_count
        self.version = 0
        self.membership_digest = 0
        self.config_version = 0
        self.listed_names: frozenset[str] = frozenset()
        self.member_by_name: dict[str, Member] = {}
        self.member_by_relay: dict[tuple[str, int], Member] = {}
        self.member_by_control: dict[tuple[str, int], Member] = {}
        self.hash_slots_by_domain: dict[str, HashSlotTable] = {}
        self.completed_digest_by_name: dict[str, int] = {}
        self.departed_at: dict[str, float] = {}
        self.handed_over_digest = 0
        self.handed_over_digest_by_name: dict[str, int] = {}


def merge_member(view: MembershipView, member: Member, now: float) -> bool:
    """Merge the record of an instance; return whether the view changed.

    The higher incarnation wins, and the later state within an incarnation.
    `now` is monotonic time in seconds.
    """
    known = view.member_by_name.get(member.name)
    if known is not None and _precedence(member) <= _precedence(known):
        return False
    if known is None or not _replace_in_place(view, known, member):
        _unindex(view, known, now)
        _index(view, member, now)
    view.membership_digest ^= _member_digest(known) ^ _member_digest(member)
    view.member_by_name[member.name] = member
    view.member_by_control[member.address, member.control_port] = member
    if member.name == view.myself.name:
        view.myself = member
    view.version += 1
    if member.state in DEPARTED_STATES:
        view.departed_at[member.name] = now
    else:
        view.departed_at.pop(member.name, None)
    return True


def merge_listed_members(
    view: MembershipView, listed: Iterable[Member], now: float
) -> None:
    """Merge the platform's list of instances.

    The list only seeds addresses: whether an instance is alive is decided by
    the failure detector.
    """
    members = list(listed)
    view.listed_names = frozenset(member.name for member in members)
    for member in members:
        if member.name != view.myself.name:
            merge_member(view, member, now)


def remove_departed_members(view: MembershipView, now: float) -> int:
    """Drop records of instances that departed long ago; return how many.

    A record stays as a tombstone until then, because older gossip about the
    instance may still arrive.
    """
    expired = [
        name
        for name, departed in view.departed_at.items()
        if now - departed > TOMBSTONE_SECONDS and name not in view.listed_names
    ]
    for name in expired:
        view.departed_at.pop(name)
        member = view.member_by_name.pop(name)
        view.member_by_control.pop((member.address, member.control_port), None)
        view.completed_digest_by_name.pop(name, None)
        view.handed_over_digest_by_name.pop(name, None)
    return len(expired)


def ownership_digest(view: MembershipView) -> int:
    """Return a digest that is equal where every flow has the same owner."""
    return view.membership_digest ^ hash_text(str(view.config_version))


def owner_members(view: MembershipView) -> list[Member]:
    """Return the instances that own hash slots, sorted by name."""
    return [
        view.member_by_name[name]
        for name in sorted(view.member_by_name)
        if view.member_by_name[name].state in OWNER_STATES
    ]


def _replace_in_place(
    view: MembershipView, known: Member, member: Member
) -> bool:
    """Replace the record of an owner whose locality has not changed.

    Return whether that was possible.
    """
    if _locality(known) != _locality(member):
        return False
    if known.state not in OWNER_STATES or member.state not in OWNER_STATES:
        return False
    replace_member(view.hash_slots_by_domain[known.domain], member)
    view.member_by_relay[member.address, member.relay_port] = member
    return True


def _index(view: MembershipView, member: Member, now: float) -> None:
    if member.state != MemberState.GONE:
        view.member_by_relay[member.address, member.relay_port] = member
    if member.state in OWNER_STATES:
        table = view.hash_slots_by_domain.setdefault(
            member.domain,
            HashSlotTable(view.hash_slot_count),
        )
        add_member(table, member, now + PREVIOUS_OWNER_LOOKUP_SECONDS)


def _unindex(view: MembershipView, known: Member | None, now: float) -> None:
    if known is None:
        return
    table = view.hash_slots_by_domain.get(known.domain)
    if table is not None:
        remove_member(table, known.name, now + PREVIOUS_OWNER_LOOKUP_SECONDS)
    view.member_by_relay.pop((known.address, known.relay_port), None)


def _member_digest(member: Member | None) -> int:
    if member is None or member.state not in OWNER_STATES:
        return 0
    return hash_text(f'{member.domain}/{member.name}/{member.incarnation}')


def _locality(member: Member) -> tuple[str, str, int]:
    return member.domain, member.address, member.relay_port


def _precedence(member: Member) -> tuple[int, int]:
    return member.incarnation, member.state
