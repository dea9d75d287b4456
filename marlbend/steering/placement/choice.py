"""Choose the upstream of a new flow.

Designed for normal load: the upstream with the lowest load per slot wins.  An
upstream in a remote failure domain is chosen only where the local ones are
busier by a margin, since flows that stay inside a domain survive a partition.
"""

from collections.abc import Iterator
from typing import Final

from marlbend.steering.failure_detection import count_busy, is_suspected
from marlbend.steering.placement.outlier_detection import exclude_ejected
from marlbend.steering.placement.slow_start import can_open_flow
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('choose_ejected', 'choose_upstream')

# By how many requests in progress per slot the local domain may be busier.
REMOTE_PENALTY: Final = 1.0
# A cold upstream takes about 1.6 times as long for each request.  The factor is
# higher, so that a warm one with the same load is preferred.
COLD_LOAD_FACTOR: Final = 2.0
# The load of an open flow without a request in progress, in requests: callers
# send the next request after a think time of about twenty service times.
IDLE_FLOW_LOAD: Final = 0.05
_TIE_BREAK_JITTER: Final = 0.01


def choose_upstream(
    steering: Steering,
    service: str,
    tried: list[Upstream],
) -> Upstream | None:
    """Return the best upstream for a new flow, or `None` if there is none.

    Upstreams that are suspected or were tried before are chosen only where no
    other is left.
    """
    usable = exclude_ejected(steering, list(_find_usable(steering, service)))
    untried = [each for each in usable if each not in tried]
    unsuspected = [each for each in untried if not is_suspected(steering, each)]
    return _find_least_loaded(steering, unsuspected or untried or usable)


def choose_ejected(steering: Steering, service: str) -> Upstream | None:
    """Return the best ejected upstream, or `None` if there is none.

    Designed for overload, in which upstreams shed requests, which looks like
    failing, and are ejected: then the others get more, and shed more as well.
    """
    now = steering.now
    ejected = [
        each
        for each in _find_usable(steering, service)
        if now < each.outlier_state.ejected_until
        and not is_suspected(steering, each)
    ]
    return _find_least_loaded(steering, ejected)


def _find_least_loaded(
    steering: Steering, candidates: list[Upstream]
) -> Upstream | None:
    loads = {each.name: _compute_load(steering, each) for each in candidates}
    return min(candidates, key=lambda each: loads[each.name], default=None)


def _find_usable(steering: Steering, service: str) -> Iterator[Upstream]:
    same_service = steering.pool.by_service.get(service, {})
    for upstream in same_service.values():
        if _is_accepting(steering, upstream) and can_open_flow(
            steering, upstream
        ):
            yield upstream


def _is_accepting(steering: Steering, upstream: Upstream) -> bool:
    entry = upstream.entry
    if upstream.shadowed or entry.domain in steering.domains_out:
        return False
    return entry.accepting


def _compute_load(steering: Steering, upstream: Upstream) -> float:
    idle = max(upstream.flows - upstream.busy, 0)
    busy = count_busy(upstream, steering.now)
    load = (busy + IDLE_FLOW_LOAD * idle) / upstream.entry.slots
    # With one more request, the factor also counts for an idle upstream.
    if upstream.cold_until > steering.now:
        load = (load + 1 / upstream.entry.slots) * COLD_LOAD_FACTOR
    if upstream.entry.domain != steering.local_instance.domain:
        load += REMOTE_PENALTY
    return load + _TIE_BREAK_JITTER * steering.random.random()
