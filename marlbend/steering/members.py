"""Hold the other instances, and choose those that receive a heartbeat.

A choice costs the same however many instances there are.
"""

import zlib
from random import Random
from typing import Final, final

from marlbend.wire.heartbeats import MemberLastSeen, MemberUpdate

__all__ = (
    'MEMBER_TIMEOUT_SECONDS',
    'Member',
    'Members',
    'age_in_milliseconds',
    'choose_targets',
    'describe_member',
    'merge_last_seen',
    'merge_member',
    'remove_expired_members',
    'remove_member',
    'sample_live_members',
)

# Heartbeats are sent four times a second; a member that has missed many of
# them is considered dead.
MEMBER_TIMEOUT_SECONDS: Final = 3.0
# A member that has not been heard from for this long is removed.
MEMBER_EXPIRY_SECONDS: Final = 60.0
# How many members of the local domain and of remote ones get each heartbeat.
LOCAL_TARGETS: Final = 3
REMOTE_TARGETS: Final = 1
# Members sampled from the local domain, and as many again from the remote
# ones: more than a heartbeat reports in all, as some of them may be dead.
SAMPLE_SIZE: Final = 12
_MILLISECONDS_PER_SECOND: Final = 1000


@final
class Member:
    """Describe one instance.

    `last_seen_at` is when it was last heard from, in steady seconds.
    `can_read` is whether its reads of the platform succeed; of the live
    members for which they do, the one with the lowest `rank` is the reader; the
    rank is a checksum of the name.  `knows_eras` is false for an instance of a
    former release.
    """

    __slots__ = (
        'can_read',
        'domain',
        'endpoint',
        'knows_eras',
        'last_seen_at',
        'name',
        'rank',
    )

    def __init__(self, update: MemberUpdate, last_seen_at: float) -> None:
        """Start with the fields of an update."""
        self.name = update.name
        self.endpoint = update.endpoint
        self.domain = update.domain
        self.can_read = update.can_read
        self.knows_eras = update.knows_eras
        self.last_seen_at = last_seen_at
        self.rank = zlib.crc32(update.name.encode())


@final
class Members:
    """Hold the other instances by name and by rank.

    `local` holds those in the failure domain of `myself`, and `remote` those
    in other domains.
    """

    __slots__ = ('by_name', 'by_rank', 'local', 'myself', 'remote')

    def __init__(self, myself: Member) -> None:
        """Start without other instances."""
        self.myself = myself
        self.by_name: dict[str, Member] = {}
        self.by_rank: dict[int, Member] = {}
        self.local: list[Member] = []
        self.remote: list[Member] = []


def choose_targets(members: Members, random: Random) -> list[Member]:
    """Return a few members to send a heartbeat to, most of them local."""
    local = random.sample(members.local, min(LOCAL_TARGETS, len(members.local)))
    return local + random.sample(
        members.remote, min(REMOTE_TARGETS, len(members.remote))
    )


def remove_expired_members(members: Members, now: float) -> None:
    """Remove members that have not been heard from for a long time."""
    for name, member in tuple(members.by_name.items()):
        if now - member.last_seen_at > MEMBER_EXPIRY_SECONDS:
            remove_member(members, name)


def sample_live_members(
    members: Members,
    random: Random,
    now: float,
) -> list[Member]:
    """Return some live members, fewer where many of them are dead."""
    sampled = [
        *random.sample(members.local, min(SAMPLE_SIZE, len(members.local))),
        *random.sample(members.remote, min(SAMPLE_SIZE, len(members.remote))),
    ]
    random.shuffle(sampled)
    return [
        each
        for each in sampled
        if now - each.last_seen_at < MEMBER_TIMEOUT_SECONDS
    ]


def merge_member(members: Members, update: MemberUpdate, now: float) -> None:
    """Merge what another instance reported of a member, unless it is older."""
    if update.name == members.myself.name:
        return
    last_seen_at = now - update.age / _MILLISECONDS_PER_SECOND
    known = members.by_name.get(update.name)
    if known is None or last_seen_at > known.last_seen_at:
        remove_member(members, update.name)
        member = Member(update, last_seen_at)
        members.by_name[update.name] = member
        members.by_rank[member.rank] = member
        _group_of(members, member).append(member)


def _group_of(members: Members, member: Member) -> list[Member]:
    is_local = member.domain == members.myself.domain
    return members.local if is_local else members.remote


def merge_last_seen(known: Member, seen: MemberLastSeen, now: float) -> None:
    """Merge when another instance last heard from a member, if it is later."""
    last_seen_at = now - seen.age / _MILLISECONDS_PER_SECOND
    if last_seen_at > known.last_seen_at:
        known.last_seen_at = last_seen_at
        known.can_read = seen.can_read


def remove_member(members: Members, name: str) -> None:
    """Remove an instance, if it is known."""
    member = members.by_name.pop(name, None)
    if member is not None:
        members.by_rank.pop(member.rank, None)
        _group_of(members, member).remove(member)


def describe_member(member: Member, now: float) -> MemberUpdate:
    """Return the full description of a member for other instances."""
    return MemberUpdate(
        name=member.name,
        endpoint=member.endpoint,
        domain=member.domain,
        age=age_in_milliseconds(member.last_seen_at, now),
        can_read=member.can_read,
        knows_eras=member.knows_eras,
    )


def age_in_milliseconds(moment: float, now: float) -> int:
    """Return the age of a moment, which is in steady seconds."""
    return int((now - moment) * _MILLISECONDS_PER_SECOND)
