"""Type what the platform holds for the product, in the product's words."""

from typing import final

import msgspec

__all__ = ('Publication', 'RouteSpec', 'ServiceLimits', 'UpstreamEntry')


@final
class RouteSpec(msgspec.Struct, frozen=True):
    """Send new flows of one address and port to services, by weight.

    `repeatable` says that callers may send a request of this route again.
    `target_seconds` is within what time its requests are to be answered, zero
    if nothing is said; the highest `priority` is zero.
    """

    name: str
    endpoint: bytes
    weight_by_service: tuple[tuple[str, int], ...]
    repeatable: bool
    target_seconds: float = 0
    priority: int = 0


@final
class ServiceLimits(msgspec.Struct, frozen=True):
    """Bound what one upstream of a service bears.

    `connections` counts open flows; `cold_per_second` is the rate of new
    flows that a cold upstream bears, zero where none is given.
    """

    connections: int = 0
    cold_per_second: float = 0


@final
class Publication(msgspec.Struct, frozen=True):
    """Hold one version of the operator's configuration."""

    version: int
    routes: tuple[RouteSpec, ...]
    limits_by_service: dict[str, ServiceLimits]


@final
class UpstreamEntry(msgspec.Struct, frozen=True):
    """Describe an upstream as it registered itself.

    `born` is the millisecond of its start by the wall clock; it tells two
    starts under one name apart.  `cold_seconds` says how much longer it stays
    cold, as of when the entry was written.
    """

    name: str
    service: str
    address: tuple[str, int]
    domain: str
    slots: int
    accepting: bool
    cold_seconds: float
    born: int
