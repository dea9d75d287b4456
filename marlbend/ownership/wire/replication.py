"""Define the datagrams for replicas of flows and loads of upstreams."""

import msgspec

from marlbend.ownership.wire.flows import FlowGroup

__all__ = ('LoadReport', 'ReplicaUpdate', 'ServiceLoad')


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Replicate overrides of an owner to the successor of their hash slots.

    `ended` has the digests of flows whose replicas are no longer needed.
    """

    origin: str
    incarnation: int
    epoch: int
    groups: tuple[FlowGroup, ...] = ()
    ended: tuple[int, ...] = ()


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Count the open flows that one owner has on each upstream of a service.

    `counts` is in the order of the accepting upstreams in the configuration.
    """

    service: str
    counts: tuple[int, ...]


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Report the open flows of one owner to the other owners, by service."""

    origin: str
    config_version: int
    loads: tuple[ServiceLoad, ...]
