"""Enter a changed view at once, before the next packet is looked at.

When a home is gone its heir has to have the copies in its table before it
decides on any packet of the flows it inherits.
"""

from marlbend.events import Event, emit
from marlbend.homes.daemon.state import Instance
from marlbend.homes.flows.replicas import promote_replicas
from marlbend.homes.members import Fleet, MemberState, live_members
from marlbend.homes.upstreams.load import drop_reports

__all__ = ('enter_view',)


def enter_view(instance: Instance) -> None:
    """Follow a change of the view, if there was one."""
    path = instance.path
    if instance.entered_view == path.fleet.version:
        return
    instance.entered_view = path.fleet.version
    adopted = promote_replicas(
        instance.replicas,
        path.table,
        lambda name, started: _is_present(path.fleet, name, started),
        path.tick,
    )
    if adopted:
        emit(Event.REPLICAS_PROMOTED, flows=len(adopted))
    names = [member.name for member in live_members(path.fleet)]
    path.owner_count = max(1, len(names))
    drop_reports(path.loads, frozenset(names))
    emit(
        Event.VIEW_CHANGED,
        version=path.fleet.version,
        members=' '.join(names),
    )


def _is_present(fleet: Fleet, name: str, incarnation: int) -> bool:
    member = fleet.member_by_name.get(name)
    if member is None or member.state == MemberState.GONE:
        return False
    return member.incarnation == incarnation
