"""Decode what the platform's store holds into the product's own types.

Each object is decoded by itself, since other writers may leave entries that
cannot be read; such an entry stands for nothing and the others hold.
"""

import re
from collections.abc import Iterator
from typing import Annotated, Final

import msgspec

from marlbend.checking import pack_address
from marlbend.steering.news import Topic
from marlbend.steering.documents import (
    Publication,
    RouteSpec,
    ServiceLimits,
    UpstreamEntry,
)

__all__ = (
    'CONFIG_NAME',
    'KIND_BY_TOPIC',
    'Change',
    'StoredObject',
    'host_number',
    'list_path',
    'read_changes',
    'read_page',
    'read_publication',
    'read_upstream',
    'watch_path',
)

# Upstreams register under `servers`; `evacuations` holds an object for each
# failure domain that the operator has taken out of service.
KIND_BY_TOPIC: Final = {
    Topic.CONFIGURATION: 'config',
    Topic.UPSTREAMS: 'servers',
    Topic.DOMAINS_OUT: 'evacuations',
}
CONFIG_NAME: Final = 'main'

_READY: Final = 'ready'
_DRAINING: Final = 'draining'
_REPEATABLE: Final = 'safe'
_HEX_DIGITS: Final = re.compile('(?:.*-)?([0-9a-fA-F]{1,16})')
_PORT_BYTES: Final = 2
_MILLISECONDS: Final = 1000

_Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=3_600_000)]


class _Meta(msgspec.Struct):
    name: str
    rev: int = 0
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """Hold one object; `spec` is as its writer left it."""

    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(b'null')
    status: msgspec.Raw = msgspec.Raw(b'null')


class Change(msgspec.Struct):
    """Hold an object that was written, or as it was when it was deleted."""

    object: msgspec.Raw
    deleted: bool = False


class _Page(msgspec.Struct):
    items: list[msgspec.Raw]
    store_revision: int
    has_more: bool = False


class _Changes(msgspec.Struct):
    events: list[Change]
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


def list_path(topic: Topic, after: str) -> str:
    """Return the path of the next page of a topic's objects."""
    path = f'/api/objects/{KIND_BY_TOPIC[topic]}'
    return f'{path}?after={after}' if after else path


def watch_path(topic: Topic, revision: int, seconds: float) -> str:
    """Return the path on which changes after a revision are waited for."""
    kind = KIND_BY_TOPIC[topic]
    wait = int(seconds * _MILLISECONDS)
    return f'/api/objects/{kind}?watch={revision}&wait_ms={wait}'


def read_page(
    body: bytes,
) -> tuple[list[StoredObject], int, bool]:
    """Return the readable objects of a list, its revision, and if more follow.

    Raise `msgspec.DecodeError` if the list itself cannot be read.
    """
    page = msgspec.json.decode(body, type=_Page)
    return list(_read_objects(page.items)), page.store_revision, page.has_more


def read_changes(body: bytes) -> tuple[list[tuple[StoredObject, bool]], int]:
    """Return objects with whether each was deleted, and the revision."""
    changes = msgspec.json.decode(body, type=_Changes)
    found = [
        (stored, change.deleted)
        for change in changes.events
        for stored in _read_objects([change.object])
    ]
    return found, changes.store_revision


def read_publication(stored: StoredObject) -> Publication | None:
    """Return the operator's configuration, or nothing if it is none."""
    try:
        raw = msgspec.json.decode(stored.spec, type=_Configuration)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    limits = {
        each.name: ServiceLimits(each.max_conns, each.warmup_per_s)
        for each in raw.services
    }
    return Publication(raw.version, tuple(_read_routes(raw)), limits)


def read_upstream(stored: StoredObject) -> UpstreamEntry | None:
    """Return an upstream's registration, or nothing if it names none."""
    try:
        raw = msgspec.json.decode(stored.spec, type=_Entry)
        address = _read_address(raw.address)
    except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
        return None
    if raw.state not in {_READY, _DRAINING} or host_number(stored.meta.name) is None:
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


def host_number(name: str) -> int | None:
    """Return the number by which a host knows that a packet is for it."""
    digits = _HEX_DIGITS.fullmatch(name)
    return int(digits.group(1), 16) if digits else None


def _read_objects(raws: list[msgspec.Raw]) -> Iterator[StoredObject]:
    for raw in raws:
        try:
            yield msgspec.json.decode(raw, type=StoredObject)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue


def _read_routes(raw: _Configuration) -> Iterator[RouteSpec]:
    for route in raw.routes:
        shares = tuple((each.service, each.weight) for each in route.backends)
        yield RouteSpec(
            name=route.name,
            endpoint=_read_endpoint(route),
            weight_by_service=shares or ((route.service, 1),),
            repeatable=route.kind == _REPEATABLE,
        )


def _read_endpoint(route: _Route) -> bytes:
    """Return port and address as they stand in a packet."""
    port = int(route.path_prefix.strip('/'))
    address = pack_address(route.hostname)
    return port.to_bytes(_PORT_BYTES) + address


def _read_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(':')
    pack_address(host)
    return host, msgspec.convert(int(port), type=_Port)
