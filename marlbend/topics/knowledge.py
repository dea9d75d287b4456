"""Define the topics, and how recent the knowledge of each is.

Knowledge is ordered by the era of the store first, then by revision.  The store
may come back from a copy that lacks its latest changes; its revisions then go
back, and count as those of a new era.  Instances of former releases know no
eras; what they report counts as of era zero.
"""

import enum
import os
from typing import Final, final

from marlbend.events import Event, emit
from marlbend.observe.transfers import TopicTransfers
from marlbend.steering.members import age_in_milliseconds
from marlbend.topics.history import RecentChanges, forget_changes
from marlbend.topics.reader_clocks import ReaderClocks, convert_time
from marlbend.wire.heartbeats import TopicChanges, TopicRevision

__all__ = (
    'Confirmation',
    'Knowledge',
    'Topic',
    'confirm_revision',
    'describe_topic',
    'enter_era',
    'is_applicable',
    'is_known',
    'is_newer',
    'merge_topic_revision',
    'record_recovery',
    'update_revision',
)

# An upstream writes its registration every 1.2 s, and it lapses after 3.6 s, so
# hardly any lapses in a shorter outage.
OUTAGE_SECONDS: Final = 2.0
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


class Knowledge:
    """Hold what an instance knows of each topic, and since when.

    `revision_by_topic` is zero before the first list, and belongs to the era in
    `era_by_topic`.  `confirmed_at_by_topic` is when that revision was last
    known to be the latest, and `confirmation_by_topic` the same on the clock of
    the instance that read it from the platform.  `clock` identifies the clock
    of this instance, and `reader_clocks` holds the offsets of others.
    `recovered_at_by_topic` is when the platform answered for the first time
    after an outage.  `silence_by_topic` is the latest interval of more than
    `OUTAGE_SECONDS` in which nothing of the platform was heard.  Times are
    steady seconds.  Above the age in `staleness_limit_by_topic`, in seconds,
    the instance reads the platform directly.  `transfers_by_topic` counts the
    updates.
    """

    __slots__ = (
        'clock',
        'confirmation_by_topic',
        'confirmed_at_by_topic',
        'era_by_topic',
        'reader_clocks',
        'recent_changes',
        'recovered_at_by_topic',
        'revision_by_topic',
        'silence_by_topic',
        'staleness_limit_by_topic',
        'transfers_by_topic',
    )

    def __init__(self, staleness_limit_by_topic: dict[Topic, float]) -> None:
        """Start without revisions."""
        self.staleness_limit_by_topic = staleness_limit_by_topic
        self.clock = int.from_bytes(os.urandom(_CLOCK_BYTES)) or 1
        self.reader_clocks = ReaderClocks()
        self.era_by_topic = dict.fromkeys(Topic, 0)
        self.revision_by_topic = dict.fromkeys(Topic, 0)
        self.confirmation_by_topic: dict[Topic, Confirmation] = {}
        self.confirmed_at_by_topic = dict.fromkeys(Topic, float('-inf'))
        self.recent_changes = RecentChanges()
        self.recovered_at_by_topic = dict.fromkeys(Topic, float('-inf'))
        self.silence_by_topic: dict[Topic, tuple[float, float]] = {}
        self.transfers_by_topic = {topic: TopicTransfers() for topic in Topic}


def confirm_revision(
    knowledge: Knowledge,
    topic: Topic,
    revision: int,
    confirmed_at: float,
    confirmation: Confirmation | None = None,
) -> None:
    """Record that a revision was the latest at a time, now or earlier.

    Without a `confirmation`, this instance read it from the platform.
    """
    knowledge.revision_by_topic[topic] = revision
    previous = knowledge.confirmed_at_by_topic[topic]
    if confirmed_at > previous:
        if OUTAGE_SECONDS < confirmed_at - previous < float('inf'):
            knowledge.silence_by_topic[topic] = (previous, confirmed_at)
        knowledge.confirmed_at_by_topic[topic] = confirmed_at
        knowledge.confirmation_by_topic[topic] = confirmation or Confirmation(
            knowledge.clock, confirmed_at
        )


def enter_era(
    knowledge: Knowledge, topic: Topic, era: int, revision: int
) -> None:
    """Record the first revision of an era, and forget the changes before it.

    Log that the store came back from a copy, unless this is its first era.  The
    time of confirmation stays: what is known was the latest then.
    """
    if knowledge.era_by_topic[topic]:
        emit(
            Event.STORE_RETURNED,
            era=era,
            kind=topic.name.lower(),
            revision=revision,
            known=knowledge.revision_by_topic[topic],
        )
    knowledge.era_by_topic[topic] = era
    forget_changes(knowledge.recent_changes, topic)
    update_revision(knowledge, topic, revision)


