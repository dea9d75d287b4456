"""Decode pages and changes of the platform's store into single objects.

Each object is decoded on its own, since other writers may store objects that
cannot be decoded.  Such an object does not affect the others, whatever its
bytes are.
"""

from collections.abc import Iterable, Iterator
from contextlib import suppress
from typing import Final

import msgspec

from marlbend.platform.splitting import split_elements, split_members
from marlbend.validation import VALUE_ERRORS

__all__ = (
    'ObjectChange',
    'StoredObject',
    'decode_changes',
    'decode_object',
    'decode_page',
)

_NULL: Final = b'null'


class _Meta(msgspec.Struct):
    name: str
    rev: int = 0
    deleting: bool = False


class StoredObject(msgspec.Struct):
    """Hold one object of the store; `spec` and `status` are not decoded yet."""

    meta: _Meta
    spec: msgspec.Raw = msgspec.Raw(_NULL)
    status: msgspec.Raw = msgspec.Raw(_NULL)


class _Change(msgspec.Struct):
    """Hold an object that was written, or the last state of a deleted one."""

    object: msgspec.Raw
    deleted: bool = False


# The object, and whether it was deleted.
ObjectChange = tuple[StoredObject, bool]


class _ObjectList(msgspec.Struct):
    raw_objects: list[msgspec.Raw] = msgspec.field(name='items')
    store_revision: int = 0
    has_more: bool = False


class _Changes(msgspec.Struct):
    events: list[_Change]
    store_revision: int


def decode_page(
    body: bytes,
) -> tuple[list[StoredObject], int, bool]:
    """Return the objects of a page, the store revision, whether more follow.

    Objects that cannot be decoded are left out.  Raise `msgspec.DecodeError`
    if the page itself cannot be decoded.
    """
    try:
        listed = msgspec.json.decode(body, type=_ObjectList)
    except VALUE_ERRORS:
        rest, raw_objects = _split_page(body, b'items')
        listed = msgspec.json.decode(rest, type=_ObjectList)
        listed.raw_objects = [msgspec.Raw(each) for each in raw_objects]
    return (
        list(_decode_objects(listed.raw_objects)),
        listed.store_revision,
        listed.has_more,
    )


def decode_changes(body: bytes) -> tuple[list[ObjectChange], int]:
    """Return the changes in the response to a watch, and the store revision.

    Objects that cannot be decoded are left out.  Raise `msgspec.DecodeError`
    if the response itself cannot be decoded.
    """
    try:
        changes = msgspec.json.decode(body, type=_Changes)
    except VALUE_ERRORS:
        rest, raw_events = _split_page(body, b'events')
        changes = msgspec.json.decode(rest, type=_Changes)
        changes.events = list(_decode_events(raw_events))
    decoded = [
        (stored, change.deleted)
        for change in changes.events
        for stored in _decode_objects([change.object])
    ]
    return decoded, changes.store_revision


def _decode_objects(raws: list[msgspec.Raw]) -> Iterator[StoredObject]:
    for raw in raws:
        # Skip objects that cannot be decoded.
        with suppress(*VALUE_ERRORS):
            yield decode_object(raw)


def decode_object(raw: bytes | msgspec.Raw) -> StoredObject:
    """Decode an object, even if its `spec` or `status` cannot be decoded.

    Raise one of `VALUE_ERRORS` if its name cannot be decoded.
    """
    try:
        return msgspec.json.decode(raw, type=StoredObject)
    except VALUE_ERRORS:
        members = split_members(bytes(raw))
        meta = msgspec.json.decode(members.get(b'meta', b''), type=_Meta)
        return StoredObject(meta, msgspec.Raw(members.get(b'spec', _NULL)))


def _decode_events(raws: Iterable[bytes]) -> Iterator[_Change]:
    for raw in raws:
        members = split_members(raw)
        deleted = members.get(b'deleted') == b'true'
        yield _Change(msgspec.Raw(members.get(b'object', _NULL)), deleted)


def _split_page(body: bytes, name: bytes) -> tuple[bytes, Iterator[bytes]]:
    """Return a page without the elements of one member, and these."""
    members = split_members(body)
    elements = split_elements(members.get(name, b''))
    kept = {each: text for each, text in members.items() if each != name}
    kept[name] = b'[]'
    fields = b','.join(
        b''.join((b'"', each, b'":', text)) for each, text in kept.items()
    )
    return b''.join((b'{', fields, b'}')), elements
