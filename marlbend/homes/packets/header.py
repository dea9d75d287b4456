"""Read the one header that a forwarding decision needs.

The fabric hands over an IPv4 packet inside a UDP datagram.  One precompiled
layout reads the fixed IPv4 header and the start of the TCP header; packets
with IPv4 options are foreign to the fabric and dropped.  Nothing is copied
but the twelve bytes that identify the flow.
"""

import struct
from typing import Final

import xxhash

from marlbend.hashing import HASH_BITS
from marlbend.homes.packets.outcomes import Outcome

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

FIN: Final = 1
SYN: Final = 2
RST: Final = 4
ACK: Final = 0x10

# Digests fit two digits of a Python integer, which keeps flow entries small.
DIGEST_BITS: Final = 60

_DROPPED_BITS: Final = HASH_BITS - DIGEST_BITS
# Version and header length, total length, fragment word, protocol.
_LAYOUT: Final = struct.Struct('!BxHxxHxB')
_MINIMUM_BYTES: Final = 40
_IPV4_WITHOUT_OPTIONS: Final = 0x45
_IPV4_VERSION: Final = 4
_FRAGMENT_MASK: Final = 0x3FFF
_PROTOCOL_TCP: Final = 6
_TCP_OFFSET: Final = 20
_TCP_BYTES_MINIMUM: Final = 20
_TCP_LENGTH_OFFSET: Final = 32
_FLAGS_OFFSET: Final = 33
# Addresses and ports stand side by side: source, destination, then ports.
_TUPLE_START: Final = 12
_DESTINATION_START: Final = 16
_PORTS_START: Final = 20
_DESTINATION_PORT_START: Final = 22
_TUPLE_END: Final = 24
_TUPLE: Final = slice(_TUPLE_START, _TUPLE_END)
_DESTINATION_ADDRESS: Final = slice(_DESTINATION_START, _PORTS_START)
_DESTINATION_PORT: Final = slice(_DESTINATION_PORT_START, _TUPLE_END)

_read_layout: Final = _LAYOUT.unpack_from
_hash_tuple: Final = xxhash.xxh3_64_intdigest


def judge_packet(packet: bytes) -> Outcome:
    """Return ACCEPTED for a whole TCP packet, else the kind of its fault."""
    size = len(packet)
    if size < _MINIMUM_BYTES:
        return Outcome.DROPPED_TRUNCATED
    first, total, fragment, protocol = _read_layout(packet)
    if first != _IPV4_WITHOUT_OPTIONS or protocol != _PROTOCOL_TCP:
        return _name_fault(first)
    if fragment & _FRAGMENT_MASK:
        return Outcome.DROPPED_FRAGMENT
    header_bytes = (packet[_TCP_LENGTH_OFFSET] >> 4) * 4
    if _TCP_BYTES_MINIMUM <= header_bytes <= total - _TCP_OFFSET:
        return Outcome.ACCEPTED if total <= size else Outcome.DROPPED_TRUNCATED
    return Outcome.DROPPED_MALFORMED


def packet_flags(packet: bytes) -> int:
    """Return the TCP flags of an accepted packet."""
    return packet[_FLAGS_OFFSET]


def flow_digest(packet: bytes) -> int:
    """Return the digest of the flow, `DIGEST_BITS` wide."""
    return _hash_tuple(packet[_TUPLE]) >> _DROPPED_BITS


def endpoint_key(packet: bytes) -> bytes:
    """Return destination address and port as six bytes."""
    return packet[_DESTINATION_ADDRESS] + packet[_DESTINATION_PORT]


def _name_fault(first: int) -> Outcome:
    if first == _IPV4_WITHOUT_OPTIONS:
        return Outcome.DROPPED_PROTOCOL
    if first >> 4 == _IPV4_VERSION and first > _IPV4_WITHOUT_OPTIONS:
        return Outcome.DROPPED_OPTIONS
    return Outcome.DROPPED_MALFORMED
