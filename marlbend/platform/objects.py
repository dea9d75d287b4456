"""Decode the objects of the platform's store into marlbend's own types."""

import re
from collections.abc import Iterator
from typing import Annotated, Final

import msgspec

from marlbend.options import HOUR_MILLISECONDS, MAX_PORT
from marlbend.platform.pages import StoredObject
from marlbend.steering.documents import (
    Publication,
    RouteSpec,
    ServiceLimits,
    UpstreamEntry,
)
from marlbend.validation import VALUE_ERRORS, is_address, pack_address

__all__ = (
    'CONFIG_NAME',
    'decode_publication',
    'decode_upstream',
    'parse_host_number',
)

# The name of the object of kind `config` that holds the operator's routes and
# service limits, for instances that steer by cookies.  The service files, which
# instances that steer by owner read, are another object: `CONFIG_PATH` in
# `marlbend.config.publish`.
CONFIG_NAME: Final = 'main'

_READY: Final = 'ready'
_DRAINING: Final = 'draining'
# The kinds of routes whose requests are idempotent.
_REPEATABLE_KINDS: Final = frozenset(('safe', 'download'))
# The name of an upstream ends with the number of its host in hexadecimal, such
# as h-00000000002a.
_UPSTREAM_NAME: Final = re.compile('(?:.*-)?([0-9a-fA-F]{1,16})')
_PORT: Final = re.compile('[0-9]{1,5}')
_PORT_BYTES: Final = 2
_MILLISECONDS_PER_SECOND: Final = 1000
_HEXADECIMAL: Final = 16
# The same limit as in service files.
_MAX_SLOTS: Final = 1_000_000
_MAX_SIGNED: Final = 9_223_372_036_854_775_807

_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=HOUR_MILLISECONDS)]
_Slots = Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
# JSON has integers of any length, but instances pass them on in 64 bits, and
# one above 10**308 cannot be converted to a float.
_Whole = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SIGNED)]
_Signed = Annotated[int, msgspec.Meta(ge=-_MAX_SIGNED, le=_MAX_SIGNED)]


class _Backend(msgspec.Struct):
    service: str
    weight: _Whole


class _Route(msgspec.Struct):
    # The IPv4 address at which callers reach the service, not a host name.
    hostname: str
    # The port at which callers reach the service, between slashes.
    path_prefix: str
    # Requests of kind `safe` and `download` may be repeated, those of kind
    # `unsafe` and `upload` may not.
    kind: str
    name: str = ''
    # The only backend; ignored if there are `backends`.
    service: str = ''
    backends: tuple[_Backend, ...] = ()
    target_latency_ms: float = 0
    # Zero is the highest priority.
    priority: _Signed = 0


class _Service(msgspec.Struct):
    name: str
    # The maximum of open flows of an upstream; steering by cookie ignores it.
    max_conns: _Signed = 0
    # The new flows per second that a cold upstream can take (warm-up rate);
    # zero means no limit.
    warmup_per_s: float = 0
    # How long an upstream is cold after it starts.
    warmup_s: float = 0


class _OperatorConfiguration(msgspec.Struct):
    version: _Signed
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()


class _Registration(msgspec.Struct):
    # `version` and `seq` are not used, but an entry without them is not from an
    # upstream.
    service: str
    version: str
    seq: _Whole
    # An endpoint, ADDRESS:PORT.
    address: str
    # The failure domain.
    zone: str
    state: str
    slots: _Slots
    # The remaining time until the upstream is warm, not the time elapsed.
    warmup_left_ms: _Milliseconds
    # When the upstream started, in milliseconds of the wall clock.
    born: _Whole = 0


def decode_publication(stored: StoredObject) -> Publication | None:
    """Return the operator's configuration, or `None` if it is invalid."""
    try:
        raw = msgspec.json.decode(stored.spec, type=_OperatorConfiguration)
    except VALUE_ERRORS:
        return None
    limits = {
        each.name: ServiceLimits(
            each.max_conns, each.warmup_per_s, each.warmup_s
        )
        for each in raw.services
    }
    try:
        routes = tuple(_decode_routes(raw))
    except (ValueError, OverflowError):
        # A route has no valid address or port.
        return None
    return Publication(raw.version, routes, limits)


def decode_upstream(stored: StoredObject) -> UpstreamEntry | None:
    """Return an upstream's registration, or `None` if it is invalid."""
    try:
        raw = msgspec.json.decode(stored.spec, type=_Registration)
    except VALUE_ERRORS:
        return None
    endpoint = _parse_endpoint(raw.address)
    if endpoint is None or raw.state not in {_READY, _DRAINING}:
        return None
    if parse_host_number(stored.meta.name) is None:
        return None
    return UpstreamEntry(
        name=stored.meta.name,
        service=raw.service,
        address=endpoint,
        domain=raw.zone,
        slots=raw.slots,
        accepting=raw.state == _READY,
        cold_seconds=raw.warmup_left_ms / _MILLISECONDS_PER_SECOND,
        born=raw.born,
    )


def parse_host_number(name: str) -> int | None:
    """Return the host number in an upstream's name, or `None` without one.

    A host ignores datagrams that start with the number of another host, and
    accepts those that start with zero, so zero does not identify a host.
    """
    matched = _UPSTREAM_NAME.fullmatch(name)
    return int(matched.group(1), _HEXADECIMAL) or None if matched else None


def _decode_routes(raw: _OperatorConfiguration) -> Iterator[RouteSpec]:
    for route in raw.routes:
        weights = tuple((each.service, each.weight) for each in route.backends)
        yield RouteSpec(
            name=route.name,
            endpoint=_encode_route_endpoint(route),
            weight_by_service=weights or ((route.service, 1),),
            repeatable=route.kind in _REPEATABLE_KINDS,
            target_seconds=route.target_latency_ms / _MILLISECONDS_PER_SECOND,
            priority=route.priority,
        )


def _encode_route_endpoint(route: _Route) -> bytes:
    """Return the port and address in the encoding of a packet header."""
    port_text = route.path_prefix.strip('/')
    if _PORT.fullmatch(port_text) is None:
        raise ValueError(route.path_prefix)
    port = int(port_text)
    address = pack_address(route.hostname)
    return port.to_bytes(_PORT_BYTES) + address


def _parse_endpoint(text: str) -> tuple[str, int] | None:
    address, _, port_text = text.rpartition(':')
    if not is_address(address) or _PORT.fullmatch(port_text) is None:
        return None
    port = int(port_text)
    return (address, port) if 0 < port <= MAX_PORT else None
