"""Know which services the flows of an address and port may reach.

A publication with a version that is not higher than the one in force is
ignored, whoever brought it, so nothing ever reverts.  A route remembers the
services of its earlier versions, because its open flows stay there.
"""

import zlib
from typing import final

from marlbend.steering.documents import Publication, RouteSpec

__all__ = ('Route', 'RouteTable', 'pick_service', 'update_routes')


@final
class Route:
    """Hold a route in force and every service it was ever allowed."""

    __slots__ = ('services', 'spec')

    def __init__(self, spec: RouteSpec, earlier: frozenset[str]) -> None:
        """Add the services of the route to the earlier ones."""
        self.spec = spec
        named = (service for service, _ in spec.weight_by_service)
        self.services = earlier.union(named)


@final
class RouteTable:
    """Hold the routes of the publication in force.

    `since` is when it came into force, in monotonic seconds.
    `lowest_by_service` is the lowest priority of the routes of each service.
    """

    __slots__ = ('by_endpoint', 'lowest_by_service', 'publication', 'since')

    def __init__(self) -> None:
        """Start with no publication: version zero, no route."""
        self.publication = Publication(0, (), {})
        self.since: float = 0
        self.by_endpoint: dict[bytes, Route] = {}
        self.lowest_by_service: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.publication.version


def update_routes(
    table: RouteTable,
    publication: Publication,
    now: float,
) -> bool:
    """Put a publication in force unless it is old; tell if it was put."""
    if publication.version <= table.version:
        return False
    table.by_endpoint = {
        spec.endpoint: _follow_up(table, spec) for spec in publication.routes
    }
    table.lowest_by_service = _find_lowest(publication)
    table.publication = publication
    table.since = now
    return True


def _find_lowest(publication: Publication) -> dict[str, int]:
    """Return the lowest priority of each service, which is the largest."""
    lowest: dict[str, int] = {}
    for spec in publication.routes:
        for service, _ in spec.weight_by_service:
            known = lowest.get(service, spec.priority)
            lowest[service] = max(known, spec.priority)
    return lowest


def pick_service(spec: RouteSpec, flow: bytes) -> str:
    """Return the service of a new flow.

    The choice is a function of the flow alone, so that copies of an opening
    packet go to one service whichever instance gets them.
    """
    shares = spec.weight_by_service
    if len(shares) == 1:
        return shares[0][0]
    total = sum(weight for _, weight in shares)
    if not total:
        return ''
    left = zlib.crc32(flow) % total
    for service, weight in shares:
        left -= weight
        if left < 0:
            return service
    return ''


def _follow_up(table: RouteTable, spec: RouteSpec) -> Route:
    earlier = table.by_endpoint.get(spec.endpoint)
    return Route(spec, earlier.services if earlier else frozenset())
