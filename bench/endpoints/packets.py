"""Build and read packets as the two ends of a flow do."""

import socket
import struct
import zlib
from typing import Final

import msgspec

__all__ = (
    'ACK',
    'FIN',
    'RST',
    'SEQUENCE_BITS',
    'SYN',
    'Endpoint',
    'FlowKey',
    'Packet',
    'add_to_sequence',
    'decode_packet',
    'encode_packet',
    'flow_key',
    'sequence_distance',
)

SYN: Final = 1
RST: Final = 2
FIN: Final = 8
ACK: Final = 16
DATA_BYTES: Final = 1200

# flags, padding, seq, ack, echo, src, sport, dport, dst, sum, len.
_HEAD: Final = struct.Struct('>B5xIII4sHH4sIH')
# Instances do not know it, so that they cannot write a packet of an end.
_KEY: Final = b'known to both ends'
SEQUENCE_BITS: Final = 32
_SEQUENCE_NUMBERS: Final = 1 << SEQUENCE_BITS

Endpoint = tuple[str, int]
# The caller's end and the route's.
FlowKey = tuple[Endpoint, Endpoint]


class Packet(msgspec.Struct, frozen=True):
    """Hold a packet; one that no end wrote so is not `is_authentic`."""

    flags: int
    source: Endpoint
    destination: Endpoint
    sequence: int = 0
    acknowledged: int = 0
    cookie: int = 0
    payload: bytes = b''
    is_authentic: bool = True


def encode_packet(packet: Packet) -> bytes:
    """Return a packet as its end writes it."""
    bare = _encode(packet, 0, 0)
    return _encode(packet, packet.cookie, _sum_of(bare))


def decode_packet(raw: bytes) -> Packet | None:
    """Return the packet in a datagram, or nothing if it is none."""
    if len(raw) < _HEAD.size:
        return None
    parts = _HEAD.unpack_from(raw)
    packet = Packet(
        flags=parts[0],
        source=(socket.inet_ntoa(parts[4]), parts[5]),
        destination=(socket.inet_ntoa(parts[7]), parts[6]),
        sequence=parts[1],
        acknowledged=parts[2],
        cookie=parts[3],
        payload=raw[_HEAD.size :],
    )
    if _sum_of(_encode(packet, 0, 0)) == parts[8]:
        return packet
    return msgspec.structs.replace(packet, is_authentic=False)


def flow_key(packet: Packet) -> FlowKey:
    """Return the flow of a caller's packet."""
    return packet.source, packet.destination


def add_to_sequence(position: int, count: int) -> int:
    """Return a byte position so much later."""
    return (position + count) % _SEQUENCE_NUMBERS


def sequence_distance(start: int, end: int) -> int:
    """Return how far a position is after another one, negative if before."""
    ahead = (end - start) % _SEQUENCE_NUMBERS
    return (
        ahead - _SEQUENCE_NUMBERS if ahead > _SEQUENCE_NUMBERS // 2 else ahead
    )


def _encode(packet: Packet, cookie: int, check: int) -> bytes:
    head = _HEAD.pack(
        packet.flags,
        packet.sequence,
        packet.acknowledged,
        cookie,
        socket.inet_aton(packet.source[0]),
        packet.source[1],
        packet.destination[1],
        socket.inet_aton(packet.destination[0]),
        check,
        len(packet.payload),
    )
    return head + packet.payload


def _sum_of(bare: bytes) -> int:
    # A reset of an instance carries zero.
    return zlib.crc32(_KEY + bare) or 1
