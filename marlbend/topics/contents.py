"""Apply updates of routes, upstreams and failure domains to the steering state.

The platform and other instances both send either changes of single objects or
the complete contents of a topic.
"""

from collections.abc import (
    Callable,
    Collection,
    Iterable,
    Iterator,
    Mapping,
)
from types import MappingProxyType
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.events import Event, emit
from marlbend.platform.objects import (
    CONFIG_NAME,
    decode_publication,
    decode_upstream,
)
from marlbend.platform.pages import ObjectChange, StoredObject
from marlbend.steering.documents import Publication, UpstreamEntry
from marlbend.steering.routes import update_routes
from marlbend.steering.state import OUT_INDEFINITELY, Steering
from marlbend.steering.upstreams import (
    REWRITE_SECONDS,
    end_upstream,
    mark_missing,
    register_upstream,
    registered_names_except,
)
from marlbend.steering.upstreams_restored import (
    is_held,
    list_confirmed_entries,
    lose_registration,
    release_absent,
    release_entry,
    restore_entry,
)
from marlbend.topics.knowledge import Topic

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
    'register_kept_entries',
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
    *,
    is_restored: bool = False,
) -> None:
    """Apply the complete list of a topic's objects from the platform.

    `is_restored` is whether it comes from a copy that may lack what was known,
    or have what was removed since.
    """
    if topic is Topic.CONFIGURATION:
        apply_object_changes(
            steering, topic, ((each, NOT_DELETED) for each in listed)
        )
    elif topic is Topic.UPSTREAMS:
        entries = (decode_upstream(stored) for stored in listed)
        known_entries = [each for each in entries if each]
        _apply_all_upstreams(steering, known_entries, is_restored=is_restored)
    else:
        names_out = (
            each.meta.name for each in listed if not each.meta.deleting
        )
        _apply_all_domains(steering, set(names_out), is_restored=is_restored)


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


def register_kept_entries(steering: Steering) -> None:
    """Register what a copy of the store brought back, and the store kept."""
    pool = steering.pool
    held = list_confirmed_entries(pool, steering.upstreams_confirmed_at)
    for entry in held:
        _log_restored(steering, entry.name, 'kept')
        pool.held_by_name.pop(entry.name)
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

    Of the upstreams that a copy of the store brought back, it has the entries
    of the copy, so that each instance decides on them.
    """
    if topic is Topic.CONFIGURATION:
        return _ENCODER.encode(steering.routes.publication)
    if topic is Topic.DOMAINS_OUT:
        return _ENCODER.encode(tuple(_list_domains_out(steering)))
    now = steady_seconds()
    pool = steering.pool
    held = tuple(each.entry for each in pool.held_by_name.values())
    registered = tuple(
        msgspec.structs.replace(
            upstream.entry, cold_seconds=max(upstream.cold_until - now, 0)
        )
        for upstream in pool.by_name.values()
        if not upstream.ended_at
        and not upstream.missing_since
        and upstream.name not in pool.held_by_name
    )
    return _ENCODER.encode(registered + held)


def _list_domains_out(steering: Steering) -> Iterator[str]:
    for domain, returned_at in steering.domains_out.items():
        if returned_at == OUT_INDEFINITELY:
            yield domain


def decode_topic(topic: Topic, body: bytes) -> TopicContents:
    """Decode the output of `encode_topic`; raise `msgspec.DecodeError`."""
    contents_type: type[TopicContents] = _TYPE_BY_TOPIC[topic]
    return msgspec.msgpack.decode(body, type=contents_type)


def apply_topic(
    steering: Steering,
    topic: Topic,
    topic_contents: TopicContents,
    *,
    is_restored: bool = False,
) -> None:
    """Apply the complete contents of a topic from another instance.

    `is_restored` is as in `apply_list`.
    """
    if isinstance(topic_contents, Publication):
        apply_publication(steering, topic_contents)
    elif topic is Topic.UPSTREAMS:
        entries = [
            each for each in topic_contents if isinstance(each, UpstreamEntry)
        ]
        _apply_all_upstreams(steering, entries, is_restored=is_restored)
    else:
        names = {str(each) for each in topic_contents}
        _apply_all_domains(steering, names, is_restored=is_restored)


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
    *,
    is_restored: bool,
) -> None:
    now = steady_seconds()
    pool = steering.pool
    if is_restored:
        pool.returned_at = now
        entries_in_use = list(_restore_entries(steering, entries, now))
    else:
        entries_in_use = entries
    for entry in entries_in_use:
        if not is_held(pool, entry):
            _register(steering, entry)
    present = {each.name for each in entries}
    for name in registered_names_except(pool, present):
        if is_restored:
            _log_restored(steering, name, 'lost')
            lose_registration(pool, name, now)
        else:
            _unregister(steering, name)
    for name in release_absent(pool, present, now):
        _log_restored(steering, name, 'removed')
    steering.upstreams_known = True


def _restore_entries(
    steering: Steering, entries: Iterable[UpstreamEntry], now: float
) -> Iterator[UpstreamEntry]:
    """Yield what to register of the entries of a copy."""
    for entry in entries:
        current = restore_entry(steering.pool, entry, now)
        if current is None:
            _log_restored(steering, entry.name, 'held')
        else:
            yield current


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
    pool = steering.pool
    if entry.name in pool.held_by_name or entry.name in pool.lost:
        _log_restored(steering, entry.name, 'written')
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
    now = steady_seconds()
    if release_entry(steering.pool, name, now):
        _log_restored(steering, name, 'removed')
    upstream = steering.pool.by_name.get(name)
    if upstream is None or upstream.ended_at or name in steering.pool.lost:
        return
    if upstream.entry.accepting:
        if mark_missing(steering.pool, name, now):
            emit(Event.UPSTREAM_MISSING, upstream=name)
    elif end_upstream(steering.pool, name, now):
        emit(Event.UPSTREAM_ENDED, upstream=name, reason='left')


def _log_restored(steering: Steering, name: str, decision: str) -> None:
    known = steering.pool.by_name.get(name)
    missing_since = known.missing_since if known else 0
    missing = steady_seconds() - missing_since if missing_since else 0
    emit(
        Event.UPSTREAM_RESTORED,
        upstream=name,
        decision=decision,
        missing=round(missing, 2),
    )


def _apply_domain(
    steering: Steering,
    stored: StoredObject,
    deleted: bool,
) -> None:
    out = not deleted and not stored.meta.deleting
    _set_domain_out(steering, stored.meta.name, out=out)


def _apply_all_domains(
    steering: Steering, names: set[str], *, is_restored: bool
) -> None:
    if is_restored:
        for missing in set(_list_domains_out(steering)) - names:
            # The operator writes again that it is out, or it is back.
            until = steady_seconds() + REWRITE_SECONDS
            steering.domains_out[missing] = until
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
