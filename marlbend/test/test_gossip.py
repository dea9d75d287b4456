"""Pass changes and members on between instances, without a network."""

import json
from random import Random

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.changes import encode_changes, take_told_changes
from marlbend.platform.objects import StoredObject
from marlbend.steering import Place, Steering, Ways
from marlbend.steering.gossip import (
    GossipState,
    Topic,
    confirm_revision,
    make_heartbeat,
    merge_heartbeat,
)
from marlbend.steering.members import Member
from marlbend.steering.recent_changes import (
    list_changes,
    list_since,
    record_changes,
)
from marlbend.test.edge import make_registration
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberLastSeen,
    MemberUpdate,
    TopicChanges,
    TopicRevision,
    encode_heartbeat,
)

TELLER = (MemberUpdate('n2', ('127.0.0.1', 2), 'a', 0, can_read=True),)
# Both sides of what is known.
PAIRS = ((6, 8), (3, 5))


def test_changes_that_do_not_follow_are_left() -> None:
    """What is known stays: it may be later, or a change may be missing."""
    steering = make_steering()
    gossip = make_known_news(5)
    later, earlier = (
        make_change(since, until, f'i-{until}') for since, until in PAIRS
    )
    assert not take_told_changes(steering, gossip, (later, earlier), 'n2')
    assert not steering.pool.by_name
    assert gossip.revision_by_topic[Topic.UPSTREAMS] == 5


def test_changes_that_overlap_are_taken_in_order() -> None:
    steering = make_steering()
    gossip = make_known_news(5)
    first, second = make_change(4, 7, 'i-7'), make_change(7, 9, 'i-9')
    assert take_told_changes(steering, gossip, (second, first), 'n2')
    assert not take_told_changes(steering, gossip, (second, first), 'n2')
    assert set(steering.pool.by_name) == {'i-7', 'i-9'}
    assert gossip.revision_by_topic[Topic.UPSTREAMS] == 9
    now = steady_seconds()
    kept = list(list_changes(gossip.recent_changes, now))
    assert kept == [first, second]
    assert not list(list_changes(gossip.recent_changes, now + 2))


def test_changes_that_cannot_be_read_are_fetched() -> None:
    steering = make_steering()
    gossip = make_known_news(5)
    spoiled = TopicChanges(Topic.UPSTREAMS, 5, 7, b'\xc1')
    take_told_changes(steering, gossip, (spoiled,), 'n2')
    beat = Heartbeat(TELLER, (TopicRevision(Topic.UPSTREAMS, 7, 0),))
    assert merge_heartbeat(gossip, beat, 100) == [Topic.UPSTREAMS]


def test_long_changes_are_told_to_those_who_ask_only() -> None:
    gossip = make_known_news(5)
    long = TopicChanges(Topic.UPSTREAMS, 5, 7, bytes(10_000))
    record_changes(gossip.recent_changes, long, 100)
    assert not list(list_changes(gossip.recent_changes, 100))
    assert list_since(gossip.recent_changes, Topic.UPSTREAMS, 5, 7) == (long,)


def test_changes_are_kept_within_bounds() -> None:
    gossip = make_known_news(5)
    for number in range(100):
        change = TopicChanges(Topic.UPSTREAMS, number, number + 1, bytes(1000))
        record_changes(gossip.recent_changes, change, 100)
    assert len(gossip.recent_changes.kept) == 64
    assert not list_since(gossip.recent_changes, Topic.UPSTREAMS, 0, 100)
    assert (
        len(list_since(gossip.recent_changes, Topic.UPSTREAMS, 90, 100)) == 10
    )
    assert not list_since(gossip.recent_changes, Topic.UPSTREAMS, 90, 101)
    assert not list_since(gossip.recent_changes, Topic.CONFIGURATION, 90, 100)


def test_members_are_described_first_and_then_named_by_rank() -> None:
    gossip = make_known_news(5)
    for number in range(30):
        told = MemberUpdate(
            f'instance-{number:04}',
            ('127.0.0.100', 6083),
            'a',
            0,
            can_read=True,
        )
        merge_heartbeat(gossip, Heartbeat((told,)), 100)
    first = make_heartbeat(gossip, Random(1), 100, in_full=True)
    assert len(first.members) == 13
    assert not first.seen
    later = make_heartbeat(gossip, Random(1), 101)
    assert len(later.members) == 3
    assert len(later.seen) == 10
    assert len(encode_heartbeat(later)) < len(encode_heartbeat(first)) / 2


def test_who_was_heard_is_told_by_rank() -> None:
    gossip = make_known_news(5)
    merge_heartbeat(gossip, Heartbeat(TELLER), 100)
    known = gossip.members.by_name['n2']
    other = (MemberUpdate('n3', ('127.0.0.1', 3), 'a', 0, can_read=True),)
    seen = (MemberLastSeen(known.rank, 1000, False),)
    merge_heartbeat(gossip, Heartbeat(other, seen=seen), 102)
    assert known.heard_at == 101
    assert not known.can_read
    older = (MemberLastSeen(known.rank, 5000, True),)
    merge_heartbeat(gossip, Heartbeat(other, seen=older), 103)
    assert known.heard_at == 101
    stranger = MemberLastSeen(known.rank + 1, 0, True)
    merge_heartbeat(gossip, Heartbeat(other, seen=(stranger,)), 103)
    assert set(gossip.members.by_name) == {'n2', 'n3'}
    merge_heartbeat(gossip, Heartbeat(TELLER, leaving=True), 104)
    assert set(gossip.members.by_name) == {'n3'}
    assert known.rank not in gossip.members.by_rank


def make_steering() -> Steering:
    def ignore(*parts: object) -> None:
        """Send nothing."""

    ways = Ways(ignore, ignore, ignore, ignore)
    return Steering(Place('n1', 'a'), ways, Random(1))


def make_known_news(revision: int) -> GossipState:
    myself = Member(
        MemberUpdate('n1', ('127.0.0.1', 1), 'a', 0, can_read=True), 100
    )
    gossip = GossipState(myself, dict.fromkeys(Topic, 1.0))
    confirm_revision(gossip, Topic.UPSTREAMS, revision, 100)
    return gossip


def make_change(since: int, until: int, name: str) -> TopicChanges:
    spec = json.dumps(make_registration()).encode()
    stored = json.dumps({'meta': {'name': name}}).encode()
    changed = msgspec.json.decode(stored, type=StoredObject)
    changed.spec = msgspec.Raw(spec)
    body = encode_changes(Topic.UPSTREAMS, [(changed, False)])
    return TopicChanges(Topic.UPSTREAMS, since, until, body)
