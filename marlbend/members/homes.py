"""Find the home of a flow, and who stands before and behind it.

For each flow one instance, its home, decides.  The home follows from the view
alone: the service and the digest give a failure domain, weighted by what the
service has there, and a slot of that domain gives the instance.  Its heir
would be the home if it were gone; its predecessor was the home before the
latest change.
"""

from typing import Final

from marlbend.config import Service
from marlbend.members.fleet import Fleet
from marlbend.members.member import Member, MemberState
from marlbend.members.slots import SlotTable

__all__ = ('heir_of', 'home_of', 'previous_home', 'receivers_of_moves')

SLOT_SHIFT: Final = 20
BUCKET_SHIFT: Final = 52


def home_of(fleet: Fleet, service: Service, digest: int) -> Member | None:
    """Return the home of a flow, or nothing when no instance is live."""
    slot = (service.slot_base + (digest >> SLOT_SHIFT)) % fleet.slot_count
    domain = service.domain_by_bucket[digest >> BUCKET_SHIFT]
    table = fleet.slots_by_domain.get(domain)
    owner = None if table is None else table.owners[slot]
    if owner is not None:
        return owner
    return _owner_elsewhere(fleet, service, slot, '')


def heir_of(fleet: Fleet, service: Service, digest: int) -> Member | None:
    """Return who would be the home of a flow if its home were gone."""
    slot = (service.slot_base + (digest >> SLOT_SHIFT)) % fleet.slot_count
    domain = service.domain_by_bucket[digest >> BUCKET_SHIFT]
    table = fleet.slots_by_domain.get(domain)
    heir = None if table is None else table.heirs[slot]
    if heir is not None:
        return heir
    return _owner_elsewhere(fleet, service, slot, fleet.myself.name)


def previous_home(
    fleet: Fleet,
    service: Service,
    digest: int,
    now: float,
) -> Member | None:
    """Return who may know a flow that its home does not know.

    That is the previous owner of its slot, or its home before the service
    moved to other domains, unless that one has handed everything over.
    """
    slot = (service.slot_base + (digest >> SLOT_SHIFT)) % fleet.slot_count
    bucket = digest >> BUCKET_SHIFT
    table = fleet.slots_by_domain.get(service.domain_by_bucket[bucket])
    name = '' if table is None else _predecessor_name(table, slot, now)
    if name:
        return _find_useful(fleet, name)
    if service.previous_until <= now:
        return None
    earlier = fleet.slots_by_domain.get(service.previous_by_bucket[bucket])
    owner = None if earlier is None else earlier.owners[slot]
    return None if owner is None else _find_useful(fleet, owner.name)


def receivers_of_moves(fleet: Fleet) -> set[str]:
    """Return the names of those that own slots which this instance owned."""
    names: set[str] = set()
    for table in fleet.slots_by_domain.values():
        for slot, predecessor in table.predecessor_by_slot.items():
            owner = table.owners[slot]
            if predecessor.name == fleet.myself.name and owner is not None:
                names.add(owner.name)
    return names - {fleet.myself.name}


def _predecessor_name(table: SlotTable, slot: int, now: float) -> str:
    predecessor = table.predecessor_by_slot.get(slot)
    if predecessor is None:
        return ''
    if predecessor.until > now:
        return predecessor.name
    table.predecessor_by_slot.pop(slot)
    return ''


def _find_useful(fleet: Fleet, name: str) -> Member | None:
    """Return an instance that can be asked and has not given all away."""
    member = fleet.member_by_name.get(name)
    if member is None or member.state == MemberState.GONE:
        return None
    if name == fleet.myself.name:
        return None
    if fleet.completed_by_name.get(name) == fleet.digest:
        return None
    return member


def _owner_elsewhere(
    fleet: Fleet,
    service: Service,
    slot: int,
    excluded: str,
) -> Member | None:
    """Return the owner of the slot in another domain of the service."""
    for domain in (*service.domains, *sorted(fleet.slots_by_domain)):
        table = fleet.slots_by_domain.get(domain)
        owner = None if table is None else table.owners[slot]
        if owner is not None and owner.name != excluded:
            return owner
    return None
