"""Describe a caller's packet as far as decisions need it."""

from typing import final

__all__ = ('Packet',)


@final
class Packet:
    """Hold one packet of a caller.

    `flow` is the twelve bytes of both ends, `endpoint` the six bytes of the
    caller's destination.  `cookie` names the upstream of the flow, zero on an
    opening packet.  `attempt` counts earlier copies of an opening packet.
    `sequence` and `acknowledged` are byte positions of the two directions,
    `size` is the number of bytes carried.  `raw` is the packet as received.
    """

    __slots__ = (
        'acknowledged',
        'attempt',
        'closing',
        'cookie',
        'endpoint',
        'flow',
        'opening',
        'raw',
        'resetting',
        'sequence',
        'size',
    )

    def __init__(self, raw: bytes) -> None:
        """Start as a packet without meaning; the codec fills it in."""
        self.raw = raw
        self.flow = b''
        self.endpoint = b''
        self.cookie = 0
        self.attempt = 0
        self.sequence = 0
        self.acknowledged = 0
        self.size = 0
        self.opening = False
        self.closing = False
        self.resetting = False
