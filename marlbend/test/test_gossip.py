"""Spread changes and members among instances by gossip, without a network."""

import json
from random import Random

import msgspec

from marlbend.clock import steady_seconds
from marlbend.platform.pages import StoredObject
from marlbend.steering import Callbacks, LocalInstance, Steering
from marlbend.steering.gossip import (
    GossipState,
    make_heartbeat,
    merge_heartbeat,
)
from marlbend.steering.members import Member
from marlbend.test.edge import make_registration
from marlbend.topics.changes import apply_peer_changes, encode_changes
from marlbend.topics.history import (
    list_fresh_changes,
    list_since,
    record_changes,
)
from marlbend.topics.knowledge import (
    Topic,
    confirm_revision,
)
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberLastSeen,
    MemberUpdate,
    TopicChanges,
    TopicRevision,
    encode_heartbeat,
)

SENDER = (MemberUpdate('n2', ('127.0.0.1', 2), 'a', 0, can_read=True),)
# `since` and `until` of changes that do not apply at revision 5.
LATER_AND_EARLIER = ((6, 8), (3, 5))


def test_changes_that_do_not_follow_the_known_revision_are_ignored() -> None:
    """Such changes are outdated, or changes before them are missing."""
    steering = make_steering()
    gossip = make_gossip(5)
    later, earlier = (
        make_change(since, until, f'i-{until}')
        for since, until in LATER_AND_EARLIER
    )
    assert not apply_peer_changes(steering, gossip, (later, earlier), 'n2')
    assert not steering.pool.by_name
    assert gossip.revision_by_topic[Topic.UPSTREAMS] == 5


def test_overlapping_changes_are_applied_in_order() -> None:
    steering = make_steering()
    gossip = make_gossip(5)
    first, second = make_change(4, 7, 'i-7'), make_change(7, 9, 'i-9')
    assert apply_peer_changes(steering, gossip, (second, first), 'n2')
    assert not apply_peer_changes(steering, gossip, (second, first), 'n2')
    assert set(steering.pool.by_name) == {'i-7', 'i-9'}
    assert gossip.revision_by_topic[Topic.UPSTREAMS] == 9
    now = steady_seconds()
    fresh = list(list_fresh_changes(gossip.recent_changes, now))
    assert fresh == [first, second]
    assert not list(list_fresh_changes(gossip.recent_changes, now + 2))


def test_topic_with_malformed_changes_is_fetched() -> None:
    steering = make_steering()
    gossip = make_gossip(5)
    malformed = TopicChanges(Topic.UPSTREAMS, 5, 7, b'\xc1')
    apply_peer_changes(steering, gossip, (malformed,), 'n2')
    heartbeat = Heartbeat(SENDER, (TopicRevision(Topic.UPSTREAMS, 7, 0),))
    assert merge_heartbeat(gossip, heartbeat, 100) == [Topic.UPSTREAMS]


def test_changes_too_long_for_a_heartbeat_are_sent_on_request_only() -> None:
    gossip = make_gossip(5)
    too_long = TopicChanges(Topic.UPSTREAMS, 5, 7, bytes(10_000))
    record_changes(gossip.recent_changes, too_long, 100)
    assert not list(list_fresh_changes(gossip.recent_changes, 100))
    assert list_since(gossip.recent_changes, Topic.UPSTREAMS, 5, 7) == (
        too_long,
    )


def test_long_change_does_not_hold_back_changes_of_other_topics() -> None:
    """They were left out of heartbeats for half a second."""
    gossip = make_gossip(5)
    too_long = TopicChanges(Topic.CONFIGURATION, 5, 7, bytes(10_000))
    later = TopicChanges(Topic.CONFIGURATION, 7, 9, bytes(10))
    upstreams = make_change(8, 9, 'i-9')
    domains = TopicChanges(Topic.DOMAINS_OUT, 8, 9, bytes(10))
    for changes in (too_long, later, upstreams, domains):
        record_changes(gossip.recent_changes, changes, 100)
    fresh = list_fresh_changes(gossip.recent_changes, 100)
    assert {each.topic for each in fresh} == {
        Topic.UPSTREAMS,
        Topic.DOMAINS_OUT,
    }


def test_long_change_does_not_evict_changes_of_other_topics() -> None:
    gossip = make_gossip(5)
    upstreams = make_change(5, 7, 'i-7')
    record_changes(gossip.recent_changes, upstreams, 100)
    too_long = TopicChanges(Topic.CONFIGURATION, 5, 7, bytes(100_000))
    record_changes(gossip.recent_changes, too_long, 100)
    assert list_since(gossip.recent_changes, Topic.UPSTREAMS, 5, 7) == (
        upstreams,
    )
    assert not list_since(gossip.recent_changes, Topic.CONFIGURATION, 5, 7)


