"""Frame packets that one instance relays to another.

Four bytes stand before the unchanged packet: a mark with the version of this
framing, the kind of request, the number of hops so far, and how many earlier
homes have been asked.  All frames are built once, since a relay happens for
most packets.
"""

import enum
import itertools
from types import MappingProxyType
from typing import Final, final

__all__ = (
    'FRAME_BYTES',
    'HOP_LIMIT',
    'INGRESS_FRAME',
    'Frame',
    'RelayKind',
    'find_frame',
    'read_frame',
)

FRAME_BYTES: Final = 4
# Entry to home, and to several earlier homes and back.
HOP_LIMIT: Final = 14
TRIES_LIMIT: Final = 9

_MARK: Final = 0xB2


@enum.unique
@final
class RelayKind(enum.IntEnum):
    """Say what the receiver of a relayed packet is asked to do.

    HOME: decide as the home of the flow.  CHASE: forward the packet if the
    flow is known here, else return it.  DECIDE: the flow was not known at the
    earlier homes asked so far, so ask the next one or decide.
    """

    HOME = 1
    LOOKUP = 2
    LOOKUP_MISS = 3


@final
class Frame:
    """Hold what stands before a relayed packet.

    `lookups` counts the earlier homes that have been asked; `raw` is the frame
    as bytes.
    """

    __slots__ = ('hops', 'kind', 'lookups', 'raw')

    def __init__(self, kind: RelayKind, hops: int, tries: int) -> None:
        """Build the frame."""
        self.kind = kind
        self.hops = hops
        self.lookups = tries
        self.raw = bytes((_MARK, kind, hops, tries))


_FRAMES: Final = tuple(
    Frame(kind, hops, tries)
    for kind, hops, tries in itertools.product(
        RelayKind, range(HOP_LIMIT + 1), range(TRIES_LIMIT + 1)
    )
)
_FRAME_BY_PARTS: Final = MappingProxyType(
    {(frame.kind, frame.hops, frame.lookups): frame for frame in _FRAMES}
)
_FRAME_BY_RAW: Final = MappingProxyType(
    {frame.raw: frame for frame in _FRAMES if frame.hops}
)

# What a packet from the fabric is treated as: it has made no hop yet.
INGRESS_FRAME: Final = Frame(RelayKind.OWNER, 0, 0)


def find_frame(kind: RelayKind, hops: int, tries: int) -> Frame | None:
    """Return a frame, or nothing beyond the limits of hops and tries."""
    return _FRAME_BY_PARTS.get((kind, hops, tries))


def read_frame(datagram: bytes) -> Frame | None:
    """Return the frame of a datagram, or nothing if it has none of ours."""
    return _FRAME_BY_RAW.get(datagram[:FRAME_BYTES])
