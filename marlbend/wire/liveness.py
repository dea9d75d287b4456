"""Define the datagrams by which instances see that others are alive."""

from typing import Final

import msgspec

from marlbend.members.member import Member

__all__ = ('Ack', 'Message', 'Ping', 'PingRequest', 'decode', 'encode')


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Ask an instance for an acknowledgement and bring it news."""

    sequence: int
    news: tuple[Member, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Acknowledge a ping and bring news back."""

    sequence: int
    news: tuple[Member, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask an instance to ping another one, by name."""

    sequence: int
    target: str
    news: tuple[Member, ...] = ()


Message = Ping | Ack | PingRequest

_decoder: Final = msgspec.msgpack.Decoder(Message)
_encoder: Final = msgspec.msgpack.Encoder()


def encode(message: Message) -> bytes:
    """Return the datagram of a message."""
    return _encoder.encode(message)


def decode(datagram: bytes) -> Message | None:
    """Return the message, or nothing for bytes that are none."""
    try:
        return _decoder.decode(datagram)
    except msgspec.DecodeError:
        return None
