"""Decode what the platform's store holds into the product's own types.

Each object is decoded by itself, since other writers may leave entries that
cannot be read; such an entry stands for nothing and the others hold.
"""

import re
from collections.abc import Iterator
from contextlib import suppress
from typing import Annotated, Final

import msgspec

from marlbend.checking import is_address, pack_address
from marlbend.options import HIGHEST_PORT, HOUR_MILLISECONDS
from marlbend.steering.documents import (
    Publication,
    RouteSpec,
    ServiceLimits,
    UpstreamEntry,
)

__all__ = (
    'CONFIG_NAME',
    'ObjectChange',
    'StoredObject',
    'decode_changes',
    'decode_page',
    'decode_publication',
    'decode_upstream',
    'parse_host_number',
)

CONFIG_NAME: Final = 'main'

_READY: Final = 'ready'
_DRAINING: Final = 'draining'
_REPEATABLE: Final = 'safe'
_HEX_DIGITS: Final = re.compile('(?:.*-)?([0-9a-fA-F]{1,16})')
_PORT_BYTES: Final = 2
_MILLISECONDS: Final = 1000
_HEXADECIMAL: Final = 16

_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=HOUR_MILLISECONDS)]


class _Meta(msgspec.Struct):
    name: str
    rev: int = 0
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """Hold one object; `spec` is as its writer left it."""

    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class _Change(msgspec.Struct):
    """Hold an object that was written, or as it was when it was deleted."""

    object: msgspec.Raw
    deleted: bool = False


# An object and whether it was deleted.
ObjectChange = tuple[StoredObject, bool]


class _Page(msgspec.Struct):
    found: list[msgspec.Raw] = msgspec.field(name='items')
    store_revision: int = 0
    has_more: bool = False


class _Changes(msgspec.Struct):
    events: list[_Change]
    store_revision: int


class _Share(msgspec.Struct):
    service: str
    weight: Annotated[int, msgspec.Meta(ge=0)]


class _Route(msgspec.Struct):
    # An address of the platform, in spite of the name.
    hostname: str
    # A port between slashes.
    path_prefix: str
    kind: str
    name: str = ''
    service: str = ''
    backends: tuple[_Share, ...] = ()
    target_latency_ms: float = 0
    # Zero is the highest.
    priority: int = 0


class _Service(msgspec.Struct):
    name: str
    max_conns: int = 0
    # Requests a second that an upstream bears while it is cold.
    warmup_per_s: float = 0


class _Configuration(msgspec.Struct):
    version: int
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...] = ()


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1)]
    # How much longer the upstream is cold, not how long it has been warm.
    warmup_left_ms: _Milliseconds = 0
    # The millisecond of the upstream's start.
    born: int = 0


def decode_page(
    body: bytes,
) -> tuple[list[StoredObject], int, bool]:
    """Return the readable objects of a list, its revision, and if more follow.

    Raise `msgspec.DecodeError` if the list itself cannot be read.
    """
    page = msgspec.json.decode(body, type=_Page)
    return list(_read_objects(page.found)), page.store_revision, page.has_more


def decode_changes(body: bytes) -> tuple[list[ObjectChange], int]:
    """Return objects with whether each was deleted, and the revision."""
    changes = msgspec.json.decode(body, type=_Changes)
    found = [
        (stored, change.deleted)
        for change in changes.events
        for stored in _read_objects([change.object])
    ]
    return found, changes.store_revision


def decode_publication(stored: StoredObject) -> Publication | None:
    """Return the operator's configuration, or nothing if it is none."""
    try:
        raw = msgspec.json.decode(stored.spec, type=_Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    limits = {
        each.name: ServiceLimits(each.max_conns, each.warmup_per_s)
        for each in raw.services
    }
    try:
        routes = tuple(_read_routes(raw))
    except (ValueError, OverflowError):
        # A route without an address and port.
        return None
    return Publication(raw.version, routes, limits)


def decode_upstream(stored: StoredObject) -> UpstreamEntry | None:
    """Return an upstream's registration, or nothing if it names none."""
    try:
        raw = msgspec.json.decode(stored.spec, type=_Entry)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    address = _read_address(raw.address)
    if address is None or raw.state not in {_READY, _DRAINING}:
        return None
    if parse_host_number(stored.meta.name) is None:
        return None
    return UpstreamEntry(
        name=stored.meta.name,
        service=raw.service,
        address=address,
        domain=raw.zone,
        slots=raw.slots,
        accepting=raw.state == _READY,
        cold_seconds=raw.warmup_left_ms / _MILLISECONDS,
        born=raw.born,
    )


def parse_host_number(name: str) -> int | None:
    """Return the number by which a host knows that a packet is for it."""
    digits = _HEX_DIGITS.fullmatch(name)
    return int(digits.group(1), _HEXADECIMAL) if digits else None


def _read_objects(raws: list[msgspec.Raw]) -> Iterator[StoredObject]:
    for raw in raws:
        # An object that cannot be read stands for nothing.
        with suppress(msgspec.DecodeError, UnicodeDecodeError):
            yield msgspec.json.decode(raw, type=StoredObject)


def _read_routes(raw: _Configuration) -> Iterator[RouteSpec]:
    for route in raw.routes:
        shares = tuple((each.service, each.weight) for each in route.backends)
        yield RouteSpec(
            name=route.name,
            endpoint=_read_endpoint(route),
            weight_by_service=shares or ((route.service, 1),),
            repeatable=route.kind == _REPEATABLE,
            target_seconds=route.target_latency_ms / _MILLISECONDS,
            priority=route.priority,
        )


def _read_endpoint(route: _Route) -> bytes:
    """Return port and address as they stand in a packet."""
    port = int(route.path_prefix.strip('/'))
    address = pack_address(route.hostname)
    return port.to_bytes(_PORT_BYTES) + address


def _read_address(text: str) -> tuple[str, int] | None:
    host, _, port = text.rpartition(':')
    if not (is_address(host) and port.isascii() and port.isdecimal()):
        return None
    number = int(port)
    return (host, number) if 0 < number <= HIGHEST_PORT else None
