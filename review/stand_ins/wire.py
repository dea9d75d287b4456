"""Encode and decode packets as the two ends of a flow do."""

import socket
import struct
import zlib
from typing import Final

SYN: Final = 1
RST: Final = 2
FIN: Final = 8
ACK: Final = 16
# Flags, padding, seq, ack, echo, src, sport, dport, dst, sum, len.
HEADER: Final = struct.Struct('>B5xIII4sHH4sIH')
# The address and port of both ends.
_KEY_START: Final = 18
_KEY_END: Final = 30
FLOW_KEY: Final = slice(_KEY_START, _KEY_END)
# Instances don't have this key.
CHECKSUM_KEY: Final = b'known to both ends'
SEQUENCE_BITS: Final = 32
MODULUS: Final = 1 << SEQUENCE_BITS

Endpoint = tuple[str, int]
# The client's end and the route's end.
FlowKey = tuple[Endpoint, Endpoint]


class Packet:
    """Hold one packet; `echo` is the field that the system may write.

    In a SYN, `ack` counts the earlier copies.
    """

    __slots__ = (
        'ack',
        'destination',
        'echo',
        'flags',
        'is_authentic',
        'payload',
        'sequence',
        'source',
    )

    def __init__(
        self, flags: int, source: Endpoint, destination: Endpoint
    ) -> None:
        """Start without data."""
        self.flags = flags
        self.source = source
        self.destination = destination
        self.sequence = 0
        self.ack = 0
        self.echo = 0
        self.payload = b''
        self.is_authentic = True


def encode(packet: Packet) -> bytes:
    """Return the datagram of a packet, with a valid checksum."""
    unsigned = _pack(packet, 0, 0)
    return _pack(packet, packet.echo, _checksum(unsigned))


def decode(datagram: bytes) -> Packet:
    """Return the packet of a datagram; raise `struct.error` if it is short."""
    fields = HEADER.unpack_from(datagram)
    packet = Packet(
        fields[0],
        (socket.inet_ntoa(fields[4]), fields[5]),
        (socket.inet_ntoa(fields[7]), fields[6]),
    )
    packet.sequence = fields[1]
    packet.ack = fields[2]
    packet.echo = fields[3]
    packet.payload = datagram[HEADER.size :]
    packet.is_authentic = _checksum(_pack(packet, 0, 0)) == fields[8]
    return packet


def answer(packet: Packet, flags: int) -> Packet:
    """Return a packet in the other direction, with the same echo."""
    reply = Packet(flags, packet.destination, packet.source)
    reply.sequence = packet.ack
    reply.ack = add(packet.sequence, len(packet.payload))
    reply.echo = packet.echo
    return reply


def add(sequence: int, count: int) -> int:
    """Return a sequence number advanced by a count of bytes."""
    return (sequence + count) % MODULUS


def _checksum(unsigned: bytes) -> int:
    # Resets of the system have zero.
    return zlib.crc32(CHECKSUM_KEY + unsigned) or 1


def _pack(packet: Packet, echo: int, total: int) -> bytes:
    head = HEADER.pack(
        packet.flags,
        packet.sequence,
        packet.ack,
        echo,
        socket.inet_aton(packet.source[0]),
        packet.source[1],
        packet.destination[1],
        socket.inet_aton(packet.destination[0]),
        total,
        len(packet.payload),
    )
    return head + packet.payload
