"""Keep the instances informed with few calls to the platform.

One instance reads the platform for all: the first by rank of those that live
and whose calls succeed.  The others learn from beats which revision of each
topic is the latest, how old that knowledge is, and what changed just now; who
missed a change fetches the whole topic from whoever told of it.  An instance
whose knowledge grows too old reads for itself, so nothing depends on the
reader, or on instances agreeing who it is.

Answers the load of a growing fleet on a store whose rates grow more slowly.
"""

import enum
import zlib
from collections import deque
from collections.abc import Iterator
from random import Random
from typing import Final, final

from marlbend.wire.beats import Beat, ChangesNews, MemberNews, TopicNews

__all__ = (
    'Member',
    'News',
    'Topic',
    'choose_targets',
    'follows',
    'is_due',
    'is_reader',
    'keep_changes',
    'list_changes',
    'list_live',
    'make_news',
    'merge_news',
    'note_back',
    'note_read',
)

# Beats come four times a second; a member is gone after missing many of them.
GONE_SECONDS: Final = 3.0
FORGOTTEN_SECONDS: Final = 60.0
MEMBERS_SENT: Final = 12
NEAR_TARGETS: Final = 3
FAR_TARGETS: Final = 1
# Changes are told for two beats beside the one that goes out at once; twelve
# copies from each instance that hears of them reach all but a few.
TOLD_SECONDS: Final = 0.5
# What a datagram of 9 kB has to spare beside members and upstreams.
CHANGES_BYTES: Final = 3_000
RECENT_KEPT: Final = 16
_MILLISECONDS: Final = 1000


@enum.unique
@final
class Topic(enum.IntEnum):
    """Name what the platform holds for the instances."""

    CONFIGURATION = 0
    UPSTREAMS = 1
    DOMAINS_OUT = 2


@final
class Member:
    """Describe one instance; `heard_at` is monotonic seconds."""

    __slots__ = ('domain', 'endpoint', 'fit', 'heard_at', 'name', 'rank')

    def __init__(self, told: MemberNews, heard_at: float) -> None:
        """Take over what was told."""
        self.name = told.name
        self.endpoint = told.endpoint
        self.domain = told.domain
        self.fit = told.fit
        self.heard_at = heard_at
        self.rank = zlib.crc32(told.name.encode())


@final
class Recent:
    """Hold what changed in a topic between two revisions, learned at `at`."""

    __slots__ = ('at', 'changes')

    def __init__(self, changes: ChangesNews, at: float) -> None:
        """Keep both."""
        self.changes = changes
        self.at = at


@final
class News:
    """Hold what an instance knows, how old it is, and from whom to learn.

    `revision_by_topic` is zero before the first list.  At `confirmed_by_topic`
    (monotonic seconds) that revision was the latest, and at `back_by_topic`
    the platform answered first after a call that failed.  `patience_by_topic`
    is the age from which on the instance reads for itself, in seconds.
    `recent` holds the latest changes.
    """

    __slots__ = (
        'back_by_topic',
        'confirmed_by_topic',
        'member_by_name',
        'myself',
        'patience_by_topic',
        'recent',
        'revision_by_topic',
    )

    def __init__(
        self,
        myself: Member,
        patience_by_topic: dict[Topic, float],
    ) -> None:
        """Start knowing nothing and nobody."""
        self.myself = myself
        self.patience_by_topic = patience_by_topic
        self.member_by_name: dict[str, Member] = {}
        self.revision_by_topic = dict.fromkeys(Topic, 0)
        self.confirmed_by_topic = dict.fromkeys(Topic, float('-inf'))
        self.recent: deque[Recent] = deque(maxlen=RECENT_KEPT)
        self.back_by_topic = dict.fromkeys(Topic, float('-inf'))


def note_read(news: News, topic: Topic, revision: int, now: float) -> None:
    """Note that a revision was the latest at a time."""
    news.revision_by_topic[topic] = revision
    known = news.confirmed_by_topic[topic]
    news.confirmed_by_topic[topic] = max(known, now)


def note_back(news: News, topic: Topic, now: float) -> None:
    """Note that the platform answers again after a call that failed."""
    known = news.back_by_topic[topic]
    news.back_by_topic[topic] = max(known, now)


def keep_changes(news: News, changes: ChangesNews, now: float) -> None:
    """Keep changes, to tell others of them for a while.

    Those that are too long for a datagram are fetched by whoever needs them.
    """
    if changes.since < changes.until and len(changes.body) <= CHANGES_BYTES:
        news.recent.append(Recent(changes, now))


