"""Define the datagrams of the failure detector."""

import msgspec

from marlbend.ownership.members.member import Member

__all__ = ('Ack', 'LivenessMessage', 'Ping', 'PingRequest')


class Ping(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Ask an instance for an acknowledgement and send it updates.

    `membership_digest` and `config_version` are those of the sender.
    """

    sequence: int
    membership_digest: int
    config_version: int
    updates: tuple[Member, ...] = ()


class Ack(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Acknowledge a ping and send updates back."""

    sequence: int
    membership_digest: int
    config_version: int
    updates: tuple[Member, ...] = ()


class PingRequest(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """Ask an instance to ping another one, given by name."""

    sequence: int
    target: str
    updates: tuple[Member, ...] = ()


LivenessMessage = Ping | Ack | PingRequest
