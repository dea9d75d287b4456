"""Decode JSON documents and report every problem in them at once.

The decoder of `msgspec` stops at the first fault.  A user who edits a file by
hand wants to hear of all of them, so each field is converted on its own and
the faults are collected with the path of the field.
"""

import socket
import types
from collections.abc import Iterator
from typing import Final, TypeVar, get_args, get_origin

import msgspec

from marlbend import messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError, Problem

__all__ = (
    'check_address',
    'find_problems',
    'is_address',
    'pack_address',
    'read_json',
    'validate_document',
)

_Document = TypeVar('_Document', bound=msgspec.Struct)

_ROOT: Final = '$'


def read_json(path: str) -> object:
    """Read a JSON file; raise FILE_UNREADABLE or NOT_JSON."""
    try:
        with open(path, 'rb') as document:
            raw = document.read()
    except OSError as error:
        raise MarlbendError(
            ErrorKind.FILE_UNREADABLE,
            messages.FILE_UNREADABLE.format(path=path, reason=error.strerror),
        ) from None
    try:
        return msgspec.json.decode(raw)
    except msgspec.DecodeError as fault:
        raise MarlbendError(
            ErrorKind.NOT_JSON,
            messages.NOT_JSON.format(path=path, reason=fault),
        ) from None


def validate_document(
    raw: object,
    shape: type[_Document],
) -> tuple[_Document | None, list[Problem]]:
    """Convert decoded JSON to a typed document, or list its problems."""
    problems = list(find_problems(raw, shape, _ROOT))
    if problems:
        return None, problems
    return msgspec.convert(raw, shape), problems


def find_problems(raw: object, shape: object, path: str) -> Iterator[Problem]:
    """Yield the problems of a value against the type it should have."""
    if isinstance(shape, types.UnionType) and isinstance(raw, dict):
        # The one shape that is an object stands first.
        shape = get_args(shape)[0]
    if isinstance(shape, type) and issubclass(shape, msgspec.Struct):
        yield from _check_struct(raw, shape, path)
    elif get_origin(shape) is tuple and isinstance(raw, list):
        yield from _check_elements(raw, get_args(shape)[0], path)
    else:
        yield from _check_scalar(raw, shape, path)


def check_address(address: str, path: str) -> Iterator[Problem]:
    """Yield a problem unless the text is an IPv4 address."""
    if not is_address(address):
        text = messages.NOT_AN_ADDRESS.format(address=address)
        yield Problem(path, text)


def pack_address(text: str) -> bytes:
    """Return the four bytes of an address; raise ValueError for another text.

    The standard library's `ipaddress` does the same, but is slow to import.
    """
    try:
        packed = socket.inet_pton(socket.AF_INET, text)
    except (OSError, UnicodeError) as error:
        raise ValueError(text) from error
    return packed


def is_address(text: str) -> bool:
    """Tell whether a text is an IPv4 address."""
    try:
        pack_address(text)
    except ValueError:
        return False
    return True


def _check_struct(
    raw: object,
    shape: type[msgspec.Struct],
    path: str,
) -> Iterator[Problem]:
    if not isinstance(raw, dict):
        yield Problem(path, messages.NOT_AN_OBJECT)
        return
    fields = msgspec.structs.fields(shape)
    known = {field.encode_name for field in fields}
    for name in raw.keys() - known:
        yield Problem(f'{path}.{name}', messages.FIELD_UNKNOWN)
    for field in fields:
        place = f'{path}.{field.encode_name}'
        element = raw.get(field.encode_name, msgspec.UNSET)
        if element is not msgspec.UNSET:
            yield from find_problems(element, field.type, place)
        elif field.required:
            yield Problem(place, messages.FIELD_MISSING)


def _check_elements(
    raw: list[object],
    shape: object,
    path: str,
) -> Iterator[Problem]:
    for position, element in enumerate(raw):
        yield from find_problems(element, shape, f'{path}[{position}]')


def _check_scalar(raw: object, shape: object, path: str) -> Iterator[Problem]:
    try:
        msgspec.convert(raw, shape)
    except msgspec.ValidationError as error:
        yield Problem(path, str(error))
