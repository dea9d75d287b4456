"""Write what operators and upstreams leave in the platform's store."""

from collections.abc import Mapping
from typing import Any

__all__ = (
    'Document',
    'describe_configuration',
    'describe_route',
    'describe_upstream',
)

Document = dict[str, Any]


def describe_route(
    endpoint: tuple[str, int],
    service: str,
    kind: str = 'safe',
) -> Document:
    """Return a route from an address and port to a service."""
    address, port = endpoint
    return {
        'name': f'r-{address}-{port}',
        'hostname': address,
        'path_prefix': f'/{port}/',
        'kind': kind,
        'service': service,
    }


def describe_configuration(
    version: int,
    routes: list[Document],
    cold_rate_by_service: Mapping[str, float],
) -> Document:
    """Return a whole configuration.

    Rates are new flows a second that a cold upstream bears, zero for no bound.
    """
    services = [
        {'name': service, 'warmup_per_s': rate}
        for service, rate in cold_rate_by_service.items()
    ]
    return {'version': version, 'routes': routes, 'services': services}


def describe_upstream(
    service: str,
    endpoint: tuple[str, int],
    domain: str,
    **changes: object,
) -> Document:
    """Return the registration of an upstream that is ready."""
    address, port = endpoint
    return {
        'service': service,
        'address': f'{address}:{port}',
        'zone': domain,
        'version': 'v1',
        'slots': 4,
        'state': 'ready',
        'warmup_left_ms': 0,
        'seq': 1,
        'born': 1,
        **changes,
    }
