"""Exchange beats with other instances, and fetch what they know better.

One datagram socket on the control endpoint carries the beats; the same port
over TCP serves what an instance knows of each topic.
"""

import asyncio
from collections.abc import Callable
from typing import Final, final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.beliefs import (
    decode_whole,
    encode_whole,
    take_whole,
)
from marlbend.edge.changes import take_told_changes
from marlbend.edge.loads import take_upstream_news, tell_far, tell_near
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
    'make_pages',
    'make_spread',
    'receive_beat',
    'send_beats',
    'send_farewell',
    'spread_alarm',
    'spread_news',
    'stop_fetching',
)

Address = tuple[str, int]

# Loads change with every request, which takes some ten milliseconds; four
# beats a second cost less than 1% of a quarter of a core.
BEAT_SECONDS: Final = 0.25
# Each seed is asked about every ten seconds.
SEED_CHANCE: Final = 0.025
FETCH_SECONDS: Final = 1.0
# An alarm reaches the rest of a larger domain with the next beats.
ALARM_TARGETS: Final = 32
# What is found out within this time goes with the next beat.
ALARM_SECONDS: Final = 0.03
_MILLISECONDS: Final = 1000
_OK: Final = 200
_PATH: Final = '/beliefs/{topic}'
_SINCE: Final = 'since='


class _Told(msgspec.Struct, array_like=True, frozen=True):
    """Carry what an instance knows of a topic, and how old that is.

    With `changes`, which lead to the revision from the one asked about, the
    rest is empty.
    """

    revision: int
    age: int
    whole: bytes
    changes: tuple[TopicChanges, ...] = ()


@final
class Peers:
    """Hold the way to other instances.

    `fetching` holds the topics that are being fetched now, `tasks` the tasks
    that do it, and `alarmed_at` when the latest alarm was sent.
    """

    __slots__ = (
        'alarmed_at',
        'fetching',
        'gossip',
        'seeds',
        'send',
        'steering',
        'tasks',
    )

    def __init__(
        self,
        gossip: GossipState,
        steering: Steering,
        seeds: tuple[Address, ...],
        send: Callable[[bytes, Address], None],
    ) -> None:
        """Start without having heard of anybody."""
        self.gossip = gossip
        self.steering = steering
        self.seeds = seeds
        self.send = send
        self.alarmed_at: float = 0
        self.fetching: set[Topic] = set()
        self.tasks: set[asyncio.Task[None]] = set()


async def send_beats(peers: Peers) -> None:
    """Send beats to a few instances, and ask the seeds.

    They are asked until one answers, and one of them now and then after that:
    parts of the fleet that were cut off for long may have forgotten each other.
    """
    random = peers.steering.random
    while True:
        alone = not peers.gossip.members.by_name
        for seed in peers.seeds:
            if alone or random.random() < SEED_CHANCE:
                peers.send(_encode(peers, '', answer=True), seed)
        if random.random() < SEED_CHANCE:
            remove_expired_members(peers.gossip.members, steady_seconds())
        spread_news(peers)
        await asyncio.sleep(BEAT_SECONDS)


def spread_news(peers: Peers) -> None:
    """Send one beat to each of a few instances."""
    gossip = peers.gossip
    targets = choose_targets(gossip.members, peers.steering.random)
    beat_by_domain: dict[str, bytes] = {}
    for member in targets:
        beat = beat_by_domain.get(member.domain) or _encode(
            peers, member.domain
        )
        beat_by_domain[member.domain] = beat
        peers.send(beat, member.endpoint)


def spread_alarm(peers: Peers) -> None:
    """Tell the own domain at once what this instance has just found out."""
    now = steady_seconds()
    if now - peers.alarmed_at < ALARM_SECONDS:
        return
    peers.alarmed_at = now
    gossip = peers.gossip
    beat = _encode(peers, gossip.myself.domain)
    for member in gossip.members.local[:ALARM_TARGETS]:
        peers.send(beat, member.endpoint)


def send_farewell(peers: Peers) -> None:
    """Tell every instance known that this one stops."""
    now = steady_seconds()
    members = make_heartbeat(peers.gossip, peers.steering.random, now).members
    farewell = encode_heartbeat(Heartbeat(members[:1], leaving=True))
    for member in peers.gossip.members.by_name.values():
        peers.send(farewell, member.endpoint)


async def stop_fetching(peers: Peers) -> None:
    """Fetch nothing more, and wait until what was begun has ended."""
    while peers.tasks:
        for task in peers.tasks:
            task.cancel()
        await asyncio.gather(*peers.tasks, return_exceptions=True)
    peers.fetching.update(Topic)


