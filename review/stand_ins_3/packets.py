"""Encode and decode packets as the two ends of a flow do."""

import socket
import struct
import zlib
from typing import NamedTuple

SYN = 1
RST = 2
FIN = 8
ACK = 16
SEQ_BITS = 32
MODULUS = 1 << SEQ_BITS
HALF = MODULUS // 2
# A reset of the system is valid on an open flow within this distance.
RESET_WINDOW = 76_800

# Flags, padding, seq, ack, echo, src, sport, dport, dst, sum, len.
_HEAD = struct.Struct('>B5xIII4sHH4sIH')
_KEY = b'only the two ends know this'


class _Head(NamedTuple):
    flags: int
    seq: int
    ack: int
    echo: int
    src: bytes
    sport: int
    dport: int
    dst: bytes
    total: int
    size: int


class Ends(NamedTuple):
    """Hold the addresses and ports of a packet's sender and receiver."""

    src: str
    sport: int
    dst: str
    dport: int

    def reverse(self):
        """Return the ends of a packet in the other direction."""
        return Ends(self.dst, self.dport, self.src, self.sport)


class Packet:
    """Hold a packet; `is_genuine` is whether its sum is right."""

    __slots__ = ('ack', 'body', 'echo', 'ends', 'flags', 'is_genuine', 'seq')

    def __init__(self, flags, ends, seq, ack, body=b''):
        """Set the fields, with `echo` zero."""
        self.flags = flags
        self.ends = ends
        self.seq = seq % MODULUS
        self.ack = ack % MODULUS
        self.echo = 0
        self.body = body
        self.is_genuine = True

    @property
    def is_system_reset(self):
        """Return whether this is a reset of the system's own."""
        return self.flags == RST and not self.is_genuine and not self.body


def encode(packet):
    """Return the datagram of a packet, with its sum."""
    return _pack(packet, packet.echo, _compute_sum(packet))


def decode(raw):
    """Return the packet in a datagram, or None if it is malformed."""
    if len(raw) < _HEAD.size:
        return None
    head = _Head(*_HEAD.unpack_from(raw))
    if len(raw) != _HEAD.size + head.size:
        return None
    source = socket.inet_ntoa(head.src)
    target = socket.inet_ntoa(head.dst)
    ends = Ends(source, head.sport, target, head.dport)
    packet = Packet(head.flags, ends, head.seq, head.ack, raw[_HEAD.size :])
    packet.echo = head.echo
    packet.is_genuine = head.total == _compute_sum(packet)
    return packet


def distance(start, end):
    """Return the signed distance between two sequence numbers."""
    forward = (end - start) % MODULUS
    return forward - MODULUS if forward >= HALF else forward


def _compute_sum(packet):
    # `echo`, `pad` and BOUNCED are left out.
    return zlib.crc32(_KEY + _pack(packet, 0, 0)) or 1


def _pack(packet, echo, total):
    ends = packet.ends
    head = _HEAD.pack(
        packet.flags,
        packet.seq,
        packet.ack,
        echo,
        socket.inet_aton(ends.src),
        ends.sport,
        ends.dport,
        socket.inet_aton(ends.dst),
        total,
        len(packet.body),
    )
    return head + packet.body
