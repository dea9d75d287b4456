"""Choose the upstream of a new flow.

Answers the load of ordinary days: the least busy upstream for its slots wins,
and one of another failure domain only where the own domain is busier by a
margin, since flows that stay inside a domain outlast a partition.
"""

from collections.abc import Iterator
from typing import Final

from marlbend.steering.cold import may_open
from marlbend.steering.failure_detection import count_busy, is_suspected
from marlbend.steering.outlier_detection import exclude_ejected
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('choose_upstream',)

# Requests in progress for each slot that the own domain may be busier.
REMOTE_MARGIN: Final = 1.0
# A cold upstream takes about 1.6 times as long for each request.
COLD_FACTOR: Final = 2.0
# What an open flow without a request adds to the load, in requests: callers
# send the next one after a pause of about twenty times the work.
IDLE_FLOW_LOAD: Final = 0.05
_TIE_BREAK: Final = 0.01


def choose_upstream(
    steering: Steering,
    service: str,
    tried: list[Upstream],
) -> Upstream | None:
    """Return the best upstream for a new flow, or nothing if there is none.

    Upstreams that were tried before or seem silent are taken only where no
    other is left.
    """
    usable = exclude_ejected(steering, list(_find_usable(steering, service)))
    fresh = [each for each in usable if each not in tried]
    trusted = [each for each in fresh if not is_suspected(steering, each)]
    candidates = trusted or fresh or usable
    if not candidates:
        return None
    loads = {each.name: _load(steering, each) for each in candidates}
    return min(candidates, key=lambda each: loads[each.name])


def _find_usable(steering: Steering, service: str) -> Iterator[Upstream]:
    same_service = steering.pool.by_service.get(service, {})
    for upstream in same_service.values():
        if _accepts(steering, upstream) and may_open(steering, upstream):
            yield upstream


def _accepts(steering: Steering, upstream: Upstream) -> bool:
    entry = upstream.entry
    if upstream.shadowed or entry.domain in steering.domains_out:
        return False
    return entry.accepting


def _load(steering: Steering, upstream: Upstream) -> float:
    idle = max(upstream.flows - upstream.busy, 0)
    busy = count_busy(upstream, steering.now)
    load = (busy + IDLE_FLOW_LOAD * idle) / upstream.entry.slots
    if upstream.cold_until > steering.now:
        load = (load + 1 / upstream.entry.slots) * COLD_FACTOR
    if upstream.entry.domain != steering.local_instance.domain:
        load += REMOTE_MARGIN
    return load + _TIE_BREAK * steering.random.random()
