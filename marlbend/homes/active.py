"""Turn an accepted configuration into the look-ups of the packet path.

A configuration with a version that is not higher than the one in force is
ignored, whoever brought it, so that nothing ever reverts.
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
    services_in_force,
)
from marlbend.config.resting import GIVE_UP_SECONDS
from marlbend.hashing import hash_number, hash_text, weigh_hash
from marlbend.homes.upstreams import Upstream, UpstreamPool

__all__ = (
    'PREVIOUS_OWNER_LOOKUP_SECONDS',
    'ActiveConfig',
    'Service',
    'apply_configuration',
)

# A flow's digest picks one of these, which points to a failure domain.
BUCKET_COUNT: Final = 256
# For this long after the home of a flow moved, earlier homes are asked.
PREVIOUS_OWNER_LOOKUP_SECONDS: Final = 15.0
CACHED_WEIGHTS: Final = 1024

_PORT_BYTES: Final = 2


@final
class Service:
    """Hold what a packet for one service needs to know.

    `domain_by_bucket` names the failure domain of each digest bucket, and
    `previous_domain_by_bucket` what it was before, worth asking `previous_domain_until`
    (monotonic seconds).  `accepting` holds the upstreams for new flows.
    """

    __slots__ = (
        'accepting',
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
        self.accepting: tuple[Upstream, ...] = ()
        self.domains: tuple[str, ...] = ()
        nowhere = ('',) * BUCKET_COUNT
        self.domain_by_bucket: tuple[str, ...] = nowhere
        self.previous_domain_by_bucket: tuple[str, ...] = nowhere
        self.previous_domain_until: float = 0


@final
class ActiveConfig:
    """Hold the configuration in force and its look-ups."""

    __slots__ = (
        'document',
        'pool',
        'service_by_endpoint',
        'service_by_name',
        'spec_by_name',
        'version',
    )

    def __init__(self) -> None:
        """Start with no configuration: version zero, no service."""
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
    """Put a configuration in force unless it is old; tell if it was put.

    `now` is monotonic seconds; for `PREVIOUS_OWNER_LOOKUP_SECONDS` homes that this change
    moves ask the earlier home.
    """
    if version <= active.version:
        return False
    specs = services_in_force(document)
    services = {
        spec.service: _update_service(active, spec, now) for spec in specs
    }
    for gone in active.spec_by_name.keys() - services:
        _stop_accepting(
            active.pool, active.spec_by_name[gone], now + GIVE_UP_SECONDS
        )
    active.spec_by_name = {spec.service: spec for spec in specs}
    active.service_by_name = services
    active.service_by_endpoint = {
        endpoint: services[spec.service]
        for spec in specs
        for endpoint in _endpoints(spec)
    }
    active.document = document
    active.version = version
    return True


def _update_service(
    active: ActiveConfig,
    spec: ServiceSpec,
    now: float,
) -> Service:
    """Return the service as a file describes it; most have not changed."""
    known = active.spec_by_name.get(spec.service)
    if known == spec:
        return active.service_by_name[spec.service]
    if known is not None:
        _stop_accepting(active.pool, known, now + GIVE_UP_SECONDS)
    service = active.service_by_name.get(spec.service) or Service(spec.service)
    for upstream_spec in spec.upstreams:
        _update_upstream(active.pool, spec.service, upstream_spec)
    service.accepting = tuple(
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


def _stop_accepting(
    pool: UpstreamPool,
    spec: ServiceSpec,
    give_up_at: float,
) -> None:
    """Let the upstreams of a service go unless its next file names them."""
    for upstream in spec.upstreams:
        known = pool.intern(spec.service, upstream.address, upstream.port)
        known.accepting = False
        known.given_up_at = give_up_at


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
    upstream.given_up_at = math.inf


def _domain_weights(spec: ServiceSpec) -> dict[str, int]:
    weights: dict[str, int] = {}
    for upstream in spec.upstreams:
        known = weights.get(upstream.domain, 0)
        weights[upstream.domain] = known + upstream.connections
    return dict(sorted(weights.items()))


@functools.lru_cache(maxsize=CACHED_WEIGHTS)
def _assign_buckets(weights: tuple[tuple[str, int], ...]) -> tuple[str, ...]:
    """Return the failure domain of each bucket, by the weights of domains.

    Services with equal weights share one result: what tells their flows apart
    is in the digests.
    """
    return tuple(_choose_domain(weights, each) for each in range(BUCKET_COUNT))


def _choose_domain(weights: tuple[tuple[str, int], ...], bucket: int) -> str:
    scores = {
        domain: weigh_hash(hash_number(bucket, hash_text(domain)), weight)
        for domain, weight in weights
    }
    return max(scores, key=scores.__getitem__, default='')


def _endpoints(spec: ServiceSpec) -> Iterator[bytes]:
    for address in spec.addresses:
        packed = ipaddress.IPv4Address(address).packed
        for port in spec.ports:
            yield packed + port.to_bytes(_PORT_BYTES)
