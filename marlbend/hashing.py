"""Hash texts and numbers identically on all instances."""

import math
from typing import Final

import xxhash

__all__ = ('hash_number', 'hash_text', 'rendezvous_score')

HASH_BITS: Final = 64
HASH_RANGE: Final = float(1 << HASH_BITS)
_NUMBER_BYTES: Final = 8


def hash_text(text: str) -> int:
    """Return the 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode())


def hash_number(number: int, seed: int) -> int:
    """Return the 64-bit hash of a number below 2**64, with a seed."""
    return xxhash.xxh3_64_intdigest(number.to_bytes(_NUMBER_BYTES), seed)


def rendezvous_score(hash_code: int, weight: int) -> float:
    """Return the score of a candidate in weighted rendezvous hashing.

    The candidate with the highest score is selected, so that each candidate is
    selected in proportion to its weight.
    """
    # Adding 1 keeps the fraction above 0, where the logarithm is undefined.  It
    # must also be below 1, where the logarithm is 0.
    fraction = (hash_code + 1) / (HASH_RANGE + 2)
    return -weight / math.log(fraction)
