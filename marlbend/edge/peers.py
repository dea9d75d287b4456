"""Exchange heartbeats with other instances, and fetch newer topics from them.

A UDP socket on the control endpoint carries the heartbeats; the same port over
TCP serves the contents of each topic over HTTP.
"""

import asyncio
from collections.abc import Callable
from typing import Final, final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.changes import apply_peer_changes
from marlbend.edge.topics import (
    apply_topic,
    decode_topic,
    encode_topic,
)
from marlbend.edge.upstream_updates import (
    merge_upstream_updates,
    updates_for_local_domain,
    updates_for_remote_domain,
)
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.http import (
    ClientResponse,
    Connection,
    RequestHandler,
    ServerResponse,
)
from marlbend.steering.gossip import (
    GossipState,
    Topic,
    confirm_revision,
    make_heartbeat,
    merge_heartbeat,
    update_revision,
)
from marlbend.steering.members import choose_targets, remove_expired_members
from marlbend.steering.recent_changes import list_since, record_changes
from marlbend.steering.state import Steering
from marlbend.wire.heartbeats import (
    Heartbeat,
    TopicChanges,
    decode_heartbeat,
    encode_heartbeat,
)

__all__ = (
    'Peers',
    'announce_departure',
    'make_announcer',
    'make_topic_handlers',
    'receive_heartbeat',
    'send_gossip_round',
    'send_heartbeats',
    'send_urgent_heartbeats',
    'stop_fetching',
)

Address = tuple[str, int]

# Load changes with every request, which takes about 10 ms.  Four heartbeats a
# second cost less than 1% of a quarter of a core.
HEARTBEAT_SECONDS: Final = 0.25
# With this probability per heartbeat, each seed is contacted about every 10 s.
SEED_PROBABILITY: Final = 0.025
FETCH_TIMEOUT_SECONDS: Final = 1.0
# In a larger domain, the other members learn from the next heartbeats.
URGENT_TARGETS: Final = 32
# Updates within this time of an urgent heartbeat wait for the periodic one.
URGENT_INTERVAL_SECONDS: Final = 0.03
_MILLISECONDS_PER_SECOND: Final = 1000
_OK: Final = 200
_TOPIC_PATH: Final = '/beliefs/{topic}'
_SINCE_PREFIX: Final = 'since='


class _TopicReply(msgspec.Struct, array_like=True, frozen=True):
    """Carry the contents of a topic, or its changes since a revision.

    `age` is the time since `revision` was known to be the latest, in
    milliseconds.  `topic_contents` is empty if `changes` lead from the
    requested revision to this one.
    """

    revision: int
    age: int
    topic_contents: bytes
    changes: tuple[TopicChanges, ...] = ()


@final
class Peers:
    """Hold what communication with other instances needs.

    `send` sends a datagram to an address.  `fetching` holds the topics that
    are being fetched, and `tasks` the tasks that fetch them.  `urgent_sent_at`
    is when urgent heartbeats were last sent, in monotonic seconds.
    """

    __slots__ = (
        'fetching',
        'gossip',
        'seeds',
        'send',
        'steering',
        'tasks',
        'urgent_sent_at',
    )

    def __init__(
        self,
        gossip: GossipState,
        steering: Steering,
        seeds: tuple[Address, ...],
        send: Callable[[bytes, Address], None],
    ) -> None:
        """Start without fetches."""
        self.gossip = gossip
        self.steering = steering
        self.seeds = seeds
        self.send = send
        self.urgent_sent_at: float = 0
        self.fetching: set[Topic] = set()
        self.tasks: set[asyncio.Task[None]] = set()


async def send_heartbeats(peers: Peers) -> None:
    """Send heartbeats to a few instances and to seeds, until cancelled.

    All seeds are contacted until another instance is known, and each of them
    now and then after that: parts of the fleet that were partitioned for long
    may have removed each other from their members.
    """
    random = peers.steering.random
    while True:
        alone = not peers.gossip.members.by_name
        for seed in peers.seeds:
            if alone or random.random() < SEED_PROBABILITY:
                peers.send(
                    _encode_heartbeat(peers, '', reply_requested=True), seed
                )
        if random.random() < SEED_PROBABILITY:
            remove_expired_members(peers.gossip.members, steady_seconds())
        send_gossip_round(peers)
        await asyncio.sleep(HEARTBEAT_SECONDS)


def send_gossip_round(peers: Peers) -> None:
    """Send one heartbeat to each of a few instances."""
    gossip = peers.gossip
    targets = choose_targets(gossip.members, peers.steering.random)
    datagram_by_domain: dict[str, bytes] = {}
    for member in targets:
        datagram = datagram_by_domain.get(member.domain) or _encode_heartbeat(
            peers, member.domain
        )
        datagram_by_domain[member.domain] = datagram
        peers.send(datagram, member.endpoint)


def send_urgent_heartbeats(peers: Peers) -> None:
    """Send a heartbeat to the local domain before the next periodic one."""
    now = steady_seconds()
    if now - peers.urgent_sent_at < URGENT_INTERVAL_SECONDS:
        return
    peers.urgent_sent_at = now
    gossip = peers.gossip
    datagram = _encode_heartbeat(peers, gossip.myself.domain)
    for member in gossip.members.local[:URGENT_TARGETS]:
        peers.send(datagram, member.endpoint)


def announce_departure(peers: Peers) -> None:
    """Announce to every known instance that this one is leaving."""
    now = steady_seconds()
    members = make_heartbeat(peers.gossip, peers.steering.random, now).members
    datagram = encode_heartbeat(Heartbeat(members[:1], leaving=True))
    for member in peers.gossip.members.by_name.values():
        peers.send(datagram, member.endpoint)


