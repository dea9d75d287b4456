"""Define the service file and the configuration made of all service files.

A service team maintains one file for its service.  Publishing reads all files,
checks them and writes them to the platform as one object.  The revision of that
object is the version of the configuration.
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

MAX_PORT: Final = 65_535
MAX_COUNT: Final = 1_000_000

Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
DnsLabel = Annotated[str, msgspec.Meta(pattern='^[a-z][a-z0-9-]{0,62}$')]
Count = Annotated[int, msgspec.Meta(ge=1, le=MAX_COUNT)]


class UpstreamSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one upstream of a service.

    `port` receives IP-in-UDP.  `slots` is the maximum of flows that it works
    on concurrently, `connections` the maximum of its open flows.  A draining
    upstream gets no new flows and keeps its open ones.
    """

    name: DnsLabel
    address: str
    domain: DnsLabel
    slots: Count
    connections: Count
    port: Port = 6080
    draining: bool = False


class ServiceSpec(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one service: its endpoints and its upstreams.

    `refusal` is how a new connection is rejected if it cannot be served: by a
    reset, or by dropping its packets silently.
    """

    service: DnsLabel
    addresses: Annotated[tuple[str, ...], msgspec.Meta(min_length=1)]
    ports: Annotated[tuple[Port, ...], msgspec.Meta(min_length=1)]
    refusal: Literal['reset', 'silence']
    upstreams: tuple[UpstreamSpec, ...]


class QuarantinedAddress(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Reserve the address of a removed upstream for its previous service.

    Other services cannot use it before `until`, in seconds since the epoch.
    """

    address: str
    service: str
    until: float


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold every service, sorted by name, for instances that steer by owner.

    `publications` has the IDs of the latest publications, newest first.  A
    publisher that did not get the response to its write looks for its own ID
    there.  `drains` lists upstreams, as `SERVICE/UPSTREAM`, that operators
    drain regardless of their service file.  `resting` lists the quarantined
    addresses.
    """

    services: tuple[ServiceSpec, ...]
    publications: tuple[str, ...] = ()
    drains: tuple[str, ...] = ()
    resting: tuple[QuarantinedAddress, ...] = ()


def drain_key(service: str, upstream: str) -> str:
    """Return the entry of an upstream in `Configuration.drains`."""
    return f'{service}/{upstream}'


def effective_services(document: Configuration) -> tuple[ServiceSpec, ...]:
    """Return the services with the operators' drains applied."""
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