def is_known(topic_number: int) -> bool:
    """Return whether this release has a topic; a later one may have more."""
    return topic_number in _TOPIC_NUMBERS


def is_newer(
    knowledge: Knowledge, topic: Topic, era: int, revision: int
) -> bool:
    """Return whether a revision is later than the known one."""
    known = (knowledge.era_by_topic[topic], knowledge.revision_by_topic[topic])
    return (era, revision) > known


def update_revision(knowledge: Knowledge, topic: Topic, revision: int) -> None:
    """Record a later revision, and leave the time of confirmation as it is.

    The age in a heartbeat or in a fetched reply confirms the revision later.
    """
    knowledge.revision_by_topic[topic] = revision


def record_recovery(
    knowledge: Knowledge, topic: Topic, recovered_at: float
) -> bool:
    """Record when calls to the platform succeeded again, here or elsewhere.

    Return whether there was an outage.  There was none if the platform was
    heard shortly before: then an instance failed to reach it.  Nor does it
    concern an instance that knew nothing yet.
    """
    if not _was_silent(knowledge, topic, recovered_at):
        return False
    previous = knowledge.recovered_at_by_topic[topic]
    knowledge.recovered_at_by_topic[topic] = max(previous, recovered_at)
    return True


def _was_silent(knowledge: Knowledge, topic: Topic, until: float) -> bool:
    """Return whether nothing of the platform was heard for long before a time.

    It may have been heard since, from an instance whose calls never failed.
    """
    heard_at = knowledge.confirmed_at_by_topic[topic]
    if heard_at == float('-inf'):
        return False
    since, ended_at = knowledge.silence_by_topic.get(
        topic, (heard_at, heard_at)
    )
    if until - heard_at > OUTAGE_SECONDS:
        return True
    return since + OUTAGE_SECONDS < until <= ended_at + OUTAGE_SECONDS


def is_applicable(knowledge: Knowledge, changes: TopicChanges) -> bool:
    """Return whether changes lead from the known revision to a later one.

    Without a revision there is no time of its confirmation, which changes do
    not provide.
    """
    topic = Topic(changes.topic)
    known = knowledge.revision_by_topic[topic]
    is_same_era = changes.era == knowledge.era_by_topic[topic]
    return is_same_era and 0 < known and changes.since <= known < changes.until


def merge_topic_revision(
    knowledge: Knowledge,
    reported: TopicRevision,
    version: int,
    now: float,
) -> bool:
    """Merge what is reported of a topic; return whether to fetch it.

    What is reported of a former era changes nothing.
    """
    topic = Topic(reported.topic)
    known = knowledge.revision_by_topic[topic]
    if reported.era < knowledge.era_by_topic[topic]:
        return False
    if reported.recovery_age >= 0:
        record_recovery(
            knowledge,
            topic,
            now - reported.recovery_age / _MILLISECONDS_PER_SECOND,
        )
    confirmed_at = _find_confirmation_time(knowledge, reported, now)
    if is_newer(knowledge, topic, reported.era, reported.revision):
        return True
    if reported.revision != known or not known:
        return False
    confirm_revision(
        knowledge,
        topic,
        known,
        confirmed_at,
        Confirmation(
            reported.clock, reported.confirmed_at / _MILLISECONDS_PER_SECOND
        ),
    )
    return topic is Topic.CONFIGURATION and reported.version > version


def describe_topic(
    knowledge: Knowledge, topic: Topic, version: int, now: float
) -> TopicRevision:
    """Return the description of a topic for a heartbeat.

    `version` is the version of the configuration in force.
    """
    recovered_at = knowledge.recovered_at_by_topic[topic]
    confirmation = knowledge.confirmation_by_topic.get(topic, _UNKNOWN)
    return TopicRevision(
        topic,
        knowledge.revision_by_topic[topic],
        age_in_milliseconds(knowledge.confirmed_at_by_topic[topic], now),
        age_in_milliseconds(recovered_at, now) if recovered_at > 0 else -1,
        knowledge.era_by_topic[topic],
        version if topic is Topic.CONFIGURATION else 0,
        confirmation.clock,
        int(confirmation.moment * _MILLISECONDS_PER_SECOND),
    )


def _find_confirmation_time(
    knowledge: Knowledge, reported: TopicRevision, now: float
) -> float:
    """Return when the reported revision was confirmed, on the own clock."""
    latest = now - reported.age / _MILLISECONDS_PER_SECOND
    if not reported.clock:
        return latest
    moment = reported.confirmed_at / _MILLISECONDS_PER_SECOND
    if reported.clock == knowledge.clock:
        return moment
    return convert_time(
        knowledge.reader_clocks, reported.clock, moment, latest, now
    )


_UNKNOWN: Final = Confirmation(0, 0)
_TOPIC_NUMBERS: Final = frozenset(int(topic) for topic in Topic)
