"""Gossip changes of topics, so that instances need not fetch whole topics.

Designed for hundreds of instances with thousands of upstreams and one change of
an upstream per second; the complete list is a thousand times as long as a
change.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.topics import (
    apply_domain_states,
    apply_publication,
    apply_upstream_entries,
)
from marlbend.events import Event, emit
from marlbend.platform.objects import (
    ObjectChange,
    StoredObject,
    decode_publication,
    decode_upstream,
)
from marlbend.steering.documents import Publication, UpstreamEntry
from marlbend.steering.gossip import (
    GossipState,
    Topic,
    is_applicable,
    update_revision,
)
from marlbend.steering.recent_changes import record_changes
from marlbend.steering.state import Steering
from marlbend.wire.heartbeats import TopicChanges

__all__ = ('apply_peer_changes', 'encode_changes')

_ENCODER: Final = msgspec.msgpack.Encoder()
_PUBLICATIONS: Final = msgspec.msgpack.Decoder(dict[str, Publication | None])
_ENTRIES: Final = msgspec.msgpack.Decoder(dict[str, UpstreamEntry | None])
_DOMAINS: Final = msgspec.msgpack.Decoder(dict[str, bool])


def encode_changes(topic: Topic, changes: Iterable[ObjectChange]) -> bytes:
    """Encode changes of a topic for other instances.

    Of several changes to the same object, only the last one is kept.
    """
    describe = _DESCRIBE_BY_TOPIC[topic]
    return _ENCODER.encode(
        {
            stored.meta.name: describe(stored, deleted)
            for stored, deleted in changes
        }
    )


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
    for changes in sorted(received_changes, key=_until_of):
        topic = Topic(changes.topic)
        if not is_applicable(gossip, changes):
            _record_unusable(gossip, changes, sender)
            continue
        try:
            _APPLY_BY_TOPIC[topic](steering, changes.body)
        except msgspec.DecodeError as error:
            # The known revision stays as it is, so the topic is fetched.
            emit(
                Event.UPDATE_FAILED,
                peer=sender,
                error=error,
                kind=topic.name.lower(),
            )
            continue
        update_revision(gossip, topic, changes.until)
        record_changes(gossip.recent_changes, changes, steady_seconds())
        gossip.transfers_by_topic[topic].applied_changes += 1
        applied = True
    return applied


def _record_unusable(
    gossip: GossipState, changes: TopicChanges, sender: str
) -> None:
    topic = Topic(changes.topic)
    known_revision = gossip.revision_by_topic[topic]
    if changes.until > known_revision:
        gossip.transfers_by_topic[topic].unusable_changes += 1
        emit(
            Event.CHANGES_UNUSABLE,
            kind=topic.name.lower(),
            peer=sender,
            since=changes.since,
            known=known_revision,
        )


def _describe_publication(
    stored: StoredObject,
    deleted: bool,
) -> Publication | None:
    return None if deleted else decode_publication(stored)


def _describe_upstream(
    stored: StoredObject,
    deleted: bool,
) -> UpstreamEntry | None:
    return None if deleted else decode_upstream(stored)


def _describe_domain(stored: StoredObject, deleted: bool) -> bool:
    return not deleted and not stored.meta.deleting


def _apply_publications(steering: Steering, body: bytes) -> None:
    for publication in _list_publications(body):
        apply_publication(steering, publication)


def _list_publications(body: bytes) -> Iterator[Publication]:
    for publication in _PUBLICATIONS.decode(body).values():
        if publication is not None:
            yield publication


def _apply_upstream_entries(steering: Steering, body: bytes) -> None:
    apply_upstream_entries(steering, _ENTRIES.decode(body))


def _apply_domains(steering: Steering, body: bytes) -> None:
    apply_domain_states(steering, _DOMAINS.decode(body))


def _until_of(changes: TopicChanges) -> int:
    return changes.until


_DescribeObject = Callable[[StoredObject, bool], object]
_ApplyBody = Callable[[Steering, bytes], None]

_DESCRIBE_BY_TOPIC: Final[Mapping[Topic, _DescribeObject]] = MappingProxyType(
    {
        Topic.CONFIGURATION: _describe_publication,
        Topic.UPSTREAMS: _describe_upstream,
        Topic.DOMAINS_OUT: _describe_domain,
    }
)
_APPLY_BY_TOPIC: Final[Mapping[Topic, _ApplyBody]] = MappingProxyType(
    {
        Topic.CONFIGURATION: _apply_publications,
        Topic.UPSTREAMS: _apply_upstream_entries,
        Topic.DOMAINS_OUT: _apply_domains,
    }
)
