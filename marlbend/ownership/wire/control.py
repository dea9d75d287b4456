"""Encode and decode the datagrams of the control port."""

from typing import Final

import msgspec

from marlbend.ownership.wire.liveness import Ack, Ping, PingRequest
from marlbend.ownership.wire.replication import LoadReport, ReplicaUpdate
from marlbend.validation import VALUE_ERRORS

__all__ = ('ControlMessage', 'decode', 'encode')

ControlMessage = Ping | Ack | PingRequest | ReplicaUpdate | LoadReport

_decoder: Final = msgspec.msgpack.Decoder(ControlMessage)
_encoder: Final = msgspec.msgpack.Encoder()


def encode(message: ControlMessage) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode(datagram: bytes) -> ControlMessage | None:
    """Return the message, or None if the datagram is malformed."""
    try:
        return _decoder.decode(datagram)
    except VALUE_ERRORS:
        return None
