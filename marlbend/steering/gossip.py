"""Spread what the platform holds among the instances by gossip.

One instance, the elected reader, reads the platform for all: of the live
instances whose reads succeed, the one with the lowest rank, which is a checksum
of the name.  The others learn from heartbeats which revision of each topic is
the latest, how old that information is, and what changed recently.  An instance
that missed a change fetches the changes since its own revision, or the whole
topic, from the sender of the heartbeat.  An instance whose information exceeds
the staleness limit reads the platform directly, so nothing depends on the
reader, or on the instances agreeing on it.

Designed for a platform whose rate limits grow more slowly than the number of
instances.
"""

from collections.abc import Iterator
from random import Random
from typing import Final, final

from marlbend.steering.members import (
    MEMBER_TIMEOUT_SECONDS,
    Member,
    Members,
    age_in_milliseconds,
    describe_member,
    merge_last_seen,
    merge_member,
    remove_member,
    sample_live_members,
)
from marlbend.topics.history import list_fresh_changes
from marlbend.topics.knowledge import (
    Knowledge,
    Topic,
    describe_topic,
    is_known,
    merge_topic_revision,
)
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberLastSeen,
    TopicRevision,
)

__all__ = (
    'GossipState',
    'is_reader',
    'list_live_members',
    'make_heartbeat',
    'merge_heartbeat',
    'should_read_platform',
)

# A heartbeat reports when this many other members were last heard from.  The
# first few are described in full, so that with hundreds of members an instance
# receives the description of each of them about every ten seconds.
MEMBERS_REPORTED: Final = 12
MEMBERS_DESCRIBED: Final = 2
# Detecting a dead reader takes seconds, so this delay adds little to it.
RANK_CHECK_SECONDS: Final = 0.25


@final
class GossipState(Knowledge):
    """Hold the members, and what is known of each topic.

    `is_first` is whether this instance was the first by rank at
    `rank_checked_at`.  An instance that `is_leaving` reads for itself only.
    """

    __slots__ = (
        'is_first',
        'is_leaving',
        'members',
        'myself',
        'rank_checked_at',
    )

    def __init__(
        self,
        myself: Member,
        staleness_limit_by_topic: dict[Topic, float],
    ) -> None:
        """Start without revisions and other members."""
        super().__init__(staleness_limit_by_topic)
        self.myself = myself
        self.members = Members(myself)
        self.is_first = False
        self.is_leaving = False
        self.rank_checked_at = float('-inf')


def is_reader(gossip: GossipState, now: float) -> bool:
    """Return whether this instance is the elected reader of the platform.

    It is the first by rank of the live instances whose reads succeed.  The
    rank is cached briefly; two readers at the same time do no harm.  Once the
    store has an era, an instance that knows none is no reader for the others.
    """
    if not gossip.myself.can_read:
        return False
    if now - gossip.rank_checked_at > RANK_CHECK_SECONDS:
        gossip.rank_checked_at = now
        has_era = any(gossip.era_by_topic.values())
        gossip.is_first = not any(
            member.can_read
            and (member.knows_eras or not has_era)
            and member.rank < gossip.myself.rank
            and now - member.last_seen_at < MEMBER_TIMEOUT_SECONDS
            for member in gossip.members.by_name.values()
        )
    return gossip.is_first


def list_live_members(gossip: GossipState, now: float) -> Iterator[Member]:
    """Yield the live instances, this one first."""
    yield gossip.myself
    for member in gossip.members.by_name.values():
        if now - member.last_seen_at < MEMBER_TIMEOUT_SECONDS:
            yield member


def should_read_platform(gossip: GossipState, topic: Topic, now: float) -> bool:
    """Return whether this instance should read a topic from the platform."""
    age = now - gossip.confirmed_at_by_topic[topic]
    return age > gossip.staleness_limit_by_topic[topic] or is_reader(
        gossip, now
    )


def make_heartbeat(
    gossip: GossipState,
    random: Random,
    now: float,
    *,
    version: int = 0,
    in_full: bool = False,
) -> Heartbeat:
    """Return a heartbeat with members, topic revisions and recent changes.

    With `in_full`, for an instance that has just started, it describes in full
    the members that it would otherwise report by rank only.  `version` is the
    version of the configuration in force.
    """
    others = sample_live_members(gossip.members, random, now)
    described_count = MEMBERS_REPORTED if in_full else MEMBERS_DESCRIBED
    gossip.myself.last_seen_at = now
    described = (gossip.myself, *others[:described_count])
    return Heartbeat(
        tuple(describe_member(member, now) for member in described),
        tuple(_list_topic_revisions(gossip, version, now)),
        changes=tuple(list_fresh_changes(gossip.recent_changes, now)),
        last_seen=tuple(
            MemberLastSeen(
                member.rank,
                age_in_milliseconds(member.last_seen_at, now),
                member.can_read,
            )
            for member in others[described_count:MEMBERS_REPORTED]
        ),
    )


def merge_heartbeat(
    gossip: GossipState,
    heartbeat: Heartbeat,
    now: float,
    version: int = 0,
) -> list[Topic]:
    """Merge a heartbeat; return the topics whose revision is newer there.

    At the same revision, the configuration counts as newer if its version is
    higher than `version`: the store lost it, and the sender did not.
    """
    for update in heartbeat.members:
        merge_member(gossip.members, update, now)
    for seen in heartbeat.last_seen:
        known = gossip.members.by_rank.get(seen.rank)
        if known is not None:
            merge_last_seen(known, seen, now)
    if heartbeat.leaving:
        remove_member(gossip.members, heartbeat.members[0].name)
    return [
        Topic(reported.topic)
        for reported in heartbeat.topics
        if is_known(reported.topic)
        and merge_topic_revision(gossip, reported, version, now)
    ]


def _list_topic_revisions(
    gossip: GossipState,
    version: int,
    now: float,
) -> Iterator[TopicRevision]:
    for topic, revision in gossip.revision_by_topic.items():
        if revision:
            yield describe_topic(gossip, topic, version, now)
