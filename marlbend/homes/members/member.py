"""Describe the instances of the system as the others see them."""

import enum
from typing import Final, final

import msgspec

__all__ = ('DEPARTED_STATES', 'HOME_STATES', 'Member', 'MemberState')


@enum.unique
@final
class MemberState(enum.IntEnum):
    """Order the states of an instance; of equal incarnations the later wins.

    LISTED is known from the platform only and home to nothing.
    """

    LISTED = 0
    LIVE = 1
    SUSPECT = 2
    LEAVING = 3
    GONE = 4


# A suspect keeps its flows until it is known to be gone.
HOME_STATES: Final = frozenset((MemberState.LIVE, MemberState.SUSPECT))
DEPARTED_STATES: Final = frozenset((MemberState.LEAVING, MemberState.GONE))


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Describe one instance.

    `incarnation` grows with each start of the instance (nanoseconds since
    the epoch at its start, zero while only the platform has named it).
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
