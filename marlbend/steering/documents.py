"""Define the typed form of the platform's objects, in marlbend's terms."""

from typing import final

import msgspec

__all__ = (
    'Publication',
    'PublicationChange',
    'RouteSpec',
    'ServiceLimits',
    'UpstreamEntry',
)


@final
class RouteSpec(msgspec.Struct, frozen=True):
    """Distribute the new flows of one address and port to services, by weight.

    `repeatable` is whether requests of this route are idempotent, so that
    callers may retry them.  `target_seconds` is the target latency of its
    requests, zero if there is none.  Zero is the highest `priority`.
    """

    name: str
    endpoint: bytes
    weight_by_service: tuple[tuple[str, int], ...]
    repeatable: bool
    target_seconds: float = 0
    priority: int = 0


@final
class ServiceLimits(msgspec.Struct, frozen=True):
    """Limit the load on one upstream of a service.

    `connections` is the maximum of open flows.  `cold_per_second` is the
    warm-up rate: the new flows per second that a cold upstream can take, zero
    if there is no limit.  An upstream is cold for `cold_seconds` after a start.
    """

    connections: int = 0
    cold_per_second: float = 0
    cold_seconds: float = 0


@final
class Publication(msgspec.Struct, frozen=True):
    """Hold one version of the configuration that the operator published."""

    version: int
    routes: tuple[RouteSpec, ...]
    limits_by_service: dict[str, ServiceLimits]


@final
class PublicationChange(msgspec.Struct, frozen=True, array_like=True):
    """Lead from exactly one version of the configuration to a later one.

    `routes` holds those that were added or that differ, and `removed` the
    endpoints of the others.  `limits_by_service` is complete, or `None` if no
    limit differs.
    """

    since_version: int
    version: int
    routes: tuple[RouteSpec, ...]
    removed: tuple[bytes, ...]
    limits_by_service: dict[str, ServiceLimits] | None


@final
class UpstreamEntry(msgspec.Struct, frozen=True):
    """Describe an upstream as it registered itself.

    `born` is when it started, in milliseconds of the wall clock; it
    distinguishes two starts under one name.  `cold_seconds` is how much longer
    the upstream stays cold, counted from when an instance receives the entry.
    """

    name: str
    service: str
    address: tuple[str, int]
    domain: str
    slots: int
    accepting: bool
    cold_seconds: float
    born: int
