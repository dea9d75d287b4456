"""Build the objects that operators and upstreams write to the platform."""

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
    """Return a route from an address and port to a service.

    Requests of kind `safe` may be repeated, those of kind `unsafe` may not.
    """
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
    warmup_rate_by_service: Mapping[str, float],
) -> Document:
    """Return a complete configuration.

    A warm-up rate limits the new flows per second of a cold upstream; zero
    means no limit.
    """
    services = [
        {'name': service, 'warmup_per_s': rate}
        for service, rate in warmup_rate_by_service.items()
    ]
    return {'version': version, 'routes': routes, 'services': services}


def describe_upstream(
    service: str,
    endpoint: tuple[str, int],
    domain: str,
    **changes: object,
) -> Document:
    """Return the registration of a ready upstream, with `changes` applied."""
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
