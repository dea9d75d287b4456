"""Frame packets that one instance relays to another.

A frame is four bytes before the unchanged packet: a magic byte that includes
the version of this framing, the kind of request, the number of hops so far, and
the position of the previous owner at which the flow was last looked up.  All
frames are built in advance, because most packets are relayed.
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
# One hop to the owner, six lookups that are returned, at two hops each, and a
# seventh.  Relays between instances whose views differ count as well.
HOP_LIMIT: Final = 14
# `MAX_PREVIOUS_OWNERS` (4) of the hash slot, then the owner of the hash slot in
# the previous failure domain, and as many previous owners there.
MAX_LOOKUP_POSITION: Final = 9

_MAGIC: Final = 0xB2


@enum.unique
@final
class RelayKind(enum.IntEnum):
    """Tell the receiver of a relayed packet what to do with it.

    OWNER: handle the packet as the owner of the flow.  LOOKUP: forward the
    packet if this previous owner holds the flow, else return it.  LOOKUP_MISS:
    the flow was not found at the previous owners so far, so look it up at the
    next one or select an upstream.
    """

    OWNER = 1
    LOOKUP = 2
    LOOKUP_MISS = 3


@final
class Frame:
    """Hold the header of a relayed packet.

    `lookup_position` is the position, from 1, of the last previous owner at
    which the owner looked the flow up, or 0 before the first lookup.  Previous
    owners that were skipped count.  `raw` is the encoded frame.
    """

    __slots__ = ('hops', 'kind', 'lookup_position', 'raw')

    def __init__(
        self, kind: RelayKind, hops: int, lookup_position: int
    ) -> None:
        """Encode the frame."""
        self.kind = kind
        self.hops = hops
        self.lookup_position = lookup_position
        self.raw = bytes((_MAGIC, kind, hops, lookup_position))


_FRAMES: Final = tuple(
    Frame(kind, hops, lookup_position)
    for kind, hops, lookup_position in itertools.product(
        RelayKind, range(HOP_LIMIT + 1), range(MAX_LOOKUP_POSITION + 1)
    )
)
_FRAME_BY_PARTS: Final = MappingProxyType(
    {
        (frame.kind, frame.hops, frame.lookup_position): frame
        for frame in _FRAMES
    }
)
_FRAME_BY_RAW: Final = MappingProxyType(
    {frame.raw: frame for frame in _FRAMES if frame.hops}
)

# A packet from the fabric is handled like a relayed one without any hop.
INGRESS_FRAME: Final = Frame(RelayKind.OWNER, 0, 0)


def find_frame(
    kind: RelayKind, hops: int, lookup_position: int
) -> Frame | None:
    """Return a frame, or None beyond the limits of hops and positions."""
    return _FRAME_BY_PARTS.get((kind, hops, lookup_position))


def read_frame(datagram: bytes) -> Frame | None:
    """Return the frame of a datagram, or None if it has no valid frame."""
    return _FRAME_BY_RAW.get(datagram[:FRAME_BYTES])
