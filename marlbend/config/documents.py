"""Define the service file and the published configuration.

A service team keeps one file for its service.  The publishing step collects
the files, checks the whole and writes it to the platform as one object; the
version of that object is the version of the configuration.
"""

from typing import Annotated, Final, Literal

import msgspec

__all__ = (
    'Configuration',
    'QuarantinedAddress',
    'ServiceSpec',
    'UpstreamSpec',
    'drain_key',
    'effective_services',
)

HIGHEST_PORT: Final = 65_535
HIGHEST_COUNT: Final = 1_000_000

Port = Annotated[int, msgspec.Meta(ge=1, le=HIGHEST_PORT)]
Name = Annotated[str, msgspec.Meta(pattern='^[a-z][a-z0-9-]{0,62}$')]
Count = Annotated[int, msgspec.Meta(ge=1, le=HIGHEST_COUNT)]


class UpstreamSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one upstream of a service.

    `port` takes IP-in-UDP.  `slots` bounds the flows it works on at the same
    time, `connections` its open flows.  A draining upstream takes no new
    flows and keeps its old ones.
    """

    name: Name
    address: str
    domain: Name
    slots: Count
    connections: Count
    port: Port = 6080
    draining: bool = False


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one service: where callers reach it and who serves it.

    `refusal` says how a new connection is refused that cannot be served.
    """

    service: Name
    addresses: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    ports: Annotated[tuple[Port, ...], msgspec.Meta(min_length=1)]
    refusal: Literal['reset', 'silence']
    upstreams: tuple[UpstreamSpec, ...]


class QuarantinedAddress(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Keep the address of a former upstream from other services.

    `until` is seconds since the epoch.
    """

    address: str
    service: str
    until: float


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold every service, sorted by name.

    `publications` identifies the latest publishing steps, newest first.  A
    publisher that lost the answer to its write finds itself there.  `drains`
    names upstreams, `SERVICE/UPSTREAM`, that operators drain whatever their
    service file says.
    """

    services: tuple[ServiceSpec, ...]
    publications: tuple[str, ...] = ()
    drains: tuple[str, ...] = ()
    resting: tuple[QuarantinedAddress, ...] = ()


def drain_key(service: str, upstream: str) -> str:
    """Return how an upstream is named among the drains."""
    return f'{service}/{upstream}'


def effective_services(document: Configuration) -> tuple[ServiceSpec, ...]:
    """Return the services with the drains of operators applied."""
    drains = frozenset(document.drains)
    if not drains:
        return document.services
    return tuple(_apply_drains(spec, drains) for spec in document.services)


def _apply_drains(spec: ServiceSpec, drains: frozenset[str]) -> ServiceSpec:
    upstreams = tuple(
        msgspec.structs.replace(upstream, draining=True)
        if drain_key(spec.service, upstream.name) in drains
        else upstream
        for upstream in spec.upstreams
    )
    return msgspec.structs.replace(spec, upstreams=upstreams)
