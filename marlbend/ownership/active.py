"""Build the lookup tables of the packet path from a configuration.

A configuration whose version is not higher than the active one is ignored,
whatever its source, so that the active configuration never reverts.

Versions of different eras of the store say nothing about which configuration is
later: the first one of an era may be older than the last one of the era before.
Then the IDs of the publications tell.
"""

import functools
import ipaddress
import math
from collections.abc import Iterator
from typing import Final, final

from marlbend.config.documents import (
    Configuration,
    ServiceSpec,
    UpstreamSpec,
    effective_services,
)
from marlbend.config.quarantine import RETIRED_UPSTREAM_SECONDS
from marlbend.hashing import hash_number, hash_text, rendezvous_score
from marlbend.ownership.upstreams import Upstream, UpstreamPool
from marlbend.platform.client import find_era

__all__ = (
    'PREVIOUS_OWNER_LOOKUP_SECONDS',
    'ActiveConfig',
    'Service',
    'apply_configuration',
)

# The digest of a flow selects a bucket, which maps to a failure domain.
BUCKET_COUNT: Final = 256
# Flows are looked up at previous owners for this long after a change of owner.
PREVIOUS_OWNER_LOOKUP_SECONDS: Final = 15.0
BUCKET_CACHE_SIZE: Final = 1024

_PORT_BYTES: Final = 2


@final
class Service:
    """Hold the lookup data of one service.

    `domain_by_bucket` is the failure domain of each digest bucket.
    `previous_domain_by_bucket` is the domain before the latest change; flows
    are looked up at its owners until `previous_domain_until` (monotonic time
    in seconds).  `accepting_upstreams` holds those that accept new flows.
    `hash_slot_offset` is added to the hash slot number taken from a digest.
    """

    __slots__ = (
        'accepting_upstreams',
        'domain_by_bucket',
        'domains',
        'hash_slot_offset',
        'name',
        'previous_domain_by_bucket',
        'previous_domain_until',
    )

    def __init__(self, name: str) -> None:
        """Start as a service without upstreams."""
        self.name = name
        self.hash_slot_offset = hash_text(name)
        self.accepting_upstreams: tuple[Upstream, ...] = ()
        self.domains: tuple[str, ...] = ()
        unassigned = ('',) * BUCKET_COUNT
        self.domain_by_bucket: tuple[str, ...] = unassigned
        self.previous_domain_by_bucket: tuple[str, ...] = unassigned
        self.previous_domain_until: float = 0


@final
class ActiveConfig:
    """Hold the active configuration and its lookup tables."""

    __slots__ = (
        'document',
        'pool',
        'service_by_endpoint',
        'service_by_name',
        'spec_by_name',
        'version',
    )

    def __init__(self) -> None:
        """Start without services, at version zero."""
        self.version = 0
        self.document = Configuration(())
        self.pool = UpstreamPool()
        self.service_by_name: dict[str, Service] = {}
        self.spec_by_name: dict[str, ServiceSpec] = {}
        self.service_by_endpoint: dict[bytes, Service] = {}


def apply_configuration(
    active: ActiveConfig,
    version: int,
    document: Configuration,
    now: float,
) -> bool:
    """Activate a configuration; return `False` if it is old.

    One that the store lost stays active, under the version of the copy.  `now`
    is monotonic time in seconds.  Where the change moves flows to other
    owners, these look the flows up at the previous owners for
    `PREVIOUS_OWNER_LOOKUP_SECONDS`.
    """
    is_other_era = find_era(version) != find_era(active.version)
    if version <= active.version:
        may_be_lost = is_other_era or version == active.version
        if not may_be_lost or not _is_based_on(document, active.document):
            return False
    elif is_other_era and (
        # Without an ID, the one that is known to be confirmed stays.
        not document.publications or _is_based_on(active.document, document)
    ):
        active.version = version
        return True
    _activate(active, document, now)
    active.version = max(version, active.version)
    return True


def _is_based_on(document: Configuration, other: Configuration) -> bool:
    """Return whether a configuration was made from another, or from a later."""
    latest = other.publications[:1]
    return bool(latest) and latest[0] in document.publications[1:]


