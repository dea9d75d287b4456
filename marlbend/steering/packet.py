"""Describe a caller's packet as far as decisions need it."""

from typing import final

__all__ = ('Packet',)


@final
class Packet:
    """Hold one packet of a caller.

    `flow_key` is the twelve bytes of both ends, `endpoint` the six bytes of the
    caller's destination.  `cookie` names the upstream of the flow, zero on an
    opening packet.  `attempt` counts earlier copies of an opening packet.
    `sequence` and `acknowledged` are byte positions of the two directions,
    `payload_size` is the number of bytes carried.  `raw` is the packet as received.
    """

    __slots__ = (
        'acknowledged',
        'attempt',
        'cookie',
        'endpoint',
        'flow_key',
        'is_closing',
        'is_reset',
        'is_syn',
        'payload_size',
        'raw',
        'sequence',
    )

    def __init__(self, raw: bytes) -> None:
        """Start as a packet without meaning; the codec fills it in."""
        self.raw = raw
        self.flow_key = b''
        self.endpoint = b''
        self.cookie = 0
        self.attempt = 0
        self.sequence = 0
        self.acknowledged = 0
        self.payload_size = 0
        self.is_syn = False
        self.is_closing = False
        self.is_reset = False
