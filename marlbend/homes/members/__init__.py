"""Track the membership of the fleet and the owner of each flow."""

from marlbend.homes.members.fleet import (
    Fleet,
    apply_member,
    live_members,
    merge_listed_members,
)
from marlbend.homes.members.member import Member, MemberState
from marlbend.homes.members.ownership import (
    owner_of,
    previous_owners_of,
    successor_of,
)

__all__ = (
    'Fleet',
    'Member',
    'MemberState',
    'apply_member',
    'live_members',
    'merge_listed_members',
    'owner_of',
    'previous_owners_of',
    'successor_of',
)
