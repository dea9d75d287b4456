"""Apply a change of the membership view before the next packet is handled.

When an owner is gone, its successor must have the replicated flows in its flow
table before it handles any packet of the flows that it owns now.
"""

from marlbend.events import Event, emit
from marlbend.ownership.daemon.state import Instance
from marlbend.ownership.flows.replicas import promote_replicas
from marlbend.ownership.members import (
    MembershipView,
    MemberState,
    owner_members,
)
from marlbend.ownership.upstreams.load import drop_reports

__all__ = ('apply_view_change',)


def apply_view_change(instance: Instance) -> None:
    """Update flows and load reports if the membership view has changed."""
    path = instance.path
    if instance.applied_view_version == path.view.version:
        return
    instance.applied_view_version = path.view.version
    promoted = promote_replicas(
        instance.replicas,
        path.table,
        lambda name, incarnation: _is_present(path.view, name, incarnation),
        path.tick,
    )
    if promoted:
        emit(Event.REPLICAS_PROMOTED, flows=len(promoted))
    names = [member.name for member in owner_members(path.view)]
    path.owner_count = max(1, len(names))
    drop_reports(path.loads, frozenset(names))
    emit(
        Event.VIEW_CHANGED,
        version=path.view.version,
        members=' '.join(names),
    )


def _is_present(view: MembershipView, name: str, incarnation: int) -> bool:
    member = view.member_by_name.get(name)
    if member is None or member.state == MemberState.GONE:
        return False
    return member.incarnation == incarnation
