"""Spread what the platform holds among the instances by gossip.

One instance, the elected reader, reads the platform for all: of the live
instances whose reads succeed, the one with the lowest rank, which is a checksum
of the name.  The others learn from heartbeats which revision of each topic is
the latest, how old that information is, and what changed recently.  An instance
that missed a change fetches the changes since its own revision, or the whole
topic, from the sender of the heartbeat.  An instance whose information exceeds
the staleness limit reads the platform directly, so nothing depends on the
reader, or on the instances agreeing on it.

The store may come back from a copy that lacks its latest changes; its
revisions then go back, and count as those of a new era.  What is known of a
topic is ordered by era first, then by revision.  Instances of former releases
know no eras; what they report counts as of era zero.

Designed for a platform whose rate limits grow more slowly than the number of
instances.
"""

import enum
import os
from collections.abc import Iterator
from random import Random
from typing import Final, final

from marlbend.observe.transfers import TopicTransfers
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
from marlbend.steering.reader_clocks import ReaderClocks, convert_time
from marlbend.steering.recent_changes import (
    RecentChanges,
    forget_changes,
    list_fresh_changes,
)
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberLastSeen,
    TopicChanges,
    TopicRevision,
)

__all__ = (
    'Confirmation',
    'GossipState',
    'Topic',
    'confirm_revision',
    'enter_era',
    'is_applicable',
    'is_known',
    'is_newer',
    'is_reader',
    'list_live_members',
    'make_heartbeat',
    'merge_heartbeat',
    'record_recovery',
    'should_read_platform',
    'update_revision',
)

# A heartbeat reports when this many other members were last heard from.  The
# first few are described in full, so that with hundreds of members an instance
# receives the description of each of them about every ten seconds.
MEMBERS_REPORTED: Final = 12
MEMBERS_DESCRIBED: Final = 2
# Detecting a dead reader takes seconds, so this delay adds little to it.
RANK_CHECK_SECONDS: Final = 0.25
_CLOCK_BYTES: Final = 4
_MILLISECONDS_PER_SECOND: Final = 1000


@enum.unique
@final
class Topic(enum.IntEnum):
    """Name a set of objects that the instances read from the platform."""

    CONFIGURATION = 0
    UPSTREAMS = 1
    DOMAINS_OUT = 2


@final
class Confirmation:
    """Hold when the platform confirmed a revision, on its reader's clock.

    `clock` identifies the clock, zero if it is unknown, and `moment` is in
    seconds.
    """

    __slots__ = ('clock', 'moment')

    def __init__(self, clock: int, moment: float) -> None:
        """Set both."""
        self.clock = clock
        self.moment = moment


@final
class GossipState:
    """Hold the topic revisions, the members and the recent changes.

    `revision_by_topic` is zero before the first list, and belongs to the era in
    `era_by_topic`.  `confirmed_at_by_topic` is when that revision was last
    known to be the latest, and `confirmation_by_topic` the same on the clock of
    the instance that read it from the platform.  `clock` identifies the clock
    of this instance, and `reader_clocks` those of others.
    `recovered_at_by_topic` when the platform answered for the first time after
    a failed call, both in steady seconds.  Above the age in
    `staleness_limit_by_topic`, in seconds, the instance reads the platform
    directly.  `is_first` is whether this instance was the first by rank at
    `rank_checked_at`.  An instance that `is_leaving` reads for itself only.
    `transfers_by_topic` counts the updates.
    """

    __slots__ = (
        'clock',
        'confirmation_by_topic',
        'confirmed_at_by_topic',
        'era_by_topic',
        'is_first',
        'is_leaving',
        'members',
        'myself',
        'rank_checked_at',
        'reader_clocks',
        'recent_changes',
        'recovered_at_by_topic',
        'revision_by_topic',
        'staleness_limit_by_topic',
        'transfers_by_topic',
    )

    def __init__(
        self,
        myself: Member,
        staleness_limit_by_topic: dict[Topic, float],
    ) -> None:
        """Start without revisions and other members."""
        self.myself = myself
        self.staleness_limit_by_topic = staleness_limit_by_topic
        self.members = Members(myself)
        self.is_first = False
        self.is_leaving = False
        self.rank_checked_at = float('-inf')
        self.clock = int.from_bytes(os.urandom(_CLOCK_BYTES)) or 1
        self.reader_clocks = ReaderClocks()
        self.era_by_topic = dict.fromkeys(Topic, 0)
        self.revision_by_topic = dict.fromkeys(Topic, 0)
        self.confirmation_by_topic: dict[Topic, Confirmation] = {}
        self.confirmed_at_by_topic = dict.fromkeys(Topic, float('-inf'))
        self.recent_changes = RecentChanges()
        self.recovered_at_by_topic = dict.fromkeys(Topic, float('-inf'))
        self.transfers_by_topic = {topic: TopicTransfers() for topic in Topic}


