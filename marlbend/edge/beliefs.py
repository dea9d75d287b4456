"""Bring what is learned of routes, upstreams and domains into the steering.

It comes from the platform, object by object, or whole from another instance.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.events import Event, emit
from marlbend.platform.objects import (
    CONFIG_NAME,
    ObjectChange,
    StoredObject,
    decode_publication,
    decode_upstream,
)
from marlbend.steering.documents import Publication, UpstreamEntry
from marlbend.steering.gossip import Topic
from marlbend.steering.routes import update_routes
from marlbend.steering.state import OUT_INDEFINITELY, Steering
from marlbend.steering.upstreams import (
    end_upstream,
    mark_missing,
    register_upstream,
    registered_names_except,
)

__all__ = (
    'LISTED',
    'decode_whole',
    'encode_whole',
    'take_changes',
    'take_domains',
    'take_entries',
    'take_list',
    'take_publication',
    'take_whole',
)

Take = Callable[[Steering, StoredObject, bool], None]
Whole = Publication | tuple[UpstreamEntry, ...] | tuple[str, ...]

_ENCODER: Final = msgspec.msgpack.Encoder()
_SHAPE_BY_TOPIC: Final = MappingProxyType(
    {
        Topic.CONFIGURATION: Publication,
        Topic.UPSTREAMS: tuple[UpstreamEntry, ...],
        Topic.DOMAINS_OUT: tuple[str, ...],
    }
)
LISTED: Final = False


def take_list(
    steering: Steering,
    topic: Topic,
    found: Collection[StoredObject],
) -> None:
    """Take every object of a topic as the platform lists them."""
    if topic is Topic.CONFIGURATION:
        take_changes(steering, topic, ((each, LISTED) for each in found))
    elif topic is Topic.UPSTREAMS:
        entries = (decode_upstream(stored) for stored in found)
        _take_upstreams(steering, [each for each in entries if each])
    else:
        out = (each.meta.name for each in found if not each.meta.deleting)
        _take_domains(steering, set(out))


def take_changes(
    steering: Steering,
    topic: Topic,
    changes: Iterable[ObjectChange],
) -> None:
    """Take single objects, each with whether it was deleted."""
    take = _TAKE_BY_TOPIC[topic]
    for stored, deleted in changes:
        take(steering, stored, deleted)


def take_entries(
    steering: Steering,
    entry_by_name: Mapping[str, UpstreamEntry | None],
) -> None:
    """Take single upstreams, nothing for one whose registration has gone."""
    for name, entry in entry_by_name.items():
        if entry is None:
            _lose(steering, name)
        else:
            _register(steering, entry)


def take_publication(steering: Steering, publication: Publication) -> None:
    """Put a publication in force unless it is old."""
    if update_routes(steering.routes, publication, steady_seconds()):
        emit(Event.CONFIG_IN_FORCE, version=publication.version)


def take_domains(
    steering: Steering,
    out_by_domain: Mapping[str, bool],
) -> None:
    """Take whether each of some failure domains is out."""
    for domain, out in out_by_domain.items():
        _move_domain(steering, domain, out=out)


def encode_whole(steering: Steering, topic: Topic) -> bytes:
    """Return all that is known of a topic, for another instance."""
    if topic is Topic.CONFIGURATION:
        return _ENCODER.encode(steering.routes.publication)
    if topic is Topic.DOMAINS_OUT:
        return _ENCODER.encode(tuple(steering.domains_out))
    now = steady_seconds()
    return _ENCODER.encode(
        tuple(
            msgspec.structs.replace(
                known.entry, cold_seconds=max(known.cold_until - now, 0)
            )
            for known in steering.pool.by_name.values()
            if not known.ended_at and not known.missing_since
        )
    )


def decode_whole(topic: Topic, body: bytes) -> Whole:
    """Decode what `encode_whole` made; raise `msgspec.DecodeError`."""
    shape: type[Whole] = _SHAPE_BY_TOPIC[topic]
    return msgspec.msgpack.decode(body, type=shape)


def take_whole(steering: Steering, topic: Topic, whole: Whole) -> None:
    """Take all that another instance knows of a topic."""
    if isinstance(whole, Publication):
        take_publication(steering, whole)
    elif topic is Topic.UPSTREAMS:
        entries = [each for each in whole if isinstance(each, UpstreamEntry)]
        _take_upstreams(steering, entries)
    else:
        _take_domains(steering, {str(each) for each in whole})


def _take_configuration(
    steering: Steering,
    stored: StoredObject,
    deleted: bool,
) -> None:
    if deleted or stored.meta.name != CONFIG_NAME:
        return
    publication = decode_publication(stored)
    if publication is None:
        revision = stored.meta.rev
        emit(Event.CONFIG_REFUSED, error=f'revision {revision}')
    else:
        take_publication(steering, publication)


def _take_upstreams(
    steering: Steering,
    entries: list[UpstreamEntry],
) -> None:
    for entry in entries:
        _register(steering, entry)
    present = (each.name for each in entries)
    for name in registered_names_except(steering.pool, present):
        _lose(steering, name)
    steering.upstreams_known = True


def _take_upstream(
    steering: Steering,
    stored: StoredObject,
    deleted: bool,
) -> None:
    entry = None if deleted else decode_upstream(stored)
    if entry is None:
        _lose(steering, stored.meta.name)
    else:
        _register(steering, entry)


def _register(steering: Steering, entry: UpstreamEntry) -> None:
    if register_upstream(steering.pool, entry, steady_seconds()):
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
    now = steady_seconds()
    if known.entry.accepting:
        if mark_missing(steering.pool, name, now):
            emit(Event.UPSTREAM_MISSING, upstream=name)
    elif end_upstream(steering.pool, name, now):
        emit(Event.UPSTREAM_ENDED, upstream=name, reason='left')


def _take_domain(
    steering: Steering,
    stored: StoredObject,
    deleted: bool,
) -> None:
    out = not deleted and not stored.meta.deleting
    _move_domain(steering, stored.meta.name, out=out)


def _take_domains(steering: Steering, names: set[str]) -> None:
    known = names.union(steering.domains_out)
    take_domains(steering, {name: name in names for name in known})


def _move_domain(steering: Steering, name: str, *, out: bool) -> None:
    if out:
        if name not in steering.domains_out:
            emit(Event.DOMAIN_MOVED, domain=name, state='out')
        steering.domains_out[name] = OUT_INDEFINITELY
    elif steering.domains_out.get(name) == OUT_INDEFINITELY:
        steering.domains_out[name] = steady_seconds()


_TAKE_BY_TOPIC: Final[Mapping[Topic, Take]] = MappingProxyType(
    {
        Topic.CONFIGURATION: _take_configuration,
        Topic.UPSTREAMS: _take_upstream,
        Topic.DOMAINS_OUT: _take_domain,
    }
)
