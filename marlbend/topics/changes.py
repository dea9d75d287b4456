"""Gossip changes of topics, so that instances need not fetch whole topics.

Designed for hundreds of instances with thousands of routes and upstreams and a
few changes of single ones per second; the complete list is a thousand times as
long as a change.
"""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.events import Event, emit
from marlbend.platform.objects import decode_upstream
from marlbend.platform.pages import ObjectChange, StoredObject
from marlbend.steering.documents import (
    Publication,
    PublicationChange,
    UpstreamEntry,
)
from marlbend.steering.gossip import GossipState
from marlbend.steering.routes import change_publication, compare_publications
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import backdate_missing
from marlbend.topics.contents import (
    apply_domain_states,
    apply_publication,
    apply_upstream_entries,
)
from marlbend.topics.history import record_changes
from marlbend.topics.knowledge import (
    Topic,
    is_applicable,
    is_known,
    is_newer,
    update_revision,
)
from marlbend.validation import VALUE_ERRORS
from marlbend.wire.compression import compress, decompress
from marlbend.wire.heartbeats import TopicChanges

__all__ = (
    'apply_peer_changes',
    'encode_changes',
    'encode_publication_change',
)

_MILLISECONDS_PER_SECOND: Final = 1000
_ENCODER: Final = msgspec.msgpack.Encoder()
_PUBLICATION_CHANGE: Final = msgspec.msgpack.Decoder(PublicationChange)
_ENTRIES: Final = msgspec.msgpack.Decoder(dict[str, UpstreamEntry | None])
_DOMAINS: Final = msgspec.msgpack.Decoder(dict[str, bool])


def encode_changes(topic: Topic, changes: Iterable[ObjectChange]) -> bytes:
    """Encode changes of upstreams or domains out for other instances.

    Of several changes to the same object, only the last one is kept.
    """
    describe = _DESCRIBE_BY_TOPIC[topic]
    return _ENCODER.encode(
        {
            stored.meta.name: describe(stored, deleted)
            for stored, deleted in changes
        }
    )


def encode_publication_change(
    previous: Publication, current: Publication
) -> bytes:
    """Encode what differs between two publications for other instances."""
    change = compare_publications(previous, current)
    return compress(_ENCODER.encode(change))


def apply_peer_changes(
    steering: Steering,
    gossip: GossipState,
    received_changes: Iterable[TopicChanges],
    sender: str,
) -> bool:
    """Apply the changes that are newer than the known revision.

    Return whether there were any.  Applied changes are recorded, so that they
    are passed on.  `sender`, a name or an address, is only logged.
    """
    applied = False
    known_changes = [each for each in received_changes if is_known(each.topic)]
    for changes in sorted(known_changes, key=_until_of):
        is_usable = is_applicable(gossip, changes)
        if is_usable and _apply(steering, changes, sender):
            topic = Topic(changes.topic)
            update_revision(gossip, topic, changes.until)
            record_changes(gossip.recent_changes, changes, steady_seconds())
            gossip.transfers_by_topic[topic].applied_changes += 1
            applied = True
        else:
            _record_unusable(gossip, changes, sender)
    return applied


def _apply(steering: Steering, changes: TopicChanges, sender: str) -> bool:
    """Apply changes; return whether they start at what is known."""
    topic = Topic(changes.topic)
    noticed_at = steady_seconds()
    since = noticed_at - changes.delay / _MILLISECONDS_PER_SECOND
    try:
        is_applied = _APPLY_BY_TOPIC[topic](steering, changes.body)
    except VALUE_ERRORS as error:
        # The known revision stays as it is, so the topic is fetched.
        emit(
            Event.UPDATE_FAILED,
            peer=sender,
            error=error,
            kind=topic.name.lower(),
        )
        return False
    backdate_missing(steering.pool, noticed_at, since)
    return is_applied


def _record_unusable(
    gossip: GossipState, changes: TopicChanges, sender: str
) -> None:
    topic = Topic(changes.topic)
    known_revision = gossip.revision_by_topic[topic]
    if is_newer(gossip, topic, changes.era, changes.until):
        gossip.transfers_by_topic[topic].unusable_changes += 1
        emit(
            Event.CHANGES_UNUSABLE,
            kind=topic.name.lower(),
            peer=sender,
            since=changes.since,
            known=known_revision,
        )


def _describe_upstream(
    stored: StoredObject,
    deleted: bool,
) -> UpstreamEntry | None:
    return None if deleted else decode_upstream(stored)


def _describe_domain(stored: StoredObject, deleted: bool) -> bool:
    return not deleted and not stored.meta.deleting


def _apply_publication_change(steering: Steering, body: bytes) -> bool:
    change = _PUBLICATION_CHANGE.decode(decompress(body))
    if change.version == steering.routes.version:
        return True
    publication = change_publication(steering.routes.publication, change)
    if publication is None:
        return False
    apply_publication(steering, publication)
    return True


def _apply_upstream_entries(steering: Steering, body: bytes) -> bool:
    apply_upstream_entries(steering, _ENTRIES.decode(body))
    return True


def _apply_domains(steering: Steering, body: bytes) -> bool:
    apply_domain_states(steering, _DOMAINS.decode(body))
    return True


def _until_of(changes: TopicChanges) -> int:
    return changes.until


_DescribeObject = Callable[[StoredObject, bool], object]
# Returns whether the changes start at what is known.
_ApplyChanges = Callable[[Steering, bytes], bool]

_DESCRIBE_BY_TOPIC: Final[Mapping[Topic, _DescribeObject]] = MappingProxyType(
    {
        Topic.UPSTREAMS: _describe_upstream,
        Topic.DOMAINS_OUT: _describe_domain,
    }
)
_APPLY_BY_TOPIC: Final[Mapping[Topic, _ApplyChanges]] = MappingProxyType(
    {
        Topic.CONFIGURATION: _apply_publication_change,
        Topic.UPSTREAMS: _apply_upstream_entries,
        Topic.DOMAINS_OUT: _apply_domains,
    }
)
