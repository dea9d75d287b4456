"""Build and read the TCP segments that stand-ins exchange.

Segments are whole IPv4 packets, built with `dpkt`.
"""

import socket
from typing import Final, final

from dpkt import ip, tcp

__all__ = (
    'CALLER_PORT',
    'TUNNEL_PORT',
    'Endpoint',
    'Segment',
    'build_segment',
    'read_segment',
)

# Where a caller's host takes the answers, as IP-in-UDP.
CALLER_PORT: Final = 7000
TUNNEL_PORT: Final = 6080

Endpoint = tuple[str, int]


@final
class Segment:
    """Hold the parts of a TCP segment that the stand-ins look at."""

    __slots__ = ('destination', 'flags', 'payload', 'sequence', 'source')

    def __init__(
        self,
        source: Endpoint,
        destination: Endpoint,
        flags: int,
        sequence: int = 0,
        payload: bytes = b'',
    ) -> None:
        """Keep the parts."""
        self.source = source
        self.destination = destination
        self.flags = flags
        self.sequence = sequence
        self.payload = payload


def build_segment(segment: Segment) -> bytes:
    """Return the IPv4 packet that carries a segment."""
    inner = tcp.TCP(
        sport=segment.source[1],
        dport=segment.destination[1],
        seq=segment.sequence,
        flags=segment.flags,
        data=segment.payload,
    )
    packet = ip.IP(
        src=socket.inet_aton(segment.source[0]),
        dst=socket.inet_aton(segment.destination[0]),
        p=ip.IP_PROTO_TCP,
        data=inner,
    )
    return bytes(packet)


def read_segment(packet: bytes) -> Segment:
    """Return the segment that an IPv4 packet carries."""
    outer = ip.IP(packet)
    inner = outer.data
    return Segment(
        (socket.inet_ntoa(outer.src), inner.sport),
        (socket.inet_ntoa(outer.dst), inner.dport),
        inner.flags,
        inner.seq,
        inner.data,
    )
