"""Define the membership record of an instance."""

import enum
from typing import Final, final

import msgspec

__all__ = ('DEPARTED_STATES', 'OWNER_STATES', 'Member', 'MemberState')


@enum.unique
@final
class MemberState(enum.IntEnum):
    """List the states of an instance.

    The order matters: between records of one incarnation, the higher state
    wins.  A LISTED instance is known from the platform only and owns no hash
    slots.
    """

    LISTED = 0
    LIVE = 1
    SUSPECT = 2
    LEAVING = 3
    GONE = 4


# A suspect keeps its hash slots until it is declared gone.
OWNER_STATES: Final = frozenset((MemberState.LIVE, MemberState.SUSPECT))
# Neither owns hash slots any more.  A leaving instance still runs, hands its
# flows over and relays packets.
DEPARTED_STATES: Final = frozenset((MemberState.LEAVING, MemberState.GONE))


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Describe one instance.

    `incarnation` is at first the time of the instance's start in nanoseconds
    since the epoch, so it grows with each start.  The instance raises it to
    refute a record of itself.  It is zero while the instance is known from the
    platform only.
    """

    name: str
    address: str
    domain: str
    fabric_port: int
    relay_port: int
    control_port: int
    admin_port: int
    incarnation: int = 0
    state: MemberState = MemberState.LIVE
