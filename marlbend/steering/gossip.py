"""Keep the instances informed with few calls to the platform.

One instance reads the platform for all: the first by rank of those that live
and whose calls succeed.  The others learn from beats which revision of each
topic is the latest, how old that knowledge is, and what changed just now; who
missed one fetches what changed since, or the whole topic, from whoever told of
it.  An instance
whose knowledge grows too old reads for itself, so nothing depends on the
reader, or on instances agreeing who it is.

Answers the load of a growing fleet on a store whose rates grow more slowly.
"""

import enum
from collections.abc import Iterator
from random import Random
from typing import Final, final

from marlbend.steering.members import (
    GONE_SECONDS,
    Member,
    Members,
    describe_member,
    find_age,
    forget_member,
    merge_member,
    merge_seen,
    sample_live,
)
from marlbend.steering.recent_changes import RecentChanges, list_changes
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberLastSeen,
    TopicChanges,
    TopicRevision,
)

__all__ = (
    'GossipState',
    'Topic',
    'confirm_revision',
    'is_applicable',
    'is_reader',
    'list_live',
    'make_heartbeat',
    'merge_heartbeat',
    'record_recovery',
    'should_read_platform',
    'update_revision',
)

# Of so many others a beat tells when they were heard; of the first few it says
# all, so that each of hundreds is described to an instance every ten seconds.
MEMBERS_SENT: Final = 12
MEMBERS_DESCRIBED: Final = 2
# A dead reader is noticed after seconds, so that this adds little.
RANKED_SECONDS: Final = 0.25
_MILLISECONDS: Final = 1000


@enum.unique
@final
class Topic(enum.IntEnum):
    """Name what the platform holds for the instances."""

    CONFIGURATION = 0
    UPSTREAMS = 1
    DOMAINS_OUT = 2


@final
class GossipState:
    """Hold what an instance knows, how old it is, and from whom to learn.

    `revision_by_topic` is zero before the first list.  At `confirmed_by_topic`
    (monotonic seconds) that revision was the latest, and at `recovered_at_by_topic`
    the platform answered first after a call that failed.  `staleness_limit_by_topic`
    is the age from which on the instance reads for itself, in seconds.
    `recent_changes` holds the latest changes.
    `first` tells whether this instance was the first by rank at `ranked_at`.
    """

    __slots__ = (
        'confirmed_by_topic',
        'first',
        'members',
        'myself',
        'ranked_at',
        'recent_changes',
        'recovered_at_by_topic',
        'revision_by_topic',
        'staleness_limit_by_topic',
    )

    def __init__(
        self,
        myself: Member,
        staleness_limit_by_topic: dict[Topic, float],
    ) -> None:
        """Start knowing nothing and nobody."""
        self.myself = myself
        self.staleness_limit_by_topic = staleness_limit_by_topic
        self.members = Members(myself)
        self.first = False
        self.ranked_at = float('-inf')
        self.revision_by_topic = dict.fromkeys(Topic, 0)
        self.confirmed_by_topic = dict.fromkeys(Topic, float('-inf'))
        self.recent_changes = RecentChanges()
        self.recovered_at_by_topic = dict.fromkeys(Topic, float('-inf'))


def confirm_revision(
    gossip: GossipState, topic: Topic, revision: int, now: float
) -> None:
    """Note that a revision was the latest at a time."""
    gossip.revision_by_topic[topic] = revision
    known = gossip.confirmed_by_topic[topic]
    gossip.confirmed_by_topic[topic] = max(known, now)


def update_revision(gossip: GossipState, topic: Topic, revision: int) -> None:
    """Note that a later revision is known, of an age that is told elsewhere."""
    gossip.revision_by_topic[topic] = revision


def record_recovery(gossip: GossipState, topic: Topic, now: float) -> None:
    """Note that the platform answers again after a call that failed."""
    known = gossip.recovered_at_by_topic[topic]
    gossip.recovered_at_by_topic[topic] = max(known, now)


def is_applicable(gossip: GossipState, changes: TopicChanges) -> bool:
    """Tell whether changes bring what is known to a later revision."""
    known = gossip.revision_by_topic[Topic(changes.topic)]
    return changes.since <= known < changes.until


def is_reader(gossip: GossipState, now: float) -> bool:
    """Tell whether this instance is the first by rank of those that can.

    That is looked up anew after a while only; readers that overlap do no harm.
    """
    if not gossip.myself.can_read:
        return False
    if now - gossip.ranked_at > RANKED_SECONDS:
        gossip.ranked_at = now
        gossip.first = not any(
            member.can_read
            and member.rank < gossip.myself.rank
            and now - member.heard_at < GONE_SECONDS
            for member in gossip.members.by_name.values()
        )
    return gossip.first


def list_live(gossip: GossipState, now: float) -> Iterator[Member]:
    """Yield the live instances, this one first."""
    yield gossip.myself
    for member in gossip.members.by_name.values():
        if now - member.heard_at < GONE_SECONDS:
            yield member


def should_read_platform(gossip: GossipState, topic: Topic, now: float) -> bool:
    """Tell whether this instance has to read a topic by itself."""
    age = now - gossip.confirmed_by_topic[topic]
    return age > gossip.staleness_limit_by_topic[topic] or is_reader(
        gossip, now
    )


def make_heartbeat(
    gossip: GossipState,
    random: Random,
    now: float,
    *,
    in_full: bool = False,
) -> Heartbeat:
    """Return a beat that tells of members, topics and recent changes.

    With `in_full` it describes as many members as it would else name by rank,
    for an instance that has just come.
    """
    others = sample_live(gossip.members, random, now)
    described = MEMBERS_SENT if in_full else MEMBERS_DESCRIBED
    gossip.myself.heard_at = now
    told = (gossip.myself, *others[:described])
    return Heartbeat(
        tuple(describe_member(member, now) for member in told),
        tuple(_describe_topics(gossip, now)),
        changes=tuple(list_changes(gossip.recent_changes, now)),
        seen=tuple(
            MemberLastSeen(
                member.rank, find_age(member.heard_at, now), member.can_read
            )
            for member in others[described:MEMBERS_SENT]
        ),
    )


def merge_heartbeat(
    gossip: GossipState, beat: Heartbeat, now: float
) -> list[Topic]:
    """Take a beat in; return the topics of which its sender knows more."""
    for told in beat.members:
        merge_member(gossip.members, told, now)
    for seen in beat.seen:
        known = gossip.members.by_rank.get(seen.rank)
        if known is not None:
            merge_seen(known, seen, now)
    if beat.leaving:
        forget_member(gossip.members, beat.members[0].name)
    return list(_merge_topics(gossip, beat, now))


def _merge_topics(
    gossip: GossipState, beat: Heartbeat, now: float
) -> Iterator[Topic]:
    for told in beat.topics:
        topic = Topic(told.topic)
        known = gossip.revision_by_topic[topic]
        if told.back_age >= 0:
            record_recovery(gossip, topic, now - told.back_age / _MILLISECONDS)
        if told.revision > known:
            yield topic
        elif told.revision == known and known:
            confirmed = now - told.age / _MILLISECONDS
            confirm_revision(gossip, topic, known, confirmed)


def _describe_topics(
    gossip: GossipState, now: float
) -> Iterator[TopicRevision]:
    for topic, revision in gossip.revision_by_topic.items():
        if revision:
            age = find_age(gossip.confirmed_by_topic[topic], now)
            back = gossip.recovered_at_by_topic[topic]
            back_age = find_age(back, now) if back > 0 else -1
            yield TopicRevision(topic, revision, age, back_age)
