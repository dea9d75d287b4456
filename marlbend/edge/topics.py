"""Apply updates of routes, upstreams and failure domains to the steering state.

The platform and other instances both send either changes of single objects or
the complete contents of a topic.
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
    'NOT_DELETED',
    'apply_domain_states',
    'apply_list',
    'apply_object_changes',
    'apply_publication',
    'apply_topic',
    'apply_upstream_entries',
    'decode_topic',
    'encode_topic',
)

ApplyObject = Callable[[Steering, StoredObject, bool], None]
TopicContents = Publication | tuple[UpstreamEntry, ...] | tuple[str, ...]

_ENCODER: Final = msgspec.msgpack.Encoder()
_TYPE_BY_TOPIC: Final = MappingProxyType(
    {
        Topic.CONFIGURATION: Publication,
        Topic.UPSTREAMS: tuple[UpstreamEntry, ...],
        Topic.DOMAINS_OUT: tuple[str, ...],
    }
)
NOT_DELETED: Final = False


def apply_list(
    steering: Steering,
    topic: Topic,
    listed: Collection[StoredObject],
) -> None:
    """Apply the complete list of a topic's objects from the platform."""
    if topic is Topic.CONFIGURATION:
        apply_object_changes(
            steering, topic, ((each, NOT_DELETED) for each in listed)
        )
    elif topic is Topic.UPSTREAMS:
        entries = (decode_upstream(stored) for stored in listed)
        _apply_all_upstreams(steering, [each for each in entries if each])
    else:
        names_out = (
            each.meta.name for each in listed if not each.meta.deleting
        )
        _apply_all_domains(steering, set(names_out))


def apply_object_changes(
    steering: Steering,
    topic: Topic,
    changes: Iterable[ObjectChange],
) -> None:
    """Apply changes of single objects, each with whether it was deleted."""
    apply = _APPLY_BY_TOPIC[topic]
    for stored, deleted in changes:
        apply(steering, stored, deleted)


def apply_upstream_entries(
    steering: Steering,
    entry_by_name: Mapping[str, UpstreamEntry | None],
) -> None:
    """Apply single upstreams; `None` means that a registration is gone."""
    for name, entry in entry_by_name.items():
        if entry is None:
            _unregister(steering, name)
        else:
            _register(steering, entry)


def apply_publication(steering: Steering, publication: Publication) -> None:
    """Put a publication in force unless its version is out of date."""
    if update_routes(steering.routes, publication, steady_seconds()):
        emit(Event.CONFIG_APPLIED, version=publication.version)


def apply_domain_states(
    steering: Steering,
    out_by_domain: Mapping[str, bool],
) -> None:
    """Apply whether each of some failure domains is out."""
    for domain, out in out_by_domain.items():
        _set_domain_out(steering, domain, out=out)


def encode_topic(steering: Steering, topic: Topic) -> bytes:
    """Return the known contents of a topic, for another instance.

    The domains out include those that have returned but still wait for a
    confirmed list of upstreams; the receiver marks them as out indefinitely.
    """
    if topic is Topic.CONFIGURATION:
        return _ENCODER.encode(steering.routes.publication)
    if topic is Topic.DOMAINS_OUT:
        return _ENCODER.encode(tuple(steering.domains_out))
    now = steady_seconds()
    return _ENCODER.encode(
        tuple(
            msgspec.structs.replace(
                upstream.entry, cold_seconds=max(upstream.cold_until - now, 0)
            )
            for upstream in steering.pool.by_name.values()
            if not upstream.ended_at and not upstream.missing_since
        )
    )


def decode_topic(topic: Topic, body: bytes) -> TopicContents:
    """Decode the output of `encode_topic`; raise `msgspec.DecodeError`."""
    contents_type: type[TopicContents] = _TYPE_BY_TOPIC[topic]
    return msgspec.msgpack.decode(body, type=contents_type)


def apply_topic(
    steering: Steering, topic: Topic, topic_contents: TopicContents
) -> None:
    """Apply the complete contents of a topic from another instance."""
    if isinstance(topic_contents, Publication):
        apply_publication(steering, topic_contents)
    elif topic is Topic.UPSTREAMS:
        entries = [
            each for each in topic_contents if isinstance(each, UpstreamEntry)
        ]
        _apply_all_upstreams(steering, entries)
    else:
        _apply_all_domains(steering, {str(each) for each in topic_contents})


def _apply_configuration(
    steering: Steering,
    stored: StoredObject,
    deleted: bool,
) -> None:
    if deleted or stored.meta.name != CONFIG_NAME:
        return
    publication = decode_publication(stored)
    if publication is None:
        revision = stored.meta.rev
        emit(Event.CONFIG_REJECTED, error=f'cannot decode revision {revision}')
    else:
        apply_publication(steering, publication)


def _apply_all_upstreams(
    steering: Steering,
    entries: list[UpstreamEntry],
) -> None:
    for entry in entries:
        _register(steering, entry)
    present = (each.name for each in entries)
    for name in registered_names_except(steering.pool, present):
        _unregister(steering, name)
    steering.upstreams_known = True


def _apply_upstream(
    steering: Steering,
    stored: StoredObject,
    deleted: bool,
) -> None:
    entry = None if deleted else decode_upstream(stored)
    if entry is None:
        _unregister(steering, stored.meta.name)
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


def _unregister(steering: Steering, name: str) -> None:
    """End a draining upstream, and mark any other as missing.

    A registration can expire during a platform outage, even one that this
    instance has not noticed, so another upstream does not end at once.
    """
    upstream = steering.pool.by_name.get(name)
    if upstream is None or upstream.ended_at:
        return
    now = steady_seconds()
    if upstream.entry.accepting:
        if mark_missing(steering.pool, name, now):
            emit(Event.UPSTREAM_MISSING, upstream=name)
    elif end_upstream(steering.pool, name, now):
        emit(Event.UPSTREAM_ENDED, upstream=name, reason='left')


def _apply_domain(
    steering: Steering,
    stored: StoredObject,
    deleted: bool,
) -> None:
    out = not deleted and not stored.meta.deleting
    _set_domain_out(steering, stored.meta.name, out=out)


def _apply_all_domains(steering: Steering, names: set[str]) -> None:
    all_names = names.union(steering.domains_out)
    apply_domain_states(steering, {name: name in names for name in all_names})


def _set_domain_out(steering: Steering, name: str, *, out: bool) -> None:
    """Mark a failure domain as out, or record the time of its return."""
    if out:
        if name not in steering.domains_out:
            emit(Event.DOMAIN_STATE_CHANGED, domain=name, state='out')
        steering.domains_out[name] = OUT_INDEFINITELY
    elif steering.domains_out.get(name) == OUT_INDEFINITELY:
        steering.domains_out[name] = steady_seconds()


_APPLY_BY_TOPIC: Final[Mapping[Topic, ApplyObject]] = MappingProxyType(
    {
        Topic.CONFIGURATION: _apply_configuration,
        Topic.UPSTREAMS: _apply_upstream,
        Topic.DOMAINS_OUT: _apply_domain,
    }
)
