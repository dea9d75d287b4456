"""Read and write the header of a packet, and nothing of its data.

All fields are big-endian.  The platform's names are short; what they hold is
said where they are decoded.
"""

import struct
from typing import Final

from marlbend.steering.packet import Packet

__all__ = (
    'decode_packet',
    'encapsulate_packet',
    'find_request_id',
    'make_reset',
)

HEADER_BYTES: Final = 36
DATA_BYTES: Final = 1200
# Longer ids are left out of the log.
REQUEST_ID_BYTES: Final = 80

_REQUEST_ID: Final = b'X-Request-Id: '
_SYN: Final = 1
_RST: Final = 2
_FIN: Final = 8
# flags, five bytes of padding, seq, ack, echo; what follows is kept as bytes.
_HEAD: Final = struct.Struct('>B5xIII')
_LENGTH: Final = struct.Struct('>H')
_HOST: Final = struct.Struct('>Q')
_ECHO_START: Final = 14
_ECHO_END: Final = 18
_DESTINATION_START: Final = 24
_SUM_START: Final = 30
_FLOW: Final = slice(_ECHO_END, _SUM_START)
_ENDPOINT: Final = slice(_DESTINATION_START, _SUM_START)
_LENGTH_START: Final = 34
_COOKIE_BYTES: Final = 4
# flags, padding, seq, ack, echo, src, sport, dport, dst, sum, len.
_RESET: Final = struct.Struct('>B5xIII4s2s2s4s6x')

_read_head: Final = _HEAD.unpack_from
_read_length: Final = _LENGTH.unpack_from


def decode_packet(datagram: bytes) -> Packet | None:
    """Decode a packet of a caller; return nothing if it is none.

    What only upstreams send, or nobody, is not a packet of a caller.
    """
    if len(datagram) < HEADER_BYTES:
        return None
    flags, sequence, acknowledged, echo = _read_head(datagram)
    size = _read_length(datagram, _LENGTH_START)[0]
    if size > DATA_BYTES or HEADER_BYTES + size != len(datagram):
        return None
    opening = flags & _SYN
    if opening and flags & ~_SYN:
        return None
    packet = Packet(datagram)
    packet.flow_key = datagram[_FLOW]
    packet.endpoint = datagram[_ENDPOINT]
    packet.is_syn = bool(opening)
    packet.is_closing = bool(flags & (_FIN | _RST))
    packet.is_reset = bool(flags & _RST)
    packet.cookie = echo
    packet.sequence = sequence
    packet.payload_size = size
    if opening:
        # On an opening packet `ack` counts the copies sent before.
        packet.attempt = acknowledged
    else:
        packet.acknowledged = acknowledged
    return packet


def encapsulate_packet(packet: Packet, host: int, cookie: int) -> bytes:
    """Return a packet for an upstream: the host's number, then the packet.

    The cookie goes into `echo`, which both ends repeat.
    """
    raw = packet.raw
    return b''.join(
        (
            _HOST.pack(host),
            raw[:_ECHO_START],
            cookie.to_bytes(_COOKIE_BYTES),
            raw[_ECHO_END:],
        )
    )


def find_request_id(packet: Packet) -> str:
    """Return the id of the request whose head a packet holds, for the log.

    No decision reads a caller's data.
    """
    start = packet.raw.find(_REQUEST_ID, HEADER_BYTES)
    if start < 0:
        return ''
    start += len(_REQUEST_ID)
    end = packet.raw.find(b'\r\n', start, start + REQUEST_ID_BYTES)
    return packet.raw[start:end].decode('ascii', 'replace') if end > 0 else ''


def make_reset(packet: Packet) -> tuple[bytes, str]:
    """Return a reset for the caller of a packet, and the caller's address.

    Its `seq` is what the caller acknowledged last; its `sum` stays zero.
    """
    flow = packet.flow_key
    source, source_port = flow[:4], flow[4:6]
    target_port, target = flow[6:8], flow[8:]
    reset = _RESET.pack(
        _RST,
        packet.acknowledged,
        0,
        0,
        target,
        target_port,
        source_port,
        source,
    )
    return reset, '.'.join(map(str, source))
