"""Fetch from another instance what the store's lists lack.

After the store came back from a copy, its lists may lack upstreams and domains
out that running instances still know, and have upstreams that have left.  An
instance that starts then fetches these from one that ran before; it would
otherwise reset open flows whose cookies it does not know.
"""

import math
from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.node import Address, GossipNode
from marlbend.edge.reopened_updates import merge_reopened_updates
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.http import Connection, RequestHandler, ServerResponse
from marlbend.observe.control_traffic import (
    Cause,
    record_deferred,
    record_sent,
)
from marlbend.steering.budgets import spend_any
from marlbend.steering.documents import UpstreamEntry
from marlbend.steering.reopened_flows import (
    MAX_REOPENED_FLOWS,
    REOPENED_FLOW_SECONDS,
    list_latest,
)
from marlbend.steering.state import Steering
from marlbend.steering.upstreams_restored import (
    add_unregistered,
    hold_entry,
    list_held,
    list_unregistered,
)
from marlbend.topics.knowledge import Topic
from marlbend.validation import VALUE_ERRORS
from marlbend.wire.heartbeats import ReopenedFlowUpdate

__all__ = (
    'Unlisted',
    'can_fetch_unlisted',
    'decode_unlisted',
    'fetch_unlisted',
    'make_unlisted_handlers',
)

FETCH_TIMEOUT_SECONDS: Final = 1.0
_FETCH_ERRORS: Final = (MarlbendError, *VALUE_ERRORS)
_OK: Final = 200
_UNAVAILABLE: Final = 503
_PATH: Final = '/unlisted'


class Unlisted(msgspec.Struct, array_like=True, frozen=True):
    """Carry what an instance knows beyond the store's lists.

    `era` is that of its list of upstreams.  `knows_ended` is as in
    `UpstreamPool`.  `missing` and `ended` hold the upstreams without a
    registration.  `held` holds the entries of a copy that are not used, each
    with the one that is.  `seconds_by_domain` holds how much longer a domain is
    kept out that the list of domains out does not have.  `reopened_flows` holds
    all flows whose SYN went to several upstreams, as the store has no flows.
    """

    era: int
    knows_ended: bool
    missing: tuple[UpstreamEntry, ...]
    ended: tuple[UpstreamEntry, ...]
    held: tuple[tuple[UpstreamEntry, UpstreamEntry], ...]
    seconds_by_domain: dict[str, float]
    reopened_flows: tuple[ReopenedFlowUpdate, ...] = ()


_ENCODER: Final = msgspec.msgpack.Encoder()
_DECODER: Final = msgspec.msgpack.Decoder(Unlisted)


def make_unlisted_handlers(node: GossipNode) -> dict[str, RequestHandler]:
    """Return the HTTP handler that serves what the lists lack, by its path."""

    def respond(query: str) -> ServerResponse:
        body = _ENCODER.encode(_describe_unlisted(node, steady_seconds()))
        bucket = node.steering.local_instance.budgets.topics
        if not spend_any(bucket, len(body), steady_seconds()):
            record_deferred(node.traffic, Cause.TOPIC, 1)
            return _UNAVAILABLE, 'text/plain', b''
        record_sent(node.traffic, Cause.TOPIC, len(body))
        return _OK, 'application/msgpack', body

    return {_PATH: respond}


def can_fetch_unlisted(node: GossipNode, sender_era: int) -> bool:
    """Return whether to ask an instance of an era for what the lists lack.

    This instance must have the lists, and the other must know of the same
    return of the store.
    """
    gossip = node.gossip
    has_lists = (
        gossip.revision_by_topic[Topic.UPSTREAMS]
        and (gossip.revision_by_topic[Topic.DOMAINS_OUT])
    )
    is_same_era = sender_era == gossip.era_by_topic[Topic.UPSTREAMS]
    return bool(has_lists and is_same_era and node.unlisted_requests_left)


def decode_unlisted(body: bytes) -> Unlisted:
    """Decode a response to `/unlisted`; raise `msgspec.DecodeError`."""
    return _DECODER.decode(body)


async def fetch_unlisted(node: GossipNode, address: Address) -> None:
    """Ask another instance, unless enough others have been asked.

    The first one that knows all ended upstreams is enough.
    """
    node.unlisted_requests_left -= 1
    connection = Connection(address)
    try:
        await _request_and_apply(node, connection)
    except _FETCH_ERRORS as error:
        emit(Event.UPDATE_FAILED, peer=address[0], error=error, kind='unlisted')
    finally:
        connection.close()


async def _request_and_apply(node: GossipNode, connection: Connection) -> None:
    response = await connection.request('GET', _PATH, FETCH_TIMEOUT_SECONDS)
    # An instance of a former release does not have the path.
    if response.status == _OK:
        _apply(node, decode_unlisted(response.body), steady_seconds())


def _describe_unlisted(node: GossipNode, now: float) -> Unlisted:
    pool = node.steering.pool
    return Unlisted(
        node.gossip.era_by_topic[Topic.UPSTREAMS],
        pool.knows_ended,
        tuple(list_unregistered(pool, is_ended=False)),
        tuple(list_unregistered(pool, is_ended=True)),
        tuple(list_held(pool)),
        dict(_list_kept_out(node.steering, now)),
        tuple(
            list_latest(
                node.steering.reopened_flows,
                MAX_REOPENED_FLOWS,
                now,
                REOPENED_FLOW_SECONDS,
            )
        ),
    )


def _apply(node: GossipNode, unlisted: Unlisted, now: float) -> None:
    """Add to what this instance knows; replace nothing."""
    steering = node.steering
    merge_reopened_updates(node, unlisted.reopened_flows, now)
    if unlisted.era != node.gossip.era_by_topic[Topic.UPSTREAMS]:
        return
    for missing in unlisted.missing:
        add_unregistered(steering.pool, missing, now, is_ended=False)
    for ended in unlisted.ended:
        add_unregistered(steering.pool, ended, now, is_ended=True)
    for held, known in unlisted.held:
        hold_entry(steering.pool, held, known, now)
    for domain, seconds in unlisted.seconds_by_domain.items():
        steering.domains_out.setdefault(domain, now + seconds)
    if unlisted.knows_ended:
        node.unlisted_requests_left = 0
        steering.pool.knows_ended = True


def _list_kept_out(
    steering: Steering, now: float
) -> Iterator[tuple[str, float]]:
    for domain, returned_at in steering.domains_out.items():
        if now < returned_at < math.inf:
            yield domain, returned_at - now