def test_history_of_changes_is_bounded() -> None:
    gossip = make_gossip(5)
    for number in range(100):
        change = TopicChanges(Topic.UPSTREAMS, number, number + 1, bytes(1000))
        record_changes(gossip.recent_changes, change, 100)
    history = gossip.recent_changes.history_by_topic[Topic.UPSTREAMS]
    assert len(history) == 64
    assert not list_since(gossip.recent_changes, Topic.UPSTREAMS, 0, 100)
    assert (
        len(list_since(gossip.recent_changes, Topic.UPSTREAMS, 90, 100)) == 10
    )
    assert not list_since(gossip.recent_changes, Topic.UPSTREAMS, 90, 101)
    assert not list_since(gossip.recent_changes, Topic.CONFIGURATION, 90, 100)


def test_new_instance_gets_descriptions_and_later_heartbeats_report_ranks() -> (
    None
):
    gossip = make_gossip(5)
    for number in range(30):
        update = MemberUpdate(
            f'instance-{number:04}',
            ('127.0.0.100', 6083),
            'a',
            0,
            can_read=True,
        )
        merge_heartbeat(gossip, Heartbeat((update,)), 100)
    full = make_heartbeat(gossip, Random(1), 100, in_full=True)
    assert len(full.members) == 13
    assert not full.last_seen
    usual = make_heartbeat(gossip, Random(1), 101)
    assert len(usual.members) == 3
    assert len(usual.last_seen) == 10
    assert len(encode_heartbeat(usual)) < len(encode_heartbeat(full)) / 2


def test_last_seen_times_are_merged_by_rank() -> None:
    gossip = make_gossip(5)
    merge_heartbeat(gossip, Heartbeat(SENDER), 100)
    member = gossip.members.by_name['n2']
    other = (MemberUpdate('n3', ('127.0.0.1', 3), 'a', 0, can_read=True),)
    seen = (MemberLastSeen(member.rank, 1000, False),)
    merge_heartbeat(gossip, Heartbeat(other, last_seen=seen), 102)
    assert member.last_seen_at == 101
    assert not member.can_read
    older = (MemberLastSeen(member.rank, 5000, True),)
    merge_heartbeat(gossip, Heartbeat(other, last_seen=older), 103)
    assert member.last_seen_at == 101
    unknown = MemberLastSeen(member.rank + 1, 0, True)
    merge_heartbeat(gossip, Heartbeat(other, last_seen=(unknown,)), 103)
    assert set(gossip.members.by_name) == {'n2', 'n3'}
    merge_heartbeat(gossip, Heartbeat(SENDER, leaving=True), 104)
    assert set(gossip.members.by_name) == {'n3'}
    assert member.rank not in gossip.members.by_rank


def test_delayed_heartbeats_do_not_make_knowledge_look_younger() -> None:
    """The reader confirms a revision four times a second, then no longer."""
    reader, middle, last = (make_gossip(0) for _ in range(3))
    for step in range(40):
        now = 100 + step * 0.25
        confirm_revision(reader, Topic.UPSTREAMS, 5, now)
        pass_on(reader, middle, now, 0.01)
        pass_on(middle, last, now + 0.02, 0.01)
    for delay in (1, 2, 3):
        now = 110 + delay * 8
        pass_on(reader, middle, now, delay)
        pass_on(middle, last, now + delay + 0.1, delay)
        age = (
            now + 2 * delay + 0.1 - last.confirmed_at_by_topic[Topic.UPSTREAMS]
        )
        true_age = now + 2 * delay + 0.1 - 109.75
        assert age >= true_age - 0.05


def pass_on(
    sender: GossipState, receiver: GossipState, now: float, delay: float
) -> None:
    """Send what is known by a heartbeat that takes some seconds."""
    heartbeat = make_heartbeat(sender, Random(1), now)
    merge_heartbeat(receiver, heartbeat, now + delay)
    receiver.revision_by_topic[Topic.UPSTREAMS] = 5
    merge_heartbeat(receiver, heartbeat, now + delay)


def make_steering() -> Steering:
    def ignore(*parts: object) -> None:
        """Ignore the call."""

    callbacks = Callbacks(ignore, ignore, ignore, ignore)
    return Steering(LocalInstance('n1', 'a'), callbacks, Random(1))


def make_gossip(revision: int) -> GossipState:
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
