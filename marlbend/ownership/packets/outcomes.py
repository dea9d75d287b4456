"""Define the outcomes by which packets are counted."""

import enum
from typing import final

__all__ = ('Outcome',)


@enum.unique
@final
class Outcome(enum.IntEnum):
    """Name what was done with a packet; the value indexes the counters.

    The status shows the names in lower case.  CHASED counts lookups sent to
    previous owners, RETURNED those that this instance returned as a miss.
    DROPPED_NO_HOME counts packets whose flow has no owner, because no instance
    owns hash slots.
    """

    ACCEPTED = 0
    FORWARDED = 1
    RELAYED = 2
    CHASED = 3
    RETURNED = 4
    DROPPED_TRUNCATED = 5
    DROPPED_MALFORMED = 6
    DROPPED_OPTIONS = 7
    DROPPED_FRAGMENT = 8
    DROPPED_PROTOCOL = 9
    DROPPED_NO_SERVICE = 10
    DROPPED_NO_UPSTREAM = 11
    DROPPED_NO_HOME = 12
    DROPPED_HOP_LIMIT = 13
    DROPPED_UNKNOWN_PEER = 14
    DROPPED_RELAY_FRAME = 15
    DROPPED_SEND = 16
    DROPPED_CATCHING_UP = 17
