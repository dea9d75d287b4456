"""Track the membership of the fleet and the owner of each flow."""

from marlbend.ownership.members.fleet import (
    Fleet,
    live_members,
    merge_listed_members,
    merge_member,
)
from marlbend.ownership.members.member import Member, MemberState
from marlbend.ownership.members.owners import (
    owner_of,
    previous_owners_of,
    successor_of,
)

__all__ = (
    'Fleet',
    'Member',
    'MemberState',
    'live_members',
    'merge_listed_members',
    'merge_member',
    'owner_of',
    'previous_owners_of',
    'successor_of',
)
