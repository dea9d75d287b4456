"""Know the instances of the fleet and the home of each flow."""

from marlbend.members.fleet import (
    Fleet,
    apply_member,
    apply_members,
    home_of,
    live_members,
    previous_home,
)
from marlbend.members.member import Member, MemberState

__all__ = (
    'Fleet',
    'Member',
    'MemberState',
    'apply_member',
    'apply_members',
    'home_of',
    'live_members',
    'previous_home',
)
