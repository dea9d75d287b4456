"""Hold the routes: the services for the flows of each address and port.

A publication whose version is not higher than the one in force is ignored,
whichever instance sent it, so the configuration never reverts.  A route keeps
the services of its previous versions, because its open flows stay on them.
"""

import zlib
from typing import final

from marlbend.steering.documents import (
    Publication,
    PublicationChange,
    RouteSpec,
)

__all__ = (
    'Route',
    'RouteTable',
    'change_publication',
    'compare_publications',
    'pick_service',
    'update_routes',
)


@final
class Route:
    """Hold a route in force.

    `services` holds the services of this and all previous versions.
    """

    __slots__ = ('services', 'spec')

    def __init__(self, spec: RouteSpec, previous: frozenset[str]) -> None:
        """Add the services of the route to the previous ones."""
        self.spec = spec
        current = (service for service, _ in spec.weight_by_service)
        self.services = previous.union(current)


@final
class RouteTable:
    """Hold the routes of the publication in force.

    `in_force_since` is when it came into force, in steady seconds.
    `lowest_priority_by_service` is the lowest priority, which is the largest
    number, of the routes of each service.
    """

    __slots__ = (
        'by_endpoint',
        'in_force_since',
        'lowest_priority_by_service',
        'publication',
    )

    def __init__(self) -> None:
        """Start without routes, at version zero."""
        self.publication = Publication(0, (), {})
        self.in_force_since: float = 0
        self.by_endpoint: dict[bytes, Route] = {}
        self.lowest_priority_by_service: dict[str, int] = {}

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.publication.version


def update_routes(
    table: RouteTable,
    publication: Publication,
    now: float,
) -> bool:
    """Apply a publication unless it is old; return whether it was applied."""
    if publication.version <= table.version:
        return False
    table.by_endpoint = {
        spec.endpoint: _make_route(table, spec) for spec in publication.routes
    }
    table.lowest_priority_by_service = _find_lowest_priorities(publication)
    table.publication = publication
    table.in_force_since = now
    return True


def compare_publications(
    previous: Publication, current: Publication
) -> PublicationChange:
    """Return the change that leads from one publication to another."""
    previous_specs = _specs_by_endpoint(previous)
    current_specs = _specs_by_endpoint(current)
    limits = current.limits_by_service
    return PublicationChange(
        previous.version,
        current.version,
        tuple(
            spec
            for endpoint, spec in current_specs.items()
            if previous_specs.get(endpoint) != spec
        ),
        tuple(each for each in previous_specs if each not in current_specs),
        None if limits == previous.limits_by_service else limits,
    )


def change_publication(
    previous: Publication, change: PublicationChange
) -> Publication | None:
    """Return the publication that a change leads to.

    Return `None` if the change starts at another version: it need not mention a
    route that was added and removed between the two versions.
    """
    if change.since_version != previous.version:
        return None
    spec_by_endpoint = _specs_by_endpoint(previous)
    for endpoint in change.removed:
        spec_by_endpoint.pop(endpoint, None)
    spec_by_endpoint.update((each.endpoint, each) for each in change.routes)
    limits = change.limits_by_service
    return Publication(
        change.version,
        tuple(spec_by_endpoint.values()),
        previous.limits_by_service if limits is None else limits,
    )


def _specs_by_endpoint(publication: Publication) -> dict[bytes, RouteSpec]:
    return {spec.endpoint: spec for spec in publication.routes}


def _find_lowest_priorities(publication: Publication) -> dict[str, int]:
    """Return the lowest priority, the largest number, of each service."""
    lowest_by_service: dict[str, int] = {}
    for spec in publication.routes:
        for service, _ in spec.weight_by_service:
            lowest = lowest_by_service.get(service, spec.priority)
            lowest_by_service[service] = max(lowest, spec.priority)
    return lowest_by_service


def pick_service(spec: RouteSpec, flow_key: bytes) -> str:
    """Return the service for a new flow, or '' if no service has a weight.

    A single service gets all flows, whatever its weight.  The choice depends on
    the flow key alone, so that retransmissions of a SYN reach the same service
    whichever instance receives them.
    """
    weights = spec.weight_by_service
    if len(weights) == 1:
        return weights[0][0]
    total = sum(weight for _, weight in weights)
    if not total:
        return ''
    remaining = zlib.crc32(flow_key) % total
    for service, weight in weights:
        remaining -= weight
        if remaining < 0:
            return service
    return ''


def _make_route(table: RouteTable, spec: RouteSpec) -> Route:
    previous = table.by_endpoint.get(spec.endpoint)
    return Route(spec, previous.services if previous else frozenset())
