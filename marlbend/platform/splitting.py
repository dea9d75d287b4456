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

# A complete string, a run of opening or of closing brackets or, inside the
# outermost brackets alone, a comma.  An object of the largest size may have
# half a million brackets in a row.
_INNER_TOKEN: Final = re.compile(
    rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+', re.DOTALL
)
_TOKEN: Final = re.compile(b''.join((_INNER_TOKEN.pattern, b'|,')), re.DOTALL)
_OPENING: Final = b'{['
_CLOSING: Final = b'}]'
_COMMA: Final = b','


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
    for start, end in itertools.pairwise(_find_separators(text)):
        element = text[start + 1 : end].strip()
        if element:
            yield element


def _find_separators(text: bytes) -> Iterator[int]:
    """Yield where the outermost brackets are, and the commas in them alone."""
    depth = 0
    position = 0
    while token := (_TOKEN if depth == 1 else _INNER_TOKEN).search(
        text, position
    ):
        position = token.end()
        previous = depth
        depth += _count_levels(token.group())
        if not previous or token.group() == _COMMA:
            yield token.start()
        elif depth <= 0:
            # Brackets behind the outermost one may belong to the same run.
            yield position + depth - 1
            return


def _count_levels(symbol: bytes) -> int:
    """Return by how much a token changes the depth."""
    if symbol[0] in _OPENING:
        return len(symbol)
    return -len(symbol) if symbol[0] in _CLOSING else 0
