"""Hash texts and numbers identically on all instances."""

import math
from typing import Final

import xxhash

__all__ = ('hash_number', 'hash_text', 'rendezvous_score')

HASH_BITS: Final = 64
HASH_RANGE: Final = float(1 << HASH_BITS)
# The largest floating-point number below 1.
MAX_FRACTION: Final = math.nextafter(1, 0)
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
    # Adding 1 keeps the fraction above 0, where the logarithm is undefined.
    # The largest hashes are rounded to 1, where it is 0.
    fraction = min((hash_code + 1) / (HASH_RANGE + 2), MAX_FRACTION)
    return -weight / math.log(fraction)
