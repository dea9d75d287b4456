"""Know the other instances, and draw those that hear a beat.

Every draw costs the same however many there are.
"""

import zlib
from random import Random
from typing import Final, final

from marlbend.wire.heartbeats import MemberLastSeen, MemberUpdate

__all__ = (
    'GONE_SECONDS',
    'Member',
    'Members',
    'choose_targets',
    'describe_member',
    'find_age',
    'forget_member',
    'merge_member',
    'merge_seen',
    'remove_expired_members',
    'sample_live',
)

# Beats come four times a second; a member is gone after missing many of them.
GONE_SECONDS: Final = 3.0
FORGOTTEN_SECONDS: Final = 60.0
NEAR_TARGETS: Final = 3
FAR_TARGETS: Final = 1
# Drawn from the own domain and from others, as some of them may be gone.
MEMBERS_DRAWN: Final = 12
_MILLISECONDS: Final = 1000


@final
class Member:
    """Describe one instance; `heard_at` is monotonic seconds."""

    __slots__ = ('can_read', 'domain', 'endpoint', 'heard_at', 'name', 'rank')

    def __init__(self, told: MemberUpdate, heard_at: float) -> None:
        """Take over what was told."""
        self.name = told.name
        self.endpoint = told.endpoint
        self.domain = told.domain
        self.can_read = told.can_read
        self.heard_at = heard_at
        self.rank = zlib.crc32(told.name.encode())


@final
class Members:
    """Hold the other instances by name and by rank.

    `local` and `far` are those of the domain of `myself` and of other domains.
    """

    __slots__ = ('by_name', 'by_rank', 'far', 'local', 'myself')

    def __init__(self, myself: Member) -> None:
        """Start without having heard of anybody."""
        self.myself = myself
        self.by_name: dict[str, Member] = {}
        self.by_rank: dict[int, Member] = {}
        self.local: list[Member] = []
        self.far: list[Member] = []


def choose_targets(members: Members, random: Random) -> list[Member]:
    """Return a few members for a beat, most of them of the own domain."""
    near = random.sample(members.local, min(NEAR_TARGETS, len(members.local)))
    return near + random.sample(members.far, min(FAR_TARGETS, len(members.far)))


def remove_expired_members(members: Members, now: float) -> None:
    """Forget members that have been silent for long."""
    for name, member in tuple(members.by_name.items()):
        if now - member.heard_at > FORGOTTEN_SECONDS:
            forget_member(members, name)


def sample_live(members: Members, random: Random, now: float) -> list[Member]:
    """Return some live members, fewer where many of them are gone."""
    drawn = [
        *random.sample(members.local, min(MEMBERS_DRAWN, len(members.local))),
        *random.sample(members.far, min(MEMBERS_DRAWN, len(members.far))),
    ]
    random.shuffle(drawn)
    return [each for each in drawn if now - each.heard_at < GONE_SECONDS]


def merge_member(members: Members, told: MemberUpdate, now: float) -> None:
    """Take what another instance told of a member."""
    if told.name == members.myself.name:
        return
    heard_at = now - told.age / _MILLISECONDS
    known = members.by_name.get(told.name)
    if known is None or heard_at > known.heard_at:
        forget_member(members, told.name)
        member = Member(told, heard_at)
        members.by_name[told.name] = member
        members.by_rank[member.rank] = member
        _group_of(members, member).append(member)


def _group_of(members: Members, member: Member) -> list[Member]:
    near = member.domain == members.myself.domain
    return members.local if near else members.far


def merge_seen(known: Member, seen: MemberLastSeen, now: float) -> None:
    """Take when another instance heard a member."""
    heard_at = now - seen.age / _MILLISECONDS
    if heard_at > known.heard_at:
        known.heard_at = heard_at
        known.can_read = seen.can_read


def forget_member(members: Members, name: str) -> None:
    """Forget an instance, if it is known."""
    member = members.by_name.pop(name, None)
    if member is not None:
        members.by_rank.pop(member.rank, None)
        _group_of(members, member).remove(member)


def describe_member(member: Member, now: float) -> MemberUpdate:
    """Return all that others need to know of a member."""
    return MemberUpdate(
        name=member.name,
        endpoint=member.endpoint,
        domain=member.domain,
        age=find_age(member.heard_at, now),
        can_read=member.can_read,
    )


def find_age(moment: float, now: float) -> int:
    """Return an age in milliseconds."""
    return int((now - moment) * _MILLISECONDS)
