"""Serve the contents of topics to other instances, and fetch them.

A reply has the changes since the revision that the other instance knows or, if
they are no longer known here, the whole topic.
"""

import re
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.node import Address, GossipNode
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.http import (
    ClientResponse,
    Connection,
    RequestHandler,
    ServerResponse,
)
from marlbend.observe.control_traffic import (
    Cause,
    record_deferred,
    record_sent,
)
from marlbend.steering.budgets import spend_any
from marlbend.steering.gossip import GossipState
from marlbend.steering.members import age_in_milliseconds
from marlbend.steering.upstreams import backdate_missing
from marlbend.topics.changes import apply_peer_changes
from marlbend.topics.contents import (
    apply_topic,
    decode_topic,
    encode_topic,
)
from marlbend.topics.history import list_since
from marlbend.topics.knowledge import (
    Confirmation,
    Topic,
    confirm_revision,
    enter_era,
    update_revision,
)
from marlbend.validation import VALUE_ERRORS
from marlbend.wire.compression import compress, decompress
from marlbend.wire.heartbeats import TopicChanges

__all__ = ('fetch_topic', 'make_topic_handlers')

FETCH_TIMEOUT_SECONDS: Final = 1.0
_FETCH_ERRORS: Final = (MarlbendError, *VALUE_ERRORS)
_MILLISECONDS_PER_SECOND: Final = 1000
_OK: Final = 200
_UNAVAILABLE: Final = 503
_TOPIC_PATH: Final = '/beliefs/{topic}'
# Revisions have 64 bits.
_REVISION: Final = re.compile('[0-9]{1,19}')
_SINCE_PREFIX: Final = 'since='
_ERA_PREFIX: Final = 'era='
# Only an instance that sends this accepts compressed contents, and changes of
# the configuration by route.
_COMPRESSED: Final = 'compressed'


class _TopicReply(msgspec.Struct, array_like=True, frozen=True):
    """Carry the contents of a topic, or its changes since a revision.

    `age` is the time since `revision` was known to be the latest, in
    milliseconds.  `topic_contents` is empty if `changes` lead from the
    requested revision to this one; otherwise `is_compressed` tells whether it
    is compressed.  `era` is that of the revision, and `clock` and
    `confirmed_at` are as in `TopicRevision`.
    """

    revision: int
    age: int
    topic_contents: bytes
    changes: tuple[TopicChanges, ...] = ()
    is_compressed: bool = False
    era: int = 0
    clock: int = 0
    confirmed_at: int = 0


def make_topic_handlers(node: GossipNode) -> dict[str, RequestHandler]:
    """Return the HTTP handlers that serve topics to other instances by path."""

    def make_topic_handler(topic: Topic) -> RequestHandler:
        def respond(query: str) -> ServerResponse:
            if not node.gossip.revision_by_topic[topic]:
                return _UNAVAILABLE, 'text/plain', b''
            reply = _make_topic_reply(node, topic, query)
            body = msgspec.msgpack.encode(reply)
            bucket = node.steering.local_instance.budgets.topics
            if not spend_any(bucket, len(body), steady_seconds()):
                # The other instance fetches it from the sender of a later
                # heartbeat.
                record_deferred(node.traffic, Cause.TOPIC, 1)
                return _UNAVAILABLE, 'text/plain', b''
            transfers = node.gossip.transfers_by_topic[topic]
            transfers.served += 1
            transfers.served_bytes += len(body)
            record_sent(node.traffic, Cause.TOPIC, len(body))
            return _OK, 'application/msgpack', body

        return respond

    return {
        _TOPIC_PATH.format(topic=int(topic)): make_topic_handler(topic)
        for topic in Topic
    }


def _make_topic_reply(
    node: GossipNode, topic: Topic, query: str
) -> _TopicReply:
    """Return the changes since the revision in a query, or all contents."""
    query_parts = query.split('&')
    accepts_compressed = _COMPRESSED in query_parts
    reply = _describe_known(node.gossip, topic)
    changes = _list_requested_changes(node.gossip, topic, query_parts)
    if changes and (accepts_compressed or topic is not Topic.CONFIGURATION):
        return msgspec.structs.replace(reply, changes=changes)
    body = encode_topic(node.steering, topic)
    return msgspec.structs.replace(
        reply,
        topic_contents=compress(body) if accepts_compressed else body,
        is_compressed=accepts_compressed,
    )


def _describe_known(gossip: GossipState, topic: Topic) -> _TopicReply:
    """Return a reply without contents."""
    confirmed_at = gossip.confirmed_at_by_topic[topic]
    confirmation = gossip.confirmation_by_topic.get(topic)
    return _TopicReply(
        gossip.revision_by_topic[topic],
        age_in_milliseconds(confirmed_at, steady_seconds()),
        b'',
        era=gossip.era_by_topic[topic],
        clock=confirmation.clock if confirmation else 0,
        confirmed_at=int(confirmation.moment * _MILLISECONDS_PER_SECOND)
        if confirmation
        else 0,
    )