def receive_beat(peers: Peers, datagram: bytes, sender: Address) -> None:
    """Take a beat in and fetch what its sender knows better."""
    beat = decode_heartbeat(datagram)
    if beat is None or beat.members[0].endpoint != sender:
        return
    if sender == peers.gossip.myself.endpoint:
        return
    now = steady_seconds()
    told = beat.members[0]
    if take_told_changes(peers.steering, peers.gossip, beat.changes, told.name):
        spread_news(peers)
    for topic in merge_heartbeat(peers.gossip, beat, now):
        if topic not in peers.fetching:
            peers.fetching.add(topic)
            task = asyncio.create_task(_fetch(peers, topic, sender))
            peers.tasks.add(task)
            task.add_done_callback(peers.tasks.discard)
    take_upstream_news(peers.steering, told, beat, now)
    if beat.answer:
        peers.send(_encode(peers, told.domain, in_full=True), sender)


def make_spread(peers: Peers) -> Callable[[TopicChanges], None]:
    """Return what tells others at once of changes that the platform told."""

    def spread(changes: TopicChanges) -> None:
        record_changes(peers.gossip.recent_changes, changes, steady_seconds())
        spread_news(peers)

    return spread


def make_pages(peers: Peers) -> dict[str, RequestHandler]:
    """Return the pages that serve what this instance knows."""

    def page_of(topic: Topic) -> RequestHandler:
        def answer(query: str) -> ServerResponse:
            if not peers.gossip.revision_by_topic[topic]:
                return 503, 'text/plain', b''
            told = _describe_topic(peers, topic, query)
            return _OK, 'application/msgpack', msgspec.msgpack.encode(told)

        return answer

    return {_PATH.format(topic=int(topic)): page_of(topic) for topic in Topic}


def _describe_topic(peers: Peers, topic: Topic, query: str) -> _Told:
    """Return the changes since the revision in a query, or all."""
    gossip = peers.gossip
    revision = gossip.revision_by_topic[topic]
    age = steady_seconds() - gossip.confirmed_at_by_topic[topic]
    known = query.removeprefix(_SINCE)
    changes: tuple[TopicChanges, ...] = ()
    if known.isdecimal():
        changes = list_since(gossip.recent_changes, topic, int(known), revision)
    whole = b'' if changes else encode_whole(peers.steering, topic)
    return _Told(revision, int(age * _MILLISECONDS), whole, changes)


async def _fetch(peers: Peers, topic: Topic, sender: Address) -> None:
    connection = Connection(sender)
    path = _PATH.format(topic=int(topic))
    known = peers.gossip.revision_by_topic[topic]
    target = f'{path}?{_SINCE}{known}'
    try:
        _take_answer(
            peers,
            topic,
            await connection.request('GET', target, FETCH_SECONDS),
            sender,
        )
    except (MarlbendError, msgspec.DecodeError) as error:
        emit(Event.FETCH_FAILED, peer=sender[0], error=error)
    finally:
        connection.close()
        peers.fetching.discard(topic)


def _take_answer(
    peers: Peers,
    topic: Topic,
    answer: ClientResponse,
    sender: Address,
) -> None:
    if answer.status != _OK:
        return
    told = msgspec.msgpack.decode(answer.body, type=_Told)
    if told.revision <= peers.gossip.revision_by_topic[topic]:
        return
    now = steady_seconds()
    if told.changes:
        take_told_changes(peers.steering, peers.gossip, told.changes, sender[0])
    else:
        take_whole(peers.steering, topic, decode_whole(topic, told.whole))
        update_revision(peers.gossip, topic, told.revision)
    if peers.gossip.revision_by_topic[topic] == told.revision:
        confirmed = now - told.age / _MILLISECONDS
        confirm_revision(peers.gossip, topic, told.revision, confirmed)
    spread_news(peers)


def _encode(
    peers: Peers,
    domain: str,
    *,
    answer: bool = False,
    in_full: bool = False,
) -> bytes:
    """Return a beat for instances of a domain, empty where it is not known."""
    now = steady_seconds()
    steering = peers.steering
    beat = make_heartbeat(peers.gossip, steering.random, now, in_full=in_full)
    if domain == peers.gossip.myself.domain:
        upstreams = tuple(tell_near(steering, now))
    else:
        upstreams = tuple(tell_far(steering, domain, now))
    return encode_heartbeat(
        msgspec.structs.replace(beat, upstreams=upstreams, answer=answer)
    )
