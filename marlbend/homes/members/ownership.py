"""Find the home of a flow, and who stands before and behind it.

For each flow one instance, its home, decides.  The home follows from the view
alone: the service and the digest give a failure domain, weighted by what the
service has there, and a slot of that domain gives the instance.  Its heir
would be the home if it were gone; its predecessor was the home before the
latest change.
"""

from collections.abc import Iterator
from typing import Final

from marlbend.homes.active import Service
from marlbend.homes.members.fleet import Fleet, ownership_digest
from marlbend.homes.members.hash_slots import HashSlotTable
from marlbend.homes.members.member import Member, MemberState

__all__ = (
    'can_hold_flows',
    'later_owners',
    'owner_of',
    'pending_previous_owners',
    'previous_owners_of',
    'successor_of',
)

SLOT_SHIFT: Final = 20
BUCKET_SHIFT: Final = 52


def owner_of(fleet: Fleet, service: Service, digest: int) -> Member | None:
    """Return the home of a flow, or nothing when no instance is live."""
    slot = (service.slot_base + (digest >> SLOT_SHIFT)) % fleet.hash_slot_count
    domain = service.domain_by_bucket[digest >> BUCKET_SHIFT]
    table = fleet.hash_slots_by_domain.get(domain)
    owner = None if table is None else table.owners[slot]
    if owner is not None:
        return owner
    return _owner_elsewhere(fleet, service, slot, '')


def successor_of(fleet: Fleet, service: Service, digest: int) -> Member | None:
    """Return who would be the home of a flow if its home were gone."""
    slot = (service.slot_base + (digest >> SLOT_SHIFT)) % fleet.hash_slot_count
    domain = service.domain_by_bucket[digest >> BUCKET_SHIFT]
    table = fleet.hash_slots_by_domain.get(domain)
    heir = None if table is None else table.successors[slot]
    if heir is not None:
        return heir
    return _owner_elsewhere(fleet, service, slot, fleet.myself.name)


def previous_owners_of(
    fleet: Fleet,
    service: Service,
    digest: int,
    now: float,
) -> Iterator[Member]:
    """Yield who may know a flow that is not known here, latest first.

    Those are the earlier owners of its slot, and the owners of the slot in the
    domain where the service was before.
    """
    slot = (service.slot_base + (digest >> SLOT_SHIFT)) % fleet.hash_slot_count
    bucket = digest >> BUCKET_SHIFT
    table = fleet.hash_slots_by_domain.get(service.domain_by_bucket[bucket])
    names = [] if table is None else _recent_names(table, slot, now)
    if table is None or table.owners[slot] is None:
        names.extend(_names_elsewhere(fleet, service, slot, now))
    if service.previous_until > now:
        earlier = fleet.hash_slots_by_domain.get(
            service.previous_by_bucket[bucket]
        )
        if earlier is not None:
            names.extend(_owner_names(earlier, slot))
            names.extend(_recent_names(earlier, slot, now))
    if fleet.myself.name in names:
        # Whoever came later asks here; only those before are left to ask.
        names = names[names.index(fleet.myself.name) + 1 :]
    # A name may stand twice; the packet is not sent to it twice.
    for name in dict.fromkeys(names):
        member = fleet.member_by_name.get(name)
        if member is not None:
            yield member


def later_owners(fleet: Fleet, now: float) -> set[str]:
    """Return the names of those that came after this instance in a slot.

    Each of them may ask here, and waits to hear that it need not.
    """
    names: set[str] = set()
    myself = fleet.myself.name
    for table in fleet.hash_slots_by_domain.values():
        for slot in table.predecessors_by_slot:
            earlier = _recent_names(table, slot, now)
            if myself in earlier:
                names.update(earlier[: earlier.index(myself)])
                names.update(_owner_names(table, slot))
    return names - {myself}


def pending_previous_owners(fleet: Fleet, now: float) -> set[str]:
    """Return who may still have flows of slots that went through here.

    Those are the owners before this instance of what is not its own any more,
    unless they have said that they gave everything away.
    """
    myself = fleet.myself.name
    names: set[str] = set()
    for table in fleet.hash_slots_by_domain.values():
        for slot in table.predecessors_by_slot:
            earlier = _recent_names(table, slot, now)
            if myself in earlier:
                names.update(earlier[earlier.index(myself) + 1 :])
    mark = ownership_digest(fleet)
    return {
        name
        for name in names
        if can_hold_flows(fleet, name)
        and fleet.handed_over_by_name.get(name) != mark
    }


def can_hold_flows(fleet: Fleet, name: str) -> bool:
    """Tell whether an instance can be asked and has not given all away."""
    member = fleet.member_by_name.get(name)
    if member is None or member.state == MemberState.GONE:
        return False
    if name == fleet.myself.name:
        return False
    return fleet.completed_by_name.get(name) != ownership_digest(fleet)


def _owner_names(table: HashSlotTable, slot: int) -> tuple[str, ...]:
    owner = table.owners[slot]
    return () if owner is None else (owner.name,)


def _recent_names(table: HashSlotTable, slot: int, now: float) -> list[str]:
    """Return the earlier owners of a slot that may still be asked."""
    return [
        predecessor.name
        for predecessor in table.predecessors_by_slot.get(slot, ())
        if predecessor.until > now
    ]


def _names_elsewhere(
    fleet: Fleet,
    service: Service,
    slot: int,
    now: float,
) -> list[str]:
    """Return earlier owners of a slot whose own domain has no instance."""
    owner = _owner_elsewhere(fleet, service, slot, '')
    if owner is None:
        return []
    return _recent_names(fleet.hash_slots_by_domain[owner.domain], slot, now)


def _owner_elsewhere(
    fleet: Fleet,
    service: Service,
    slot: int,
    excluded: str,
) -> Member | None:
    """Return the owner of the slot in another domain of the service."""
    for domain in (*service.domains, *sorted(fleet.hash_slots_by_domain)):
        table = fleet.hash_slots_by_domain.get(domain)
        owner = None if table is None else table.owners[slot]
        if owner is not None and owner.name != excluded:
            return owner
    return None