async def stop_fetching(peers: Peers) -> None:
    """Cancel the running fetches, wait for them, and prevent new ones."""
    while peers.tasks:
        for task in peers.tasks:
            task.cancel()
        await asyncio.gather(*peers.tasks, return_exceptions=True)
    peers.fetching.update(Topic)


def receive_heartbeat(peers: Peers, datagram: bytes, sender: Address) -> None:
    """Merge a heartbeat, and fetch the topics that are newer at its sender.

    A heartbeat whose first member is not its sender is ignored.
    """
    heartbeat = decode_heartbeat(datagram)
    if heartbeat is None or heartbeat.members[0].endpoint != sender:
        return
    if sender == peers.gossip.myself.endpoint:
        return
    now = steady_seconds()
    sender_update = heartbeat.members[0]
    if apply_peer_changes(
        peers.steering, peers.gossip, heartbeat.changes, sender_update.name
    ):
        send_gossip_round(peers)
    for topic in merge_heartbeat(peers.gossip, heartbeat, now):
        if topic not in peers.fetching:
            peers.fetching.add(topic)
            task = asyncio.create_task(_fetch(peers, topic, sender))
            peers.tasks.add(task)
            task.add_done_callback(peers.tasks.discard)
    merge_upstream_updates(peers.steering, sender_update, heartbeat, now)
    if heartbeat.reply_requested:
        peers.send(
            _encode_heartbeat(peers, sender_update.domain, in_full=True), sender
        )


def make_announcer(peers: Peers) -> Callable[[TopicChanges], None]:
    """Return a function that gossips changes from the platform at once."""

    def announce(changes: TopicChanges) -> None:
        record_changes(peers.gossip.recent_changes, changes, steady_seconds())
        send_gossip_round(peers)

    return announce


def make_topic_handlers(peers: Peers) -> dict[str, RequestHandler]:
    """Return the HTTP handlers that serve topics to other instances by path."""

    def make_topic_handler(topic: Topic) -> RequestHandler:
        def respond(query: str) -> ServerResponse:
            if not peers.gossip.revision_by_topic[topic]:
                return 503, 'text/plain', b''
            reply = _make_topic_reply(peers, topic, query)
            return _OK, 'application/msgpack', msgspec.msgpack.encode(reply)

        return respond

    return {
        _TOPIC_PATH.format(topic=int(topic)): make_topic_handler(topic)
        for topic in Topic
    }


def _make_topic_reply(peers: Peers, topic: Topic, query: str) -> _TopicReply:
    """Return the changes since the revision in a query, or all contents."""
    gossip = peers.gossip
    revision = gossip.revision_by_topic[topic]
    age = steady_seconds() - gossip.confirmed_at_by_topic[topic]
    requested = query.removeprefix(_SINCE_PREFIX)
    changes: tuple[TopicChanges, ...] = ()
    if requested.isdecimal():
        changes = list_since(
            gossip.recent_changes, topic, int(requested), revision
        )
    topic_contents = b'' if changes else encode_topic(peers.steering, topic)
    return _TopicReply(
        revision, int(age * _MILLISECONDS_PER_SECOND), topic_contents, changes
    )


async def _fetch(peers: Peers, topic: Topic, sender: Address) -> None:
    connection = Connection(sender)
    path = _TOPIC_PATH.format(topic=int(topic))
    known_revision = peers.gossip.revision_by_topic[topic]
    target = f'{path}?{_SINCE_PREFIX}{known_revision}'
    try:
        _apply_response(
            peers,
            topic,
            await connection.request('GET', target, FETCH_TIMEOUT_SECONDS),
            sender,
        )
    except (MarlbendError, msgspec.DecodeError) as error:
        emit(Event.UPDATE_FAILED, peer=sender[0], error=error)
    finally:
        connection.close()
        peers.fetching.discard(topic)


def _apply_response(
    peers: Peers,
    topic: Topic,
    response: ClientResponse,
    sender: Address,
) -> None:
    if response.status != _OK:
        return
    reply = msgspec.msgpack.decode(response.body, type=_TopicReply)
    if reply.revision <= peers.gossip.revision_by_topic[topic]:
        return
    now = steady_seconds()
    if reply.changes:
        apply_peer_changes(
            peers.steering, peers.gossip, reply.changes, sender[0]
        )
    else:
        apply_topic(
            peers.steering, topic, decode_topic(topic, reply.topic_contents)
        )
        update_revision(peers.gossip, topic, reply.revision)
    if peers.gossip.revision_by_topic[topic] == reply.revision:
        confirmed_at = now - reply.age / _MILLISECONDS_PER_SECOND
        confirm_revision(peers.gossip, topic, reply.revision, confirmed_at)
    send_gossip_round(peers)


def _encode_heartbeat(
    peers: Peers,
    domain: str,
    *,
    reply_requested: bool = False,
    in_full: bool = False,
) -> bytes:
    """Return the datagram of a heartbeat to instances of a domain.

    `domain` is empty if the domain of the receiver is unknown.
    """
    now = steady_seconds()
    steering = peers.steering
    heartbeat = make_heartbeat(
        peers.gossip, steering.random, now, in_full=in_full
    )
    if domain == peers.gossip.myself.domain:
        upstreams = tuple(updates_for_local_domain(steering, now))
    else:
        upstreams = tuple(updates_for_remote_domain(steering, domain, now))
    return encode_heartbeat(
        msgspec.structs.replace(
            heartbeat, upstreams=upstreams, reply_requested=reply_requested
        )
    )
