"""Pass on what changed, so that others need not fetch whole topics.

A fleet of hundreds has thousands of upstreams, and one of them changes every
second; the list of all is a thousand times as long as the change.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Final

import msgspec

from marlbend.edge.beliefs import (
    Change,
    take_domains,
    take_entries,
    take_publication,
)
from marlbend.events import Event, emit
from marlbend.platform.objects import (
    StoredObject,
    read_publication,
    read_upstream,
)
from marlbend.steering.documents import Publication, UpstreamEntry
from marlbend.steering.news import (
    News,
    Topic,
    follows,
    note_read,
)
from marlbend.steering.recent import keep_changes
from marlbend.steering.state import Steering
from marlbend.wire.beats import Beat, ChangesNews

__all__ = ('encode_changes', 'take_told_changes')

# How old an earlier revision may have been when it was passed on.
EARLIER_SECONDS: Final = 1.0
_MILLISECONDS: Final = 1000

_ENCODER: Final = msgspec.msgpack.Encoder()
_PUBLICATIONS: Final = msgspec.msgpack.Decoder(dict[str, Publication | None])
_ENTRIES: Final = msgspec.msgpack.Decoder(dict[str, UpstreamEntry | None])
_DOMAINS: Final = msgspec.msgpack.Decoder(dict[str, bool])


def encode_changes(topic: Topic, changes: Iterable[Change]) -> bytes:
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
    news: News,
    beat: Beat,
    now: float,
) -> bool:
    """Take the changes in a beat that follow what is known.

    Keep them to be passed on, and tell if there were any.
    """
    taken = False
    for changes in sorted(beat.changes, key=_until_of):
        if not follows(news, changes):
            continue
        topic = Topic(changes.topic)
        try:
            _TAKE_BY_TOPIC[topic](steering, changes.body)
        except msgspec.DecodeError as error:
            # The whole topic is fetched, as its revision is not known here.
            emit(Event.FETCH_FAILED, peer=beat.members[0].name, error=error)
            continue
        note_read(news, topic, changes.until, now - _find_age(beat, changes))
        keep_changes(news.recent, changes, now)
        taken = True
    return taken


def _describe_publication(
    stored: StoredObject,
    deleted: bool,
) -> Publication | None:
    return None if deleted else read_publication(stored)


def _describe_upstream(
    stored: StoredObject,
    deleted: bool,
) -> UpstreamEntry | None:
    return None if deleted else read_upstream(stored)


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


def _until_of(changes: ChangesNews) -> int:
    return changes.until


def _find_age(beat: Beat, changes: ChangesNews) -> float:
    """Return how old the sender's knowledge of a topic is, in seconds.

    It is told of the sender's own revision; an earlier one may be older.
    """
    for told in beat.topics:
        if told.topic == changes.topic and told.revision == changes.until:
            return told.age / _MILLISECONDS
    return EARLIER_SECONDS


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
