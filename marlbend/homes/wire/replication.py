"""Define the datagrams that carry copies of flows and loads of upstreams."""

import msgspec

from marlbend.homes.wire.flows import FlowGroup

__all__ = ('LoadReport', 'ReplicaUpdate', 'ServiceLoad')


class ReplicaUpdate(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """Copy departures of a home to their heir.

    `ended` are digests of flows that need no copy any more.
    """

    origin: str
    incarnation: int
    epoch: int
    groups: tuple[FlowGroup, ...] = ()
    ended: tuple[int, ...] = ()


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """Count the open flows of a service's upstreams at one home.

    The order is that of the accepting upstreams in the configuration.
    """

    service: str
    counts: tuple[int, ...]


class LoadReport(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """Tell the other homes of some services what this one has placed."""

    origin: str
    config_version: int
    loads: tuple[ServiceLoad, ...]
