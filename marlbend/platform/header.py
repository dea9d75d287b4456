"""Decode and encode the header of a packet.

All fields are big-endian.  The platform's documentation abbreviates the names
of the fields; the comments here use these names.  Payloads are never decoded,
except to find a request ID for the log.
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
MAX_PAYLOAD_BYTES: Final = 1200
# Longer request IDs are not logged.
MAX_REQUEST_ID_BYTES: Final = 80

_REQUEST_ID_FIELD: Final = b'X-Request-Id: '
_SYN: Final = 1
_RST: Final = 2
_FIN: Final = 8
# flags, five bytes of padding, seq, ack, echo.  The addresses and ports behind
# them are not unpacked but copied as bytes.
_LEADING_FIELDS: Final = struct.Struct('>B5xIII')
_PAYLOAD_SIZE: Final = struct.Struct('>H')
_HOST_NUMBER: Final = struct.Struct('>Q')
_ECHO_START: Final = 14
_ECHO_END: Final = 18
_DESTINATION_START: Final = 24
_SUM_START: Final = 30
_FLOW_KEY: Final = slice(_ECHO_END, _SUM_START)
_ENDPOINT: Final = slice(_DESTINATION_START, _SUM_START)
_PAYLOAD_SIZE_START: Final = 34
_COOKIE_BYTES: Final = 4
# flags, padding, seq, ack, echo, src, sport, dport, dst, sum, len.
_RESET: Final = struct.Struct('>B5xIII4s2s2s4s6x')

_unpack_leading_fields: Final = _LEADING_FIELDS.unpack_from
_unpack_payload_size: Final = _PAYLOAD_SIZE.unpack_from


def decode_packet(datagram: bytes) -> Packet | None:
    """Return the packet of a caller, or `None` if the datagram is not one.

    A datagram of the wrong length is rejected, and so is a SYN with any other
    flag, such as the SYN-ACK of an upstream.  Other flags are not checked.
    """
    if len(datagram) < HEADER_BYTES:
        return None
    flags, sequence, acknowledged, echo = _unpack_leading_fields(datagram)
    payload_size = _unpack_payload_size(datagram, _PAYLOAD_SIZE_START)[0]
    if payload_size > MAX_PAYLOAD_BYTES or HEADER_BYTES + payload_size != len(
        datagram
    ):
        return None
    syn_flag = flags & _SYN
    if syn_flag and flags & ~_SYN:
        return None
    packet = Packet(datagram)
    packet.flow_key = datagram[_FLOW_KEY]
    packet.endpoint = datagram[_ENDPOINT]
    packet.is_syn = bool(syn_flag)
    packet.is_closing = bool(flags & (_FIN | _RST))
    packet.is_reset = bool(flags & _RST)
    packet.cookie = echo
    packet.sequence = sequence
    packet.payload_size = payload_size
    if syn_flag:
        # In a SYN, `ack` is the number of earlier transmissions.
        packet.attempt = acknowledged
    else:
        packet.acknowledged = acknowledged
    return packet


def encapsulate_packet(packet: Packet, host_number: int, cookie: int) -> bytes:
    """Return the datagram that carries a packet to an upstream.

    The number of the upstream's host precedes the packet.  The cookie is
    written to `echo`, which both ends copy into their later packets.
    """
    raw = packet.raw
    return b''.join(
        (
            _HOST_NUMBER.pack(host_number),
            raw[:_ECHO_START],
            cookie.to_bytes(_COOKIE_BYTES),
            raw[_ECHO_END:],
        )
    )


def find_request_id(packet: Packet) -> str:
    """Return the `X-Request-Id` in a packet's payload, or an empty string.

    For the log only: no decision depends on a caller's payload.
    """
    start = packet.raw.find(_REQUEST_ID_FIELD, HEADER_BYTES)
    if start < 0:
        return ''
    start += len(_REQUEST_ID_FIELD)
    end = packet.raw.find(b'\r\n', start, start + MAX_REQUEST_ID_BYTES)
    return packet.raw[start:end].decode('ascii', 'replace') if end > 0 else ''


def make_reset(packet: Packet) -> tuple[bytes, str]:
    """Return an RST in response to a caller's packet, and the caller's address.

    The `seq` of the RST is the caller's last `ack`; its `sum` stays zero.
    """
    flow_key = packet.flow_key
    source, source_port = flow_key[:4], flow_key[4:6]
    target_port, target = flow_key[6:8], flow_key[8:]
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
