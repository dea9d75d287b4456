"""Track the membership of the fleet and the owner of each flow."""

from marlbend.ownership.members.member import Member, MemberState
from marlbend.ownership.members.owners import (
    owner_of,
    previous_owners_of,
    successor_of,
)
from marlbend.ownership.members.view import (
    MembershipView,
    merge_listed_members,
    merge_member,
    owner_members,
)

__all__ = (
    'Member',
    'MemberState',
    'MembershipView',
    'merge_listed_members',
    'merge_member',
    'owner_members',
    'owner_of',
    'previous_owners_of',
    'successor_of',
)
