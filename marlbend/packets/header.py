"""Read the one header that a forwarding decision needs.

The fabric hands over an IPv4 packet inside a UDP datagram.  One precompiled
layout reads the fixed IPv4 header and the start of the TCP header; packets
with IPv4 options are foreign to the fabric and dropped.  Nothing is copied
but the twelve bytes that identify the flow.
"""

import struct
from typing import Final

import xxhash

from marlbend.packets.outcomes import Outcome

__all__ = (
    'ACK',
    'DIGEST_BITS',
    'FIN',
    'RST',
    'SYN',
    'endpoint_key',
    'flow_digest',
    'judge_packet',
    'packet_flags',
)

FIN: Final = 0x01
SYN: Final = 0x02
RST: Final = 0x04
ACK: Final = 0x10

# Digests fit two digits of a Python integer, which keeps flow entries small.
DIGEST_BITS: Final = 60

_DROPPED_BITS: Final = 64 - DIGEST_BITS
# version and length, total length, fragment word, protocol, TCP data offset.
_LAYOUT: Final = struct.Struct('!BxHxxHxB22xB')
_MINIMUM_BYTES: Final = 40
_IPV4_WITHOUT_OPTIONS: Final = 0x45
_IPV4_VERSION: Final = 4
_FRAGMENT_MASK: Final = 0x3FFF
_PROTOCOL_TCP: Final = 6
_TCP_OFFSET: Final = 20
_TCP_BYTES_MINIMUM: Final = 20
_FLAGS_OFFSET: Final = 33
# Source address, destination address, source port, destination port.
_TUPLE: Final = slice(12, 24)
_DESTINATION_ADDRESS: Final = slice(16, 20)
_DESTINATION_PORT: Final = slice(22, 24)

_read_layout: Final = _LAYOUT.unpack_from
_hash_tuple: Final = xxhash.xxh3_64_intdigest


def judge_packet(packet: bytes) -> Outcome:
    """Return ACCEPTED for a whole TCP packet, else the kind of its fault."""
    if len(packet) < _MINIMUM_BYTES:
        return Outcome.DROPPED_TRUNCATED
    first, total, fragment, protocol, offset = _read_layout(packet)
    if (
        first == _IPV4_WITHOUT_OPTIONS
        and protocol == _PROTOCOL_TCP
        and not fragment & _FRAGMENT_MASK
        and _TCP_BYTES_MINIMUM <= (offset >> 4) * 4 <= total - _TCP_OFFSET
        and total <= len(packet)
    ):
        return Outcome.ACCEPTED
    return _name_fault(first, fragment, protocol, len(packet) - total)


def packet_flags(packet: bytes) -> int:
    """Return the TCP flags of an accepted packet."""
    return packet[_FLAGS_OFFSET]


def flow_digest(packet: bytes) -> int:
    """Return the digest of the flow, `DIGEST_BITS` wide."""
    return _hash_tuple(packet[_TUPLE]) >> _DROPPED_BITS


def endpoint_key(packet: bytes) -> bytes:
    """Return destination address and port as six bytes."""
    return packet[_DESTINATION_ADDRESS] + packet[_DESTINATION_PORT]


def _name_fault(
    first: int,
    fragment: int,
    protocol: int,
    spare_bytes: int,
) -> Outcome:
    if first >> 4 == _IPV4_VERSION and first > _IPV4_WITHOUT_OPTIONS:
        return Outcome.DROPPED_OPTIONS
    if first != _IPV4_WITHOUT_OPTIONS:
        return Outcome.DROPPED_MALFORMED
    if fragment & _FRAGMENT_MASK:
        return Outcome.DROPPED_FRAGMENT
    if protocol != _PROTOCOL_TCP:
        return Outcome.DROPPED_PROTOCOL
    if spare_bytes < 0:
        return Outcome.DROPPED_TRUNCATED
    return Outcome.DROPPED_MALFORMED
