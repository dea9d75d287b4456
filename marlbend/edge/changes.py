"""Pass on what changed, so that others need not fetch whole topics.

A fleet of hundreds has thousands of upstreams, and one of them changes every
second; the list of all is a thousand times as long as the change.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.beliefs import (
    take_domains,
    take_entries,
    take_publication,
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

__all__ = ('encode_changes', 'take_told_changes')

_ENCODER: Final = msgspec.msgpack.Encoder()
_PUBLICATIONS: Final = msgspec.msgpack.Decoder(dict[str, Publication | None])
_ENTRIES: Final = msgspec.msgpack.Decoder(dict[str, UpstreamEntry | None])
_DOMAINS: Final = msgspec.msgpack.Decoder(dict[str, bool])


def encode_changes(topic: Topic, changes: Iterable[ObjectChange]) -> bytes:
    """Return changes of a topic, for other instances.

    Of several changes of one object the last one counts.
    """
    describe = _DESCRIBE_BY_TOPIC[topic]
    return _ENCODER.encode(
        {
            stored.meta.name: describe(stored, deleted)
            for stored, deleted in changes
        }
    )


def take_told_changes(
    steering: Steering,
    gossip: GossipState,
    told: Iterable[TopicChanges],
    teller: str,
) -> bool:
    """Take the changes that follow what is known; tell if there were any.

    `teller` is who told them, for the log.  They are kept to be passed on.
    """
    taken = False
    for changes in sorted(told, key=_until_of):
        if not is_applicable(gossip, changes):
            continue
        topic = Topic(changes.topic)
        try:
            _TAKE_BY_TOPIC[topic](steering, changes.body)
        except msgspec.DecodeError as error:
            # The whole topic is fetched, as its revision is not known here.
            emit(Event.FETCH_FAILED, peer=teller, error=error)
            continue
        update_revision(gossip, topic, changes.until)
        record_changes(gossip.recent_changes, changes, steady_seconds())
        taken = True
    return taken


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


def _take_publications(steering: Steering, body: bytes) -> None:
    for publication in _list_publications(body):
        take_publication(steering, publication)


def _list_publications(body: bytes) -> Iterator[Publication]:
    for publication in _PUBLICATIONS.decode(body).values():
        if publication is not None:
            yield publication


def _take_entries(steering: Steering, body: bytes) -> None:
    take_entries(steering, _ENTRIES.decode(body))


def _take_domains(steering: Steering, body: bytes) -> None:
    take_domains(steering, _DOMAINS.decode(body))


def _until_of(changes: TopicChanges) -> int:
    return changes.until


_Describe = Callable[[StoredObject, bool], object]
_Take = Callable[[Steering, bytes], None]

_DESCRIBE_BY_TOPIC: Final[Mapping[Topic, _Describe]] = MappingProxyType(
    {
        Topic.CONFIGURATION: _describe_publication,
        Topic.UPSTREAMS: _describe_upstream,
        Topic.DOMAINS_OUT: _describe_domain,
    }
)
_TAKE_BY_TOPIC: Final[Mapping[Topic, _Take]] = MappingProxyType(
    {
        Topic.CONFIGURATION: _take_publications,
        Topic.UPSTREAMS: _take_entries,
        Topic.DOMAINS_OUT: _take_domains,
    }
)
