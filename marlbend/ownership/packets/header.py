"""Parse the IPv4 and TCP headers of a packet for forwarding.

The fabric delivers an IPv4 packet inside a UDP datagram.  One precompiled
`struct` layout reads the fixed part of the IPv4 header.  Packets with IPv4
options do not occur on the fabric and are dropped.  Only the twelve bytes that
identify the flow are copied.
"""

import struct
from typing import Final

import xxhash

from marlbend.hashing import HASH_BITS
from marlbend.ownership.packets.outcomes import Outcome

__all__ = (
    'ACK',
    'DIGEST_BITS',
    'FIN',
    'RST',
    'SYN',
    'endpoint_key',
    'flow_digest',
    'tcp_flags',
    'validate_packet',
)

FIN: Final = 1
SYN: Final = 2
RST: Final = 4
ACK: Final = 0x10

# Fits two 30-bit digits of a CPython integer, which keeps table entries small.
DIGEST_BITS: Final = 60

_DIGEST_SHIFT: Final = HASH_BITS - DIGEST_BITS
# Version and header length, total length, flags and fragment offset, protocol.
_IPV4_LAYOUT: Final = struct.Struct('!BxHxxHxB')
_MIN_PACKET_BYTES: Final = 40
_IPV4_WITHOUT_OPTIONS: Final = 0x45
_IPV4_VERSION: Final = 4
# The more-fragments flag and the fragment offset.
_FRAGMENT_MASK: Final = 0x3FFF
_PROTOCOL_TCP: Final = 6
_TCP_OFFSET: Final = 20
_MIN_TCP_HEADER_BYTES: Final = 20
_TCP_LENGTH_OFFSET: Final = 32
_TCP_FLAGS_OFFSET: Final = 33
# The source and destination addresses and both ports are contiguous.
_TUPLE_START: Final = 12
_DESTINATION_START: Final = 16
_PORTS_START: Final = 20
_DESTINATION_PORT_START: Final = 22
_TUPLE_END: Final = 24
_TUPLE: Final = slice(_TUPLE_START, _TUPLE_END)
_DESTINATION_ADDRESS: Final = slice(_DESTINATION_START, _PORTS_START)
_DESTINATION_PORT: Final = slice(_DESTINATION_PORT_START, _TUPLE_END)

_unpack_ipv4: Final = _IPV4_LAYOUT.unpack_from
_hash_bytes: Final = xxhash.xxh3_64_intdigest


def validate_packet(packet: bytes) -> Outcome:
    """Return ACCEPTED for a complete TCP packet, else the reason to drop it."""
    size = len(packet)
    if size < _MIN_PACKET_BYTES:
        return Outcome.DROPPED_TRUNCATED
    version_and_ihl, total_length, fragment_field, protocol = _unpack_ipv4(
        packet
    )
    if version_and_ihl != _IPV4_WITHOUT_OPTIONS or protocol != _PROTOCOL_TCP:
        return _classify_header_fault(version_and_ihl)
    if fragment_field & _FRAGMENT_MASK:
        return Outcome.DROPPED_FRAGMENT
    tcp_header_bytes = (packet[_TCP_LENGTH_OFFSET] >> 4) * 4
    if _MIN_TCP_HEADER_BYTES <= tcp_header_bytes <= total_length - _TCP_OFFSET:
        return (
            Outcome.ACCEPTED
            if total_length <= size
            else Outcome.DROPPED_TRUNCATED
        )
    return Outcome.DROPPED_MALFORMED


def tcp_flags(packet: bytes) -> int:
    """Return the TCP flags of a valid packet."""
    return packet[_TCP_FLAGS_OFFSET]


def flow_digest(packet: bytes) -> int:
    """Return the digest of a packet's flow, `DIGEST_BITS` wide."""
    return _hash_bytes(packet[_TUPLE]) >> _DIGEST_SHIFT


def endpoint_key(packet: bytes) -> bytes:
    """Return the destination address and port as six bytes."""
    return packet[_DESTINATION_ADDRESS] + packet[_DESTINATION_PORT]


def _classify_header_fault(version_and_ihl: int) -> Outcome:
    if version_and_ihl == _IPV4_WITHOUT_OPTIONS:
        return Outcome.DROPPED_PROTOCOL
    if (
        version_and_ihl >> 4 == _IPV4_VERSION
        and version_and_ihl > _IPV4_WITHOUT_OPTIONS
    ):
        return Outcome.DROPPED_OPTIONS
    return Outcome.DROPPED_MALFORMED
