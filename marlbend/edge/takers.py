"""Bring what the platform holds into the steering state."""

import time

from marlbend.edge.follow import Takers
from marlbend.events import Event, emit
from marlbend.platform.objects import (
    CONFIG_NAME,
    StoredObject,
    read_publication,
    read_upstream,
)
from marlbend.steering.documents import UpstreamEntry
from marlbend.steering.routes import publish_routes
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import (
    end_upstream,
    miss_upstream,
    names_except,
    register_upstream,
)

__all__ = ('make_config_takers', 'make_domain_takers', 'make_upstream_takers')


def make_config_takers(steering: Steering) -> Takers:
    """Return the takers of the operator's configuration."""

    def replace(found: list[StoredObject]) -> None:
        for stored in found:
            change(stored, deleted=False)

    def change(stored: StoredObject, deleted: bool) -> None:
        if deleted or stored.meta.name != CONFIG_NAME:
            return
        publication = read_publication(stored)
        if publication is None:
            emit(Event.CONFIG_REFUSED, error=f'revision {stored.meta.rev}')
        elif publish_routes(steering.routes, publication, time.monotonic()):
            emit(Event.CONFIG_IN_FORCE, version=publication.version)

    return Takers(replace, change)


def make_upstream_takers(steering: Steering) -> Takers:
    """Return the takers of the upstreams' registrations."""
    pool = steering.pool

    def replace(found: list[StoredObject]) -> None:
        for stored in found:
            change(stored, deleted=False)
        present = (stored.meta.name for stored in found)
        for name in names_except(pool, present):
            _lose(steering, name)
        steering.upstreams_known = True

    def change(stored: StoredObject, deleted: bool) -> None:
        entry = None if deleted else read_upstream(stored)
        if entry is None:
            _lose(steering, stored.meta.name)
        elif register_upstream(pool, entry, time.monotonic()):
            _tell_registered(entry)

    return Takers(replace, change)


def make_domain_takers(steering: Steering) -> Takers:
    """Return the takers of the failure domains taken out of service."""

    def replace(found: list[StoredObject]) -> None:
        out = {each.meta.name for each in found if not each.meta.deleting}
        for name in out.symmetric_difference(steering.domains_out):
            _move_domain(steering, name, out=name in out)

    def change(stored: StoredObject, deleted: bool) -> None:
        out = not deleted and not stored.meta.deleting
        _move_domain(steering, stored.meta.name, out=out)

    return Takers(replace, change)


def _move_domain(steering: Steering, name: str, *, out: bool) -> None:
    if out:
        steering.domains_out.add(name)
    else:
        steering.domains_out.discard(name)
    emit(Event.DOMAIN_MOVED, domain=name, state='out' if out else 'in')


def _tell_registered(entry: UpstreamEntry) -> None:
    emit(
        Event.UPSTREAM_REGISTERED,
        upstream=entry.name,
        service=entry.service,
        domain=entry.domain,
        born=entry.born,
    )


def _lose(steering: Steering, name: str) -> None:
    """Take out an upstream that was leaving; wait for any other.

    A registration can lapse while the platform is out of reach, also where
    this instance has not noticed.
    """
    known = steering.pool.by_name.get(name)
    if known is None or known.ended_at:
        return
    now = time.monotonic()
    if known.entry.accepting:
        miss_upstream(steering.pool, name, now)
        emit(Event.UPSTREAM_MISSING, upstream=name)
    elif end_upstream(steering.pool, name, now):
        emit(Event.UPSTREAM_ENDED, upstream=name, reason='left')