def confirm_revision(
    gossip: GossipState,
    topic: Topic,
    revision: int,
    confirmed_at: float,
    confirmation: Confirmation | None = None,
) -> None:
    """Record that a revision was the latest at a time, now or earlier.

    Without a `confirmation`, this instance read it from the platform.
    """
    gossip.revision_by_topic[topic] = revision
    if confirmed_at > gossip.confirmed_at_by_topic[topic]:
        gossip.confirmed_at_by_topic[topic] = confirmed_at
        gossip.confirmation_by_topic[topic] = confirmation or Confirmation(
            gossip.clock, confirmed_at
        )


def enter_era(gossip: GossipState, topic: Topic, era: int) -> None:
    """Forget the revision of a former era, and the changes up to it.

    The time of confirmation stays: what is known was the latest then.
    """
    gossip.era_by_topic[topic] = era
    gossip.revision_by_topic[topic] = 0
    forget_changes(gossip.recent_changes, topic)


def is_known(topic_number: int) -> bool:
    """Return whether this release has a topic; a later one may have more."""
    return topic_number in _TOPIC_NUMBERS


def is_newer(
    gossip: GossipState, topic: Topic, era: int, revision: int
) -> bool:
    """Return whether a revision is later than the known one."""
    known = (gossip.era_by_topic[topic], gossip.revision_by_topic[topic])
    return (era, revision) > known


def update_revision(gossip: GossipState, topic: Topic, revision: int) -> None:
    """Record a later revision, and leave the time of confirmation as it is.

    The age in a heartbeat or in a fetched reply confirms the revision later.
    """
    gossip.revision_by_topic[topic] = revision


def record_recovery(
    gossip: GossipState, topic: Topic, recovered_at: float
) -> None:
    """Record when the platform answered again after a failed call."""
    previous = gossip.recovered_at_by_topic[topic]
    gossip.recovered_at_by_topic[topic] = max(previous, recovered_at)


def is_applicable(gossip: GossipState, changes: TopicChanges) -> bool:
    """Return whether changes lead from the known revision to a later one.

    Without a revision there is no time of its confirmation, which changes do
    not provide.
    """
    topic = Topic(changes.topic)
    known = gossip.revision_by_topic[topic]
    is_same_era = changes.era == gossip.era_by_topic[topic]
    return is_same_era and 0 < known and changes.since <= known < changes.until


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
        and _merge_topic(gossip, reported, version, now)
    ]


def _merge_topic(
    gossip: GossipState,
    reported: TopicRevision,
    version: int,
    now: float,
) -> bool:
    """Merge what is reported of a topic; return whether to fetch it.

    What is reported of a former era changes nothing.
    """
    topic = Topic(reported.topic)
    known = gossip.revision_by_topic[topic]
    if reported.era < gossip.era_by_topic[topic]:
        return False
    if reported.recovery_age >= 0:
        record_recovery(
            gossip,
            topic,
            now - reported.recovery_age / _MILLISECONDS_PER_SECOND,
        )
    confirmed_at = _find_confirmation_time(gossip, reported, now)
    if is_newer(gossip, topic, reported.era, reported.revision):
        return True
    if reported.revision != known or not known:
        return False
    confirm_revision(
        gossip,
        topic,
        known,
        confirmed_at,
        Confirmation(
            reported.clock, reported.confirmed_at / _MILLISECONDS_PER_SECOND
        ),
    )
    return topic is Topic.CONFIGURATION and reported.version > version


def _find_confirmation_time(
    gossip: GossipState, reported: TopicRevision, now: float
) -> float:
    """Return when the reported revision was confirmed, on the own clock."""
    latest = now - reported.age / _MILLISECONDS_PER_SECOND
    if not reported.clock:
        return latest
    moment = reported.confirmed_at / _MILLISECONDS_PER_SECOND
    if reported.clock == gossip.clock:
        return moment
    return convert_time(
        gossip.reader_clocks, reported.clock, moment, latest, now
    )


def _list_topic_revisions(
    gossip: GossipState,
    version: int,
    now: float,
) -> Iterator[TopicRevision]:
    for topic, revision in gossip.revision_by_topic.items():
        if revision:
            yield _describe_topic(gossip, topic, version, now)


def _describe_topic(
    gossip: GossipState, topic: Topic, version: int, now: float
) -> TopicRevision:
    recovered_at = gossip.recovered_at_by_topic[topic]
    confirmation = gossip.confirmation_by_topic.get(topic, _UNKNOWN)
    return TopicRevision(
        topic,
        gossip.revision_by_topic[topic],
        age_in_milliseconds(gossip.confirmed_at_by_topic[topic], now),
        age_in_milliseconds(recovered_at, now) if recovered_at > 0 else -1,
        gossip.era_by_topic[topic],
        version if topic is Topic.CONFIGURATION else 0,
        confirmation.clock,
        int(confirmation.moment * _MILLISECONDS_PER_SECOND),
    )


_UNKNOWN: Final = Confirmation(0, 0)
_TOPIC_NUMBERS: Final = frozenset(int(topic) for topic in Topic)
