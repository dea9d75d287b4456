"""Define the datagrams by which instances see that others are alive."""

import msgspec

from marlbend.homes.members.member import Member

__all__ = ('Ack', 'Message', 'Ping', 'PingRequest')


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Ask an instance for an acknowledgement and bring it news.

    `view` is the digest of the sender's view and `config` the version of its
    configuration.
    """

    sequence: int
    view: int
    config: int
    updates: tuple[Member, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Acknowledge a ping and bring news back."""

    sequence: int
    view: int
    config: int
    updates: tuple[Member, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask an instance to ping another one, by name."""

    sequence: int
    target: str
    updates: tuple[Member, ...] = ()


Message = Ping | Ack | PingRequest
