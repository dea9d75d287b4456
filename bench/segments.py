"""Encode and decode the TCP segments between simulated callers and upstreams.

Each segment is encoded as a complete IPv4 packet by `dpkt`.
"""

import socket
from typing import Final, final

from dpkt import ip, tcp

__all__ = (
    'CALLER_PORT',
    'PACKET_PORT',
    'Endpoint',
    'Segment',
    'decode_segment',
    'encode_segment',
)

# The UDP port at which a caller's host receives responses as IP-in-UDP.
CALLER_PORT: Final = 7000
# The UDP port at which upstreams and the bare forwarder receive IP-in-UDP, and
# instances the packets of the fabric.  Floods send to any of them, so instances
# must use it as their fabric port.
PACKET_PORT: Final = 6080

Endpoint = tuple[str, int]


@final
class Segment:
    """Hold the fields of a TCP segment that callers and upstreams use."""

    __slots__ = ('destination', 'flags', 'payload', 'sequence', 'source')

    def __init__(
        self,
        source: Endpoint,
        destination: Endpoint,
        flags: int,
        sequence: int = 0,
        payload: bytes = b'',
    ) -> None:
        """Initialize with the fields."""
        self.source = source
        self.destination = destination
        self.flags = flags
        self.sequence = sequence
        self.payload = payload


def encode_segment(segment: Segment) -> bytes:
    """Return the IPv4 packet that carries a segment."""
    tcp_segment = tcp.TCP(
        sport=segment.source[1],
        dport=segment.destination[1],
        seq=segment.sequence,
        flags=segment.flags,
        data=segment.payload,
    )
    ip_packet = ip.IP(
        src=socket.inet_aton(segment.source[0]),
        dst=socket.inet_aton(segment.destination[0]),
        p=ip.IP_PROTO_TCP,
        data=tcp_segment,
    )
    return bytes(ip_packet)


def decode_segment(packet: bytes) -> Segment:
    """Return the segment that an IPv4 packet carries."""
    ip_packet = ip.IP(packet)
    tcp_segment = ip_packet.data
    return Segment(
        (socket.inet_ntoa(ip_packet.src), tcp_segment.sport),
        (socket.inet_ntoa(ip_packet.dst), tcp_segment.dport),
        tcp_segment.flags,
        tcp_segment.seq,
        tcp_segment.data,
    )
