"""Define the service file and the published configuration.

A service team keeps one file for its service.  The publishing step collects
the files, checks the whole and writes it to the platform as one object; the
version of that object is the version of the configuration.
"""

from typing import Annotated, Final, Literal

import msgspec

__all__ = ('Configuration', 'ServiceSpec', 'UpstreamSpec')

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


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold every service, sorted by name.

    `publications` identifies the latest publishing steps, newest first.  A
    publisher that lost the answer to its write finds itself there.
    """

    services: tuple[ServiceSpec, ...]
    publications: tuple[str, ...] = ()
