"""Frame packets that one instance relays to another.

Three bytes stand before the unchanged packet: a mark with the version of this
framing, the kind of request and the number of hops so far.  All frames are
built once, since a relay happens for most packets.
"""

import enum
from types import MappingProxyType
from typing import Final, final

__all__ = ('HEADER_BYTES', 'HOP_LIMIT', 'RelayKind', 'frame', 'read_frame')

HEADER_BYTES: Final = 3
# Entry to home, home to its predecessor twice over, and back again.
HOP_LIMIT: Final = 6

_MARK: Final = 0xB1


@enum.unique
@final
class RelayKind(enum.IntEnum):
    """Say what the receiver of a relayed packet is asked to do.

    HOME: decide as the home of the flow.  CHASE: forward the packet if the
    flow is known here, else return it.  DECIDE: the flow was not known at its
    previous home, so decide without asking there.
    """

    HOME = 1
    CHASE = 2
    DECIDE = 3


_FRAMES: Final = MappingProxyType(
    {
        (kind, hops): bytes((_MARK, kind, hops))
        for kind in map(int, RelayKind)
        for hops in range(1, HOP_LIMIT + 1)
    }
)


def frame(kind: int, hops: int) -> bytes:
    """Return the bytes that go before a packet."""
    return _FRAMES[kind, hops]


def read_frame(datagram: bytes) -> tuple[int, int] | None:
    """Return kind and hops, or nothing for a frame that is not ours."""
    if len(datagram) < HEADER_BYTES or datagram[0] != _MARK:
        return None
    kind = datagram[1]
    hops = datagram[2]
    if RelayKind.HOME <= kind <= RelayKind.DECIDE and 0 < hops <= HOP_LIMIT:
        return kind, hops
    return None
