"""Choose the upstream of a new flow.

The default upstream is a pure function of the digest and the accepting
upstreams (weighted rendezvous hashing), so every instance computes the same
one.  The owner overrides it only to balance load, as in consistent hashing
with bounded loads (Mirrokni, Thorup, Zadimoghaddam 2018): the default is used
unless its load exceeds the lowest load by more than a small share of the mean.
"""

from collections.abc import Callable, Sequence
from typing import Final

from marlbend.hashing import hash_number, rendezvous_score
from marlbend.ownership.upstreams import Upstream

__all__ = ('choose_default', 'choose_upstream')

# The load of the default may exceed the lowest by this share of the mean load.
LOAD_SLACK: Final = 0.07

LoadFunction = Callable[[Upstream], float]


def choose_default(
    digest: int,
    upstreams: Sequence[Upstream],
) -> Upstream | None:
    """Return the upstream with the highest score for the digest."""
    best = None
    best_score: float = -1
    for upstream in upstreams:
        score = _rendezvous_score(digest, upstream)
        if score > best_score:
            best = upstream
            best_score = score
    return best


def choose_upstream(
    digest: int,
    upstreams: Sequence[Upstream],
    load_of: LoadFunction,
) -> Upstream | None:
    """Return the default, or a least loaded upstream if it is overloaded.

    `load_of` returns the flows of an upstream as a share of its capacity.
    """
    default = choose_default(digest, upstreams)
    if default is None:
        return None
    loads = [load_of(upstream) for upstream in upstreams]
    min_load = min(loads)
    slack = LOAD_SLACK * sum(loads) / len(loads)
    if load_of(default) <= min_load + slack:
        return default
    candidates = [
        upstream
        for upstream, load in zip(upstreams, loads, strict=True)
        if load <= min_load
    ]
    return choose_default(digest, candidates)


def _rendezvous_score(digest: int, upstream: Upstream) -> float:
    hashed = hash_number(digest, upstream.seed)
    return rendezvous_score(hashed, upstream.connections)