def _activate(
    active: ActiveConfig, document: Configuration, now: float
) -> None:
    specs = effective_services(document)
    services = {
        spec.service: _update_service(active, spec, now) for spec in specs
    }
    for removed in active.spec_by_name.keys() - services:
        _retire_upstreams(
            active.pool,
            active.spec_by_name[removed],
            now + RETIRED_UPSTREAM_SECONDS,
        )
    active.spec_by_name = {spec.service: spec for spec in specs}
    active.service_by_name = services
    active.service_by_endpoint = {
        endpoint: services[spec.service]
        for spec in specs
        for endpoint in _endpoint_keys(spec)
    }
    active.document = document


def _update_service(
    active: ActiveConfig,
    spec: ServiceSpec,
    now: float,
) -> Service:
    """Return the service of a spec; an unchanged one is reused."""
    old_spec = active.spec_by_name.get(spec.service)
    if old_spec == spec:
        return active.service_by_name[spec.service]
    if old_spec is not None:
        _retire_upstreams(active.pool, old_spec, now + RETIRED_UPSTREAM_SECONDS)
    service = active.service_by_name.get(spec.service) or Service(spec.service)
    for upstream_spec in spec.upstreams:
        _update_upstream(active.pool, spec.service, upstream_spec)
    service.accepting_upstreams = tuple(
        active.pool.intern(spec.service, upstream.address, upstream.port)
        for upstream in spec.upstreams
        if not upstream.draining
    )
    weights = _domain_weights(spec)
    by_bucket = _assign_buckets(tuple(weights.items()))
    if by_bucket != service.domain_by_bucket:
        service.previous_domain_by_bucket = service.domain_by_bucket
        service.previous_domain_until = now + PREVIOUS_OWNER_LOOKUP_SECONDS
    service.domain_by_bucket = by_bucket
    service.domains = tuple(weights)
    return service


def _retire_upstreams(
    pool: UpstreamPool,
    spec: ServiceSpec,
    forward_until: float,
) -> None:
    """Retire the upstreams of an old spec.

    `_update_upstream` reactivates those that the new spec names again.
    """
    for upstream in spec.upstreams:
        interned = pool.intern(spec.service, upstream.address, upstream.port)
        interned.accepting = False
        interned.forward_until = forward_until


def _update_upstream(
    pool: UpstreamPool,
    service: str,
    spec: UpstreamSpec,
) -> None:
    upstream = pool.intern(service, spec.address, spec.port)
    upstream.domain = spec.domain
    upstream.slots = spec.slots
    upstream.connections = spec.connections
    upstream.accepting = not spec.draining
    upstream.forward_until = math.inf


def _domain_weights(spec: ServiceSpec) -> dict[str, int]:
    weights: dict[str, int] = {}
    for upstream in spec.upstreams:
        weight = weights.get(upstream.domain, 0)
        weights[upstream.domain] = weight + upstream.connections
    return dict(sorted(weights.items()))


@functools.lru_cache(maxsize=BUCKET_CACHE_SIZE)
def _assign_buckets(weights: tuple[tuple[str, int], ...]) -> tuple[str, ...]:
    """Return the failure domain of each bucket, by the weights of domains.

    The result depends on the weights alone, so services with equal weights
    share it; the digests of their flows differ.
    """
    return tuple(
        _choose_domain(weights, bucket) for bucket in range(BUCKET_COUNT)
    )


def _choose_domain(weights: tuple[tuple[str, int], ...], bucket: int) -> str:
    scores = {
        domain: rendezvous_score(hash_number(bucket, hash_text(domain)), weight)
        for domain, weight in weights
    }
    return max(scores, key=scores.__getitem__, default='')


def _endpoint_keys(spec: ServiceSpec) -> Iterator[bytes]:
    for address in spec.addresses:
        packed = ipaddress.IPv4Address(address).packed
        for port in spec.ports:
            yield packed + port.to_bytes(_PORT_BYTES)
