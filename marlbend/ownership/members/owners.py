"""Find the owner of a flow, its successor and its previous owners.

One instance owns each flow and selects its upstream.  The owner depends on the
membership view and the configuration only: the service and the digest of the
flow select a failure domain, weighted by the connections that the upstreams of
the service can accept there, and a hash slot of that domain, which has an
owner.  The successor becomes the owner if the owner is gone.  Previous owners
owned the hash slot before the latest changes.
"""

from collections.abc import Iterator
from typing import Final

from marlbend.ownership.active import Service
from marlbend.ownership.members.hash_slots import HashSlotTable
from marlbend.ownership.members.member import Member, MemberState
from marlbend.ownership.members.view import MembershipView, ownership_digest

__all__ = (
    'can_hold_flows',
    'later_owners',
    'owner_of',
    'pending_previous_owners',
    'previous_owners_of',
    'successor_of',
)

# The bits of a digest from 20 on select its hash slot.  They exclude the lowest
# 6, which select the shard of the flow table.
HASH_SLOT_SHIFT: Final = 20
# The highest 8 bits select the bucket: `DIGEST_BITS` (60) less the 8 bits that
# number `BUCKET_COUNT` (256) buckets.
BUCKET_SHIFT: Final = 52


def owner_of(
    view: MembershipView, service: Service, digest: int
) -> Member | None:
    """Return the owner of a flow, or None if no instance owns hash slots."""
    hash_slot = (
        service.hash_slot_offset + (digest >> HASH_SLOT_SHIFT)
    ) % view.hash_slot_count
    domain = service.domain_by_bucket[digest >> BUCKET_SHIFT]
    table = view.hash_slots_by_domain.get(domain)
    owner = None if table is None else table.owners[hash_slot]
    if owner is not None:
        return owner
    return _owner_elsewhere(view, service, hash_slot, '')


def successor_of(
    view: MembershipView, service: Service, digest: int
) -> Member | None:
    """Return the instance that would own a flow if its owner were gone."""
    hash_slot = (
        service.hash_slot_offset + (digest >> HASH_SLOT_SHIFT)
    ) % view.hash_slot_count
    domain = service.domain_by_bucket[digest >> BUCKET_SHIFT]
    table = view.hash_slots_by_domain.get(domain)
    successor = None if table is None else table.successors[hash_slot]
    if successor is not None:
        return successor
    return _owner_elsewhere(view, service, hash_slot, view.myself.name)


def previous_owners_of(
    view: MembershipView,
    service: Service,
    digest: int,
    now: float,
) -> Iterator[Member]:
    """Yield the instances that may hold an unknown flow, latest first.

    Those are the previous owners of its hash slot, and the owners, current and
    previous, of the same hash slot in the failure domain to which the service
    assigned the flow before.
    """
    hash_slot = (
        service.hash_slot_offset + (digest >> HASH_SLOT_SHIFT)
    ) % view.hash_slot_count
    bucket = digest >> BUCKET_SHIFT
    table = view.hash_slots_by_domain.get(service.domain_by_bucket[bucket])
    names = [] if table is None else _previous_names(table, hash_slot, now)
    if table is None or table.owners[hash_slot] is None:
        names.extend(_previous_names_elsewhere(view, service, hash_slot, now))
    if service.previous_domain_until > now:
        previous_table = view.hash_slots_by_domain.get(
            service.previous_domain_by_bucket[bucket]
        )
        if previous_table is not None:
            names.extend(_owner_names(previous_table, hash_slot))
            names.extend(_previous_names(previous_table, hash_slot, now))
    if view.myself.name in names:
        # Later owners look flows up at this instance, which looks them up only
        # at earlier ones.
        names = names[names.index(view.myself.name) + 1 :]
    # A name can occur twice, but one lookup for each instance is enough.
    for name in dict.fromkeys(names):
        member = view.member_by_name.get(name)
        if member is not None:
            yield member


def later_owners(view: MembershipView, now: float) -> set[str]:
    """Return the names of later owners of hash slots of this instance.

    Each of them may look flows up at this instance, until this instance
    announces that its handover is complete.
    """
    names: set[str] = set()
    myself = view.myself.name
    for table in view.hash_slots_by_domain.values():
        for hash_slot in table.previous_owners_by_hash_slot:
            previous_names = _previous_names(table, hash_slot, now)
            if myself in previous_names:
                names.update(previous_names[: previous_names.index(myself)])
                names.update(_owner_names(table, hash_slot))
    return names - {myself}


def pending_previous_owners(view: MembershipView, now: float) -> set[str]:
    """Return the names of previous owners that may still hold flows.

    They owned a hash slot before this instance, which does not own it any more
    either, and have not reported yet that they handed over all their flows.
    """
    myself = view.myself.name
    names: set[str] = set()
    for table in view.hash_slots_by_domain.values():
        for hash_slot in table.previous_owners_by_hash_slot:
            previous_names = _previous_names(table, hash_slot, now)
            if myself in previous_names:
                names.update(previous_names[previous_names.index(myself) + 1 :])
    current = ownership_digest(view)
    return {
        name
        for name in names
        if can_hold_flows(view, name)
        and view.handed_over_digest_by_name.get(name) != current
    }


def can_hold_flows(view: MembershipView, name: str) -> bool:
    """Return whether an instance is reachable and may still hold flows."""
    member = view.member_by_name.get(name)
    if member is None or member.state == MemberState.GONE:
        return False
    if name == view.myself.name:
        return False
    return view.completed_digest_by_name.get(name) != ownership_digest(view)


def _owner_names(table: HashSlotTable, hash_slot: int) -> tuple[str, ...]:
    owner = table.owners[hash_slot]
    return () if owner is None else (owner.name,)


def _previous_names(
    table: HashSlotTable, hash_slot: int, now: float
) -> list[str]:
    """Return the previous owners of a hash slot that still get lookups."""
    return [
        previous.name
        for previous in table.previous_owners_by_hash_slot.get(hash_slot, ())
        if previous.lookup_until > now
    ]


def _previous_names_elsewhere(
    view: MembershipView,
    service: Service,
    hash_slot: int,
    now: float,
) -> list[str]:
    """Return the previous owners of a hash slot in the fallback domain.

    This is for a flow in whose own failure domain no instance owns hash slots.
    """
    owner = _owner_elsewhere(view, service, hash_slot, '')
    if owner is None:
        return []
    return _previous_names(
        view.hash_slots_by_domain[owner.domain], hash_slot, now
    )


def _owner_elsewhere(
    view: MembershipView,
    service: Service,
    hash_slot: int,
    excluded: str,
) -> Member | None:
    """Return the owner of the hash slot in the first domain that has one.

    Failure domains of the service come first, then all others.
    """
    for domain in (*service.domains, *sorted(view.hash_slots_by_domain)):
        table = view.hash_slots_by_domain.get(domain)
        owner = None if table is None else table.owners[hash_slot]
        if owner is not None and owner.name != excluded:
            return owner
    return None
