"""Encode and decode packets as the two endpoints of a flow do.

The checksum covers a packet without its cookie.
"""

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
MAX_PAYLOAD_BYTES: Final = 1200

# Flags, padding, sequence number, acknowledgment number, cookie, source address
# and port, destination port and address, checksum, payload length.
_HEADER: Final = struct.Struct('>B5xIII4sHH4sIH')
# Instances don't have the key, so they can't forge a packet of an endpoint.
_CHECKSUM_KEY: Final = b'known to both ends'
SEQUENCE_BITS: Final = 32
_SEQUENCE_MODULUS: Final = 1 << SEQUENCE_BITS

Endpoint = tuple[str, int]
# The endpoint of the caller and that of the route.
FlowKey = tuple[Endpoint, Endpoint]


class Packet(msgspec.Struct, frozen=True):
    """Hold a packet; `is_authentic` is whether its checksum is valid.

    In a SYN, `acknowledged` holds the number of earlier transmissions.
    """

    flags: int
    source: Endpoint
    destination: Endpoint
    sequence: int = 0
    acknowledged: int = 0
    cookie: int = 0
    payload: bytes = b''
    is_authentic: bool = True


def encode_packet(packet: Packet) -> bytes:
    """Return the datagram of a packet, with a valid checksum."""
    unsigned = _encode(packet, 0, 0)
    return _encode(packet, packet.cookie, _compute_checksum(unsigned))


def decode_packet(raw: bytes) -> Packet | None:
    """Return the packet in a datagram, or None if it is too short."""
    if len(raw) < _HEADER.size:
        return None
    fields = _HEADER.unpack_from(raw)
    packet = Packet(
        flags=fields[0],
        source=(socket.inet_ntoa(fields[4]), fields[5]),
        destination=(socket.inet_ntoa(fields[7]), fields[6]),
        sequence=fields[1],
        acknowledged=fields[2],
        cookie=fields[3],
        payload=raw[_HEADER.size :],
    )
    if _compute_checksum(_encode(packet, 0, 0)) == fields[8]:
        return packet
    return msgspec.structs.replace(packet, is_authentic=False)


def flow_key(packet: Packet) -> FlowKey:
    """Return the key of the flow that a caller's packet belongs to."""
    return packet.source, packet.destination


def add_to_sequence(sequence: int, count: int) -> int:
    """Return a sequence number advanced by a count of bytes."""
    return (sequence + count) % _SEQUENCE_MODULUS


def sequence_distance(start: int, end: int) -> int:
    """Return the signed distance between two sequence numbers.

    It is negative if the end precedes the start.
    """
    forward = (end - start) % _SEQUENCE_MODULUS
    return (
        forward - _SEQUENCE_MODULUS
        if forward > _SEQUENCE_MODULUS // 2
        else forward
    )


def _encode(packet: Packet, cookie: int, checksum: int) -> bytes:
    header = _HEADER.pack(
        packet.flags,
        packet.sequence,
        packet.acknowledged,
        cookie,
        socket.inet_aton(packet.source[0]),
        packet.source[1],
        packet.destination[1],
        socket.inet_aton(packet.destination[0]),
        checksum,
        len(packet.payload),
    )
    return header + packet.payload


def _compute_checksum(unsigned: bytes) -> int:
    # Instances send resets with checksum zero, so a valid one is never zero.
    return zlib.crc32(_CHECKSUM_KEY + unsigned) or 1