def _list_requested_changes(
    gossip: GossipState, topic: Topic, query_parts: list[str]
) -> tuple[TopicChanges, ...]:
    """Return the changes since the requested revision, if they are known.

    An instance that knows no era, or one before the first, names none.
    """
    requested = query_parts[0].removeprefix(_SINCE_PREFIX)
    era = gossip.era_by_topic[topic]
    is_same_era = not era or f'{_ERA_PREFIX}{era}' in query_parts
    if not is_same_era or _REVISION.fullmatch(requested) is None:
        return ()
    return list_since(
        gossip.recent_changes,
        topic,
        int(requested),
        gossip.revision_by_topic[topic],
    )


async def fetch_topic(
    node: GossipNode, topic: Topic, sender_address: Address
) -> bool:
    """Fetch a topic or its changes; return whether anything was applied."""
    connection = Connection(sender_address)
    target = _make_target(node, topic)
    requested_at = steady_seconds()
    try:
        return _apply_response(
            node,
            topic,
            await connection.request('GET', target, FETCH_TIMEOUT_SECONDS),
            sender_address[0],
            requested_at,
        )
    except _FETCH_ERRORS as error:
        node.gossip.transfers_by_topic[topic].failed_fetches += 1
        emit(
            Event.UPDATE_FAILED,
            peer=sender_address[0],
            error=error,
            kind=topic.name.lower(),
        )
        return False
    finally:
        connection.close()
        node.fetching.discard(topic)


def _make_target(node: GossipNode, topic: Topic) -> str:
    path = _TOPIC_PATH.format(topic=int(topic))
    known_revision = node.gossip.revision_by_topic[topic]
    since = '' if topic in node.whole_needed else str(known_revision)
    target = f'{path}?{_SINCE_PREFIX}{since}&{_COMPRESSED}'
    era = node.gossip.era_by_topic[topic]
    return f'{target}&{_ERA_PREFIX}{era}' if era else target


def _apply_response(
    node: GossipNode,
    topic: Topic,
    response: ClientResponse,
    peer: str,
    requested_at: float,
) -> bool:
    """Apply a reply unless it is older than what is known by now."""
    if response.status != _OK:
        return False
    reply = msgspec.msgpack.decode(response.body, type=_TopicReply)
    gossip = node.gossip
    _record_fetch(gossip, topic, response, reply, peer)
    if _is_outdated(gossip, topic, reply):
        return False
    if reply.changes:
        apply_peer_changes(node.steering, gossip, reply.changes, peer)
    else:
        _apply_whole(node, topic, reply)
    if gossip.revision_by_topic[topic] == reply.revision:
        _confirm(gossip, topic, reply, requested_at)
        node.whole_needed.discard(topic)
    else:
        node.whole_needed.add(topic)
    return True


def _is_outdated(gossip: GossipState, topic: Topic, reply: _TopicReply) -> bool:
    known = (gossip.era_by_topic[topic], gossip.revision_by_topic[topic])
    return (reply.era, reply.revision) < known


def _confirm(
    gossip: GossipState, topic: Topic, reply: _TopicReply, requested_at: float
) -> None:
    """Record the age of a reply, which was made after the request.

    Counted from its receipt, it would be too low by the time of the transfer.
    """
    confirm_revision(
        gossip,
        topic,
        reply.revision,
        requested_at - reply.age / _MILLISECONDS_PER_SECOND,
        Confirmation(
            reply.clock, reply.confirmed_at / _MILLISECONDS_PER_SECOND
        ),
    )


def _apply_whole(node: GossipNode, topic: Topic, reply: _TopicReply) -> None:
    """Apply the contents of a topic; they may be the first of a new era.

    Otherwise what they lack may be gone since the platform was last heard.
    """
    gossip = node.gossip
    body = reply.topic_contents
    if reply.is_compressed:
        body = decompress(body)
    topic_contents = decode_topic(topic, body)
    has_returned = reply.era > gossip.era_by_topic[topic]
    is_restored = has_returned and gossip.revision_by_topic[topic] > 0
    noticed_at = steady_seconds()
    heard_at = gossip.confirmed_at_by_topic[topic]
    apply_topic(node.steering, topic, topic_contents, is_restored=is_restored)
    if has_returned:
        enter_era(gossip, topic, reply.era, reply.revision)
    else:
        backdate_missing(node.steering.pool, noticed_at, heard_at)
        update_revision(gossip, topic, reply.revision)


def _record_fetch(
    gossip: GossipState,
    topic: Topic,
    response: ClientResponse,
    reply: _TopicReply,
    peer: str,
) -> None:
    transfers = gossip.transfers_by_topic[topic]
    transfers.fetches += 1
    transfers.fetched_bytes += len(response.body)
    emit(
        Event.UPDATE_FETCHED,
        kind=topic.name.lower(),
        peer=peer,
        size=len(response.body),
        seconds=round(response.receive_seconds, 3),
        revision=reply.revision,
        in_changes=bool(reply.changes),
    )
