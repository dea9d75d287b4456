"""Keep this instance's view of the fleet and find the home of a flow.

For each flow one instance, its home, decides.  The home follows from the view
alone: the service and the digest give a failure domain, weighted by what the
service has there, and a slot of that domain gives the instance.  Views of two
instances may differ for a while; the packet path copes with that (see
`marlbend.packets.path`).
"""

from collections.abc import Iterable
from typing import Final, final

from marlbend.config import Service
from marlbend.members.member import HOME_STATES, Member, MemberState
from marlbend.members.slots import (
    SlotTable,
    add_member,
    remove_member,
    replace_member,
)

__all__ = (
    'CHASE_SECONDS',
    'Fleet',
    'apply_member',
    'apply_members',
    'home_of',
    'live_members',
    'previous_home',
)

# For this long after a slot moved its previous owner is asked first.
CHASE_SECONDS: Final = 15.0

SLOT_SHIFT: Final = 20
BUCKET_SHIFT: Final = 52


@final
class Fleet:
    """Hold every known instance and the slots of each failure domain.

    `version` counts the changes of this view; it is local to the instance.
    """

    __slots__ = (
        'member_by_name',
        'member_by_relay',
        'myself',
        'slot_count',
        'slots_by_domain',
        'version',
    )

    def __init__(self, myself: Member, slot_count: int) -> None:
        """Start with only this instance, not yet in its own view."""
        self.myself = myself
        self.slot_count = slot_count
        self.version = 0
        self.member_by_name: dict[str, Member] = {}
        self.member_by_relay: dict[tuple[str, int], Member] = {}
        self.slots_by_domain: dict[str, SlotTable] = {}


def apply_members(fleet: Fleet, members: Iterable[Member], now: float) -> bool:
    """Merge what was heard of several instances; tell if the view changed."""
    changes = [apply_member(fleet, member, now) for member in members]
    return any(changes)


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
    fleet.member_by_name[member.name] = member
    if member.name == fleet.myself.name:
        fleet.myself = member
    fleet.version += 1
    return True


def live_members(fleet: Fleet) -> list[Member]:
    """Return the instances that are home to flows, sorted by name."""
    return [
        fleet.member_by_name[name]
        for name in sorted(fleet.member_by_name)
        if fleet.member_by_name[name].state in HOME_STATES
    ]


def home_of(fleet: Fleet, service: Service, digest: int) -> Member | None:
    """Return the home of a flow, or nothing when no instance is live."""
    slot = _slot_of(fleet, service, digest)
    domain = service.domain_by_bucket[digest >> BUCKET_SHIFT]
    table = fleet.slots_by_domain.get(domain)
    owner = None if table is None else table.owners[slot]
    if owner is not None:
        return owner
    return _home_elsewhere(fleet, service, slot)


def previous_home(
    fleet: Fleet,
    service: Service,
    digest: int,
    now: float,
) -> Member | None:
    """Return who may know a flow that its home does not know."""
    slot = _slot_of(fleet, service, digest)
    bucket = digest >> BUCKET_SHIFT
    domain = service.domain_by_bucket[bucket]
    table = fleet.slots_by_domain.get(domain)
    if table is not None:
        predecessor = table.predecessor_by_slot.get(slot)
        if predecessor is not None:
            if predecessor.until > now:
                return _reachable(fleet, predecessor.member)
            table.predecessor_by_slot.pop(slot)
    if service.previous_until <= now:
        return None
    earlier = fleet.slots_by_domain.get(service.previous_by_bucket[bucket])
    return None if earlier is None else _other(fleet, earlier.owners[slot])


def _slot_of(fleet: Fleet, service: Service, digest: int) -> int:
    return (service.slot_base + (digest >> SLOT_SHIFT)) % fleet.slot_count


def _home_elsewhere(
    fleet: Fleet,
    service: Service,
    slot: int,
) -> Member | None:
    for domain in service.domains:
        table = fleet.slots_by_domain.get(domain)
        if table is not None and table.owners[slot] is not None:
            return table.owners[slot]
    for table in fleet.slots_by_domain.values():
        if table.owners[slot] is not None:
            return table.owners[slot]
    return None


def _reachable(fleet: Fleet, member: Member) -> Member | None:
    current = fleet.member_by_name[member.name]
    if current.state == MemberState.GONE:
        return None
    return _other(fleet, current)


def _other(fleet: Fleet, member: Member | None) -> Member | None:
    if member is None or member.name == fleet.myself.name:
        return None
    return member


def _replace_in_place(fleet: Fleet, known: Member, member: Member) -> bool:
    """Swap the record of an instance that stays where it is and live."""
    if _place(known) != _place(member):
        return False
    if known.state not in HOME_STATES or member.state not in HOME_STATES:
        return False
    replace_member(fleet.slots_by_domain[known.domain], member)
    fleet.member_by_relay[member.address, member.relay_port] = member
    return True


def _remember(fleet: Fleet, member: Member, now: float) -> None:
    if member.state != MemberState.GONE:
        fleet.member_by_relay[member.address, member.relay_port] = member
    if member.state in HOME_STATES:
        table = fleet.slots_by_domain.setdefault(
            member.domain,
            SlotTable(fleet.slot_count),
        )
        add_member(table, member, now + CHASE_SECONDS)


def _forget(fleet: Fleet, known: Member | None, now: float) -> None:
    if known is None:
        return
    table = fleet.slots_by_domain.get(known.domain)
    if table is not None:
        remove_member(table, known.name, now + CHASE_SECONDS)
    fleet.member_by_relay.pop((known.address, known.relay_port), None)


def _place(member: Member) -> tuple[str, str, int]:
    return member.domain, member.address, member.relay_port


def _rank(member: Member) -> tuple[int, int]:
    return member.incarnation, member.state
