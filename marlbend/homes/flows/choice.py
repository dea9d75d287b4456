"""Choose the upstream of a new flow.

The default is a pure function of the digest and the accepting upstreams:
weighted rendezvous hashing, so that every instance computes the same one.
The home departs from it only where load demands, which is consistent hashing
with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018): the default is taken
unless it is loaded more than the least loaded by a small share of the mean.
"""

from collections.abc import Callable, Sequence
from typing import Final

from marlbend.hashing import hash_number, weigh_hash
from marlbend.homes.upstreams import Upstream

__all__ = ('choose_default', 'choose_upstream')

# The default may hold this share of the mean more than the least loaded.
LOAD_SLACK: Final = 0.07

LoadOf = Callable[[Upstream], float]


def choose_default(
    digest: int,
    upstreams: Sequence[Upstream],
) -> Upstream | None:
    """Return the upstream that the digest alone points to."""
    best = None
    best_score: float = -1
    for upstream in upstreams:
        score = _score(digest, upstream)
        if score > best_score:
            best = upstream
            best_score = score
    return best


def choose_upstream(
    digest: int,
    upstreams: Sequence[Upstream],
    load_of: LoadOf,
) -> Upstream | None:
    """Return the default, or one of the least loaded where that is too full.

    `load_of` gives the flows of an upstream as a share of its capacity.
    """
    default = choose_default(digest, upstreams)
    if default is None:
        return None
    loads = [load_of(upstream) for upstream in upstreams]
    least = min(loads)
    slack = LOAD_SLACK * sum(loads) / len(loads)
    if load_of(default) <= least + slack:
        return default
    candidates = [
        upstream
        for upstream, load in zip(upstreams, loads, strict=True)
        if load <= least
    ]
    return choose_default(digest, candidates)


def _score(digest: int, upstream: Upstream) -> float:
    hashed = hash_number(digest, upstream.seed)
    return weigh_hash(hashed, upstream.connections)
