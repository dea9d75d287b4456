"""Pass changes and members on between instances, without a network."""

import json
from random import Random

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.changes import encode_changes, take_told_changes
from marlbend.platform.objects import StoredObject
from marlbend.steering import Callbacks, LocalInstance, Steering
from marlbend.steering.members import Member
from marlbend.steering.news import (
    News,
    Topic,
    make_beat,
    merge_news,
    note_read,
)
from marlbend.steering.recent import (
    keep_changes,
    list_changes,
    list_since,
)
from marlbend.test.edge import make_registration
from marlbend.wire.beats import (
    Beat,
    ChangesNews,
    MemberNews,
    SeenNews,
    TopicNews,
    encode_beat,
)

TELLER = (MemberNews('n2', ('127.0.0.1', 2), 'a', 0, fit=True),)
# Both sides of what is known.
PAIRS = ((6, 8), (3, 5))


def test_changes_that_do_not_follow_are_left() -> None:
    """What is known stays: it may be later, or a change may be missing."""
    steering = make_steering()
    news = make_known_news(5)
    later, earlier = (
        make_change(since, until, f'i-{until}') for since, until in PAIRS
    )
    assert not take_told_changes(steering, news, (later, earlier), 'n2')
    assert not steering.pool.by_name
    assert news.revision_by_topic[Topic.UPSTREAMS] == 5


def test_changes_that_overlap_are_taken_in_order() -> None:
    steering = make_steering()
    news = make_known_news(5)
    first, second = make_change(4, 7, 'i-7'), make_change(7, 9, 'i-9')
    assert take_told_changes(steering, news, (second, first), 'n2')
    assert not take_told_changes(steering, news, (second, first), 'n2')
    assert set(steering.pool.by_name) == {'i-7', 'i-9'}
    assert news.revision_by_topic[Topic.UPSTREAMS] == 9
    now = steady_seconds()
    kept = list(list_changes(news.recent, now))
    assert kept == [first, second]
    assert not list(list_changes(news.recent, now + 2))


def test_changes_that_cannot_be_read_are_fetched() -> None:
    steering = make_steering()
    news = make_known_news(5)
    spoiled = ChangesNews(Topic.UPSTREAMS, 5, 7, b'\xc1')
    take_told_changes(steering, news, (spoiled,), 'n2')
    beat = Beat(TELLER, (TopicNews(Topic.UPSTREAMS, 7, 0),))
    assert merge_news(news, beat, 100) == [Topic.UPSTREAMS]


def test_long_changes_are_told_to_those_who_ask_only() -> None:
    news = make_known_news(5)
    long = ChangesNews(Topic.UPSTREAMS, 5, 7, bytes(10_000))
    keep_changes(news.recent, long, 100)
    assert not list(list_changes(news.recent, 100))
    assert list_since(news.recent, Topic.UPSTREAMS, 5, 7) == (long,)


def test_changes_are_kept_within_bounds() -> None:
    news = make_known_news(5)
    for number in range(100):
        change = ChangesNews(Topic.UPSTREAMS, number, number + 1, bytes(1000))
        keep_changes(news.recent, change, 100)
    assert len(news.recent.kept) == 64
    assert not list_since(news.recent, Topic.UPSTREAMS, 0, 100)
    assert len(list_since(news.recent, Topic.UPSTREAMS, 90, 100)) == 10
    assert not list_since(news.recent, Topic.UPSTREAMS, 90, 101)
    assert not list_since(news.recent, Topic.CONFIGURATION, 90, 100)


def test_members_are_described_first_and_then_named_by_rank() -> None:
    news = make_known_news(5)
    for number in range(30):
        told = MemberNews(
            f'instance-{number:04}', ('127.0.0.100', 6083), 'a', 0, fit=True
        )
        merge_news(news, Beat((told,)), 100)
    first = make_beat(news, Random(1), 100, in_full=True)
    assert len(first.members) == 13
    assert not first.seen
    later = make_beat(news, Random(1), 101)
    assert len(later.members) == 3
    assert len(later.seen) == 10
    assert len(encode_beat(later)) < len(encode_beat(first)) / 2


def test_who_was_heard_is_told_by_rank() -> None:
    news = make_known_news(5)
    merge_news(news, Beat(TELLER), 100)
    known = news.members.by_name['n2']
    other = (MemberNews('n3', ('127.0.0.1', 3), 'a', 0, fit=True),)
    seen = (SeenNews(known.rank, 1000, False),)
    merge_news(news, Beat(other, seen=seen), 102)
    assert known.heard_at == 101
    assert not known.fit
    older = (SeenNews(known.rank, 5000, True),)
    merge_news(news, Beat(other, seen=older), 103)
    assert known.heard_at == 101
    stranger = SeenNews(known.rank + 1, 0, True)
    merge_news(news, Beat(other, seen=(stranger,)), 103)
    assert set(news.members.by_name) == {'n2', 'n3'}
    merge_news(news, Beat(TELLER, leaving=True), 104)
    assert set(news.members.by_name) == {'n3'}
    assert known.rank not in news.members.by_rank


def make_steering() -> Steering:
    def ignore(*parts: object) -> None:
        """Send nothing."""

    ways = Callbacks(ignore, ignore, ignore, ignore)
    return Steering(LocalInstance('n1', 'a'), ways, Random(1))


def make_known_news(revision: int) -> News:
    myself = Member(MemberNews('n1', ('127.0.0.1', 1), 'a', 0, fit=True), 100)
    news = News(myself, dict.fromkeys(Topic, 1.0))
    note_read(news, Topic.UPSTREAMS, revision, 100)
    return news


def make_change(since: int, until: int, name: str) -> ChangesNews:
    spec = json.dumps(make_registration()).encode()
    stored = json.dumps({'meta': {'name': name}}).encode()
    changed = msgspec.json.decode(stored, type=StoredObject)
    changed.spec = msgspec.Raw(spec)
    body = encode_changes(Topic.UPSTREAMS, [(changed, False)])
    return ChangesNews(Topic.UPSTREAMS, since, until, body)
