"""Compress the bodies that instances send to each other."""

import zlib
from typing import Final

import msgspec

__all__ = ('MAX_BYTES', 'compress', 'decompress')

# The fastest level; routes, which repeat most of their fields, still take a
# sixth of their size.
_LEVEL: Final = 1
# Limits the memory that a malformed body can take.  All upstreams of the
# largest fleet in docs/CAPACITY.md take 10 MB.
MAX_BYTES: Final = 16_777_216


def compress(body: bytes) -> bytes:
    """Return a compressed body."""
    return zlib.compress(body, _LEVEL)


def decompress(compressed: bytes) -> bytes:
    """Return a body; raise `msgspec.DecodeError` if it is malformed or long."""
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, MAX_BYTES)
    except zlib.error as error:
        raise msgspec.DecodeError(f'malformed body: {error}') from None
    if not decompressor.eof:
        raise msgspec.DecodeError('truncated or too long body')
    return body
