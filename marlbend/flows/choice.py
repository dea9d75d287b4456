"""Choose the upstream of a new flow.

The default is a pure function of the digest and the accepting upstreams:
weighted rendezvous hashing, so that every instance computes the same one.
The home departs from it only where load demands, which is consistent hashing
with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018).
"""

import math
from collections.abc import Mapping, Sequence
from typing import Final

import xxhash

from marlbend.hashing import weigh_hash
from marlbend.upstreams import Upstream

__all__ = ('choose_default', 'choose_upstream')

# An upstream may hold this share above the mean before flows are moved away.
LOAD_SLACK: Final = 0
_DIGEST_BYTES: Final = 8


def choose_default(
    digest: int,
    upstreams: Sequence[Upstream],
) -> Upstream | None:
    """Return the upstream that the digest alone points to."""
    raw = digest.to_bytes(_DIGEST_BYTES)
    best = None
    best_score = -1.0
    for upstream in upstreams:
        score = _score(raw, upstream)
        if score > best_score:
            best = upstream
            best_score = score
    return best


def choose_upstream(
    digest: int,
    upstreams: Sequence[Upstream],
    open_by_number: Mapping[int, int],
) -> Upstream | None:
    """Return the default, or the least loaded where that one is full.

    `open_by_number` counts open flows; an upstream is full when one more flow
    takes it past its share of all flows by more than `LOAD_SLACK`.
    """
    default = choose_default(digest, upstreams)
    if default is None:
        return None
    capacity = sum(upstream.connections for upstream in upstreams)
    flows = 1 + sum(
        open_by_number.get(upstream.number, 0) for upstream in upstreams
    )
    share = flows * default.connections / capacity
    bound = math.ceil(share * (1 + LOAD_SLACK))
    if open_by_number.get(default.number, 0) < bound:
        return default
    return min(
        upstreams,
        key=lambda upstream: (
            open_by_number.get(upstream.number, 0) / upstream.connections
        ),
    )


def _score(raw: bytes, upstream: Upstream) -> float:
    hashed = xxhash.xxh3_64_intdigest(raw, upstream.seed)
    return weigh_hash(hashed, upstream.connections)
