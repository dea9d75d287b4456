"""Split JSON text into members and elements without decoding their values.

A decoder of a whole page rejects it if one value has half of a UTF-16 pair, is
nested too deeply or has a number that is too long.  These functions only look
for strings and brackets, so each value can then be decoded on its own.  They
are slower, and are meant for pages that were rejected.
"""

import itertools
import re
from collections.abc import Iterator
from typing import Final

__all__ = ('split_elements', 'split_members')

# A complete string, or a character that structures the text.
_TOKEN: Final = re.compile(rb'"(?:[^"\\]|\\.)*"|[][{},:]', re.DOTALL)
_OPENING: Final = (b'{', b'[')
_CLOSING: Final = (b'}', b']')


def split_elements(text: bytes) -> Iterator[bytes]:
    """Yield the elements of an array, nothing if it is none."""
    if text.strip()[:1] == b'[':
        yield from _split_values(text)


def split_members(text: bytes) -> dict[bytes, bytes]:
    """Return the members of an object, by name without quotes.

    It is empty if the text is no object.
    """
    if text.strip()[:1] != b'{':
        return {}
    return dict(
        pair for each in _split_values(text) for pair in _split_member(each)
    )


def _split_member(text: bytes) -> Iterator[tuple[bytes, bytes]]:
    name = _TOKEN.match(text)
    if name is not None:
        _, _, member = text[name.end() :].partition(b':')
        yield name.group()[1:-1], member.strip()


def _split_values(text: bytes) -> Iterator[bytes]:
    """Yield what commas separate inside the outermost brackets."""
    ends = [each.span() for each in _list_separators(text)]
    for (_, start), (end, _) in itertools.pairwise(ends):
        if text[start:end].strip():
            yield text[start:end].strip()


def _list_separators(text: bytes) -> Iterator[re.Match[bytes]]:
    """Yield the outermost brackets, and the commas directly inside them."""
    depth = 0
    for token in _TOKEN.finditer(text):
        symbol = token.group()
        depth -= symbol in _CLOSING
        if not depth or (depth == 1 and symbol == b','):
            yield token
        depth += symbol in _OPENING
        if not depth:
            return