def list_changes(news: News, now: float) -> Iterator[ChangesNews]:
    """Yield the changes of just now, as many as a datagram holds."""
    left = CHANGES_BYTES
    for recent in news.recent:
        if now - recent.at < TOLD_SECONDS:
            left -= len(recent.changes.body)
            if left >= 0:
                yield recent.changes


def follows(news: News, changes: ChangesNews) -> bool:
    """Tell whether changes bring what is known to a later revision."""
    known = news.revision_by_topic[Topic(changes.topic)]
    return changes.since <= known < changes.until


def is_reader(news: News, now: float) -> bool:
    """Tell whether this instance is the first by rank of those that can."""
    myself = news.myself
    return myself.fit and not any(
        member.fit
        and member.rank < myself.rank
        and now - member.heard_at < GONE_SECONDS
        for member in news.member_by_name.values()
    )


def list_live(news: News, now: float) -> Iterator[Member]:
    """Yield the live instances, this one first."""
    yield news.myself
    for member in news.member_by_name.values():
        if now - member.heard_at < GONE_SECONDS:
            yield member


def is_due(news: News, topic: Topic, now: float) -> bool:
    """Tell whether this instance has to read a topic by itself."""
    age = now - news.confirmed_by_topic[topic]
    return age > news.patience_by_topic[topic] or is_reader(news, now)


def make_news(
    news: News,
    random: Random,
    now: float,
) -> tuple[tuple[MemberNews, ...], tuple[TopicNews, ...]]:
    """Return what a beat tells of members and topics."""
    others = [
        member
        for member in news.member_by_name.values()
        if now - member.heard_at < GONE_SECONDS
    ]
    if len(others) > MEMBERS_SENT:
        others = random.sample(others, MEMBERS_SENT)
    news.myself.heard_at = now
    told = tuple(_describe(member, now) for member in (news.myself, *others))
    return told, tuple(_describe_topics(news, now))


def merge_news(news: News, beat: Beat, now: float) -> list[Topic]:
    """Take a beat in; return the topics of which its sender knows more."""
    for told in beat.members:
        _merge_member(news, told, now)
    if beat.leaving:
        news.member_by_name.pop(beat.members[0].name, None)
    return list(_merge_topics(news, beat, now))


def choose_targets(news: News, random: Random, now: float) -> list[Member]:
    """Return a few members for a beat, most of them of the own domain."""
    for name, member in tuple(news.member_by_name.items()):
        if now - member.heard_at > FORGOTTEN_SECONDS:
            news.member_by_name.pop(name)
    near: list[Member] = []
    far: list[Member] = []
    for member in news.member_by_name.values():
        own = member.domain == news.myself.domain
        (near if own else far).append(member)
    targets = random.sample(near, min(NEAR_TARGETS, len(near)))
    return targets + random.sample(far, min(FAR_TARGETS, len(far)))


def _merge_member(news: News, told: MemberNews, now: float) -> None:
    if told.name == news.myself.name:
        return
    heard_at = now - told.age / _MILLISECONDS
    known = news.member_by_name.get(told.name)
    if known is None or heard_at > known.heard_at:
        news.member_by_name[told.name] = Member(told, heard_at)


def _merge_topics(news: News, beat: Beat, now: float) -> Iterator[Topic]:
    for told in beat.topics:
        topic = Topic(told.topic)
        known = news.revision_by_topic[topic]
        if told.back_age >= 0:
            note_back(news, topic, now - told.back_age / _MILLISECONDS)
        if told.revision > known:
            yield topic
        elif told.revision == known and known:
            confirmed = now - told.age / _MILLISECONDS
            note_read(news, topic, known, confirmed)


def _describe(member: Member, now: float) -> MemberNews:
    return MemberNews(
        name=member.name,
        endpoint=member.endpoint,
        domain=member.domain,
        age=_age(member.heard_at, now),
        fit=member.fit,
    )


def _describe_topics(news: News, now: float) -> Iterator[TopicNews]:
    for topic, revision in news.revision_by_topic.items():
        if revision:
            age = _age(news.confirmed_by_topic[topic], now)
            back = news.back_by_topic[topic]
            back_age = _age(back, now) if back > 0 else -1
            yield TopicNews(topic, revision, age, back_age)


def _age(moment: float, now: float) -> int:
    return int((now - moment) * _MILLISECONDS)
