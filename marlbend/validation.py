"""Validate JSON documents and report all of their problems at once.

The decoder of `msgspec` stops at the first problem.  For users who edit files
by hand, each field is converted separately here, and the problems are collected
with the paths of their fields.
"""

import socket
import types
from collections.abc import Iterator
from typing import Final, TypeVar, get_args, get_origin

import msgspec

from marlbend import error_messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError, Problem

__all__ = (
    'VALUE_ERRORS',
    'check_address',
    'find_problems',
    'is_address',
    'pack_address',
    'read_json',
    'validate_document',
)

# What the decoders raise for the bytes of others.
VALUE_ERRORS: Final = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)

_Document = TypeVar('_Document', bound=msgspec.Struct)

_ROOT_PATH: Final = '$'


def read_json(path: str) -> object:
    """Read and decode a JSON file; raise FILE_UNREADABLE or NOT_JSON."""
    try:
        with open(path, 'rb') as document:
            raw = document.read()
    except OSError as error:
        raise MarlbendError(
            ErrorKind.FILE_UNREADABLE,
            error_messages.FILE_UNREADABLE.format(
                path=path, reason=error.strerror
            ),
        ) from None
    try:
        return msgspec.json.decode(raw)
    except VALUE_ERRORS as decode_error:
        raise MarlbendError(
            ErrorKind.NOT_JSON,
            error_messages.NOT_JSON.format(path=path, reason=decode_error),
        ) from None


def validate_document(
    raw: object,
    expected_type: type[_Document],
) -> tuple[_Document | None, list[Problem]]:
    """Convert decoded JSON to a typed document, or return its problems."""
    problems = list(find_problems(raw, expected_type, _ROOT_PATH))
    if problems:
        return None, problems
    return msgspec.convert(raw, expected_type), problems


def find_problems(
    raw: object, expected_type: object, path: str
) -> Iterator[Problem]:
    """Yield the problems of a decoded value, given its expected type."""
    if isinstance(expected_type, types.UnionType) and isinstance(raw, dict):
        # A union has at most one type of JSON object, and lists it first.
        expected_type = get_args(expected_type)[0]
    if isinstance(expected_type, type) and issubclass(
        expected_type, msgspec.Struct
    ):
        yield from _find_struct_problems(raw, expected_type, path)
    elif get_origin(expected_type) is tuple and isinstance(raw, list):
        yield from _find_element_problems(raw, get_args(expected_type)[0], path)
    else:
        yield from _find_scalar_problems(raw, expected_type, path)


def check_address(address: str, path: str) -> Iterator[Problem]:
    """Yield a problem if the text is not an IPv4 address."""
    if not is_address(address):
        text = error_messages.NOT_AN_ADDRESS.format(address=address)
        yield Problem(path, text)


def pack_address(text: str) -> bytes:
    """Return the four bytes of an IPv4 address; raise ValueError if invalid.

    This replaces the standard library's `ipaddress`, which is slow to import.
    """
    try:
        packed = socket.inet_pton(socket.AF_INET, text)
    except (OSError, UnicodeError) as error:
        raise ValueError(text) from error
    return packed


def is_address(text: str) -> bool:
    """Return whether a text is an IPv4 address."""
    try:
        pack_address(text)
    except ValueError:
        return False
    return True


def _find_struct_problems(
    raw: object,
    expected_type: type[msgspec.Struct],
    path: str,
) -> Iterator[Problem]:
    if not isinstance(raw, dict):
        yield Problem(path, error_messages.NOT_AN_OBJECT)
        return
    fields = msgspec.structs.fields(expected_type)
    known_names = {field.encode_name for field in fields}
    for name in raw.keys() - known_names:
        yield Problem(f'{path}.{name}', error_messages.FIELD_UNKNOWN)
    for field in fields:
        field_path = f'{path}.{field.encode_name}'
        element = raw.get(field.encode_name, msgspec.UNSET)
        if element is not msgspec.UNSET:
            yield from find_problems(element, field.type, field_path)
        elif field.required:
            yield Problem(field_path, error_messages.FIELD_MISSING)


def _find_element_problems(
    raw: list[object],
    expected_type: object,
    path: str,
) -> Iterator[Problem]:
    for index, element in enumerate(raw):
        yield from find_problems(element, expected_type, f'{path}[{index}]')


def _find_scalar_problems(
    raw: object, expected_type: object, path: str
) -> Iterator[Problem]:
    try:
        msgspec.convert(raw, expected_type)
    except msgspec.ValidationError as error:
        yield Problem(path, str(error))
