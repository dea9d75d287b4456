"""Define the parsed form of a caller's packet."""

from typing import final

__all__ = ('Packet',)


@final
class Packet:
    """Hold the fields of one caller's packet that steering decisions need.

    `flow_key` is the twelve bytes that identify both ends, `endpoint` the six
    bytes of the destination address and port.  `cookie` identifies the upstream
    of the flow and is zero on a SYN.  `attempt` is the number of earlier
    transmissions of a SYN.  `sequence` and `acknowledged` are sequence numbers
    of the two directions, `payload_size` is in bytes.  `is_closing` is set for
    a FIN or RST, `is_reset` for an RST.  `raw` is the packet as received.
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
        """Initialize every field to a default; the decoder sets them."""
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
