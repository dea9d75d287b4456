"""Choose the upstream of a new flow.

Designed for normal load: the upstream with the lowest load per slot wins.  An
upstream in a remote failure domain is chosen only where the local ones are
busier by a margin, since flows that stay inside a domain survive a partition.

For a service that is placed by work, the upstream with the earliest expected
completion wins instead, for requests of unlike cost and upstreams of unlike
speed.  All candidates are compared, not a random sample.  Instances do not all
choose the same upstream, since each of them hears of other requests, while a
sample often leaves out the idle upstreams.  This was decided by a load of 30
instances that use 0.9 of 60 upstreams, and hear of each other a quarter of the
time: requests wait longer with samples of a quarter or half of the candidates.
Only where all hear of all others, and late, a sample sheds less.
"""

from collections.abc import Callable, Iterator
from typing import Final

from marlbend.steering.failure_detection import count_busy, is_suspected
from marlbend.steering.placement.completion import (
    Candidate,
    expected_completion,
    find_completion,
    find_idle_seconds,
    make_candidate,
)
from marlbend.steering.placement.method import places_by_work
from marlbend.steering.placement.outlier_detection import exclude_ejected
from marlbend.steering.placement.service_times import expected_seconds
from marlbend.steering.placement.slow_start import (
    can_open_flow,
    has_cold_limit,
)
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = (
    'choose_ejected',
    'choose_upstream',
    'explain_candidates',
    'find_best',
    'has_free_slot',
    'list_usable',
)

# By how many requests in progress per slot the local domain may be busier.
REMOTE_PENALTY: Final = 1.0
# A cold upstream takes about 1.6 times as long for each request.  The factor is
# higher, so that a warm one with the same load is preferred.
COLD_LOAD_FACTOR: Final = 2.0
# The load of an open flow without a request in progress, in requests: callers
# send the next request after a think time of about twenty service times.
IDLE_FLOW_LOAD: Final = 0.05
_TIE_BREAK_JITTER: Final = 0.01
# Up to this much is added to each expected completion, to spread ties.  It is
# below `REMOTE_SECONDS`, so that an idle local upstream precedes a remote one.
COMPLETION_JITTER_SECONDS: Final = 0.002


def choose_upstream(
    steering: Steering,
    service: str,
    tried: list[Upstream],
    endpoint: bytes = b'',
) -> Upstream | None:
    """Return the best upstream for a new flow, or `None` if there is none.

    Upstreams that are suspected or were tried before are chosen only where no
    other is left.  `endpoint` is that of the route, for the expected cost.
    """
    usable = list_usable(steering, service)
    untried = [each for each in usable if each not in tried]
    if places_by_work(steering, service):
        completion_of = _make_estimate(steering, service, endpoint)
        return _find_earliest(steering, untried, completion_of) or min(
            usable, key=completion_of, default=None
        )
    unsuspected = [each for each in untried if not is_suspected(steering, each)]
    return _find_least_loaded(steering, unsuspected or untried or usable)


def choose_ejected(
    steering: Steering, service: str, endpoint: bytes = b''
) -> Upstream | None:
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
    if places_by_work(steering, service):
        completion_of = _make_estimate(steering, service, endpoint)
        return min(ejected, key=completion_of, default=None)
    return _find_least_loaded(steering, ejected)


def find_best(
    steering: Steering, usable: list[Upstream], endpoint: bytes
) -> tuple[Upstream, float] | None:
    """Return the upstream for a first SYN, and its expected completion.

    The choice is random in part, so this takes the place of a call of
    `choose_upstream`.  The completion, in seconds, has no random part.
    """
    if not usable:
        return None
    service = usable[0].entry.service
    completion_of = _make_estimate(steering, service, endpoint)
    upstream = _find_earliest(steering, usable, completion_of)
    if upstream is None:
        return None
    cost_seconds = expected_seconds(steering.estimates.service_times, endpoint)
    idle_seconds = find_idle_seconds(steering, service)
    return upstream, find_completion(
        steering, upstream, cost_seconds, idle_seconds
    )


def has_free_slot(steering: Steering, usable: list[Upstream]) -> bool:
    """Return whether an upstream that may get a new flow has a free slot.

    The slots of suspected upstreams count only where no other is left.
    """
    now = steering.now
    has_free = False
    for upstream in usable:
        if count_busy(upstream, now) < upstream.entry.slots:
            has_free = True
            if not is_suspected(steering, upstream):
                return True
    return has_free and all(is_suspected(steering, each) for each in usable)


def explain_candidates(
    steering: Steering, service: str, endpoint: bytes
) -> list[Candidate]:
    """Return the upstreams that may get a first SYN, the earliest one first.

    A choice may differ by `COMPLETION_JITTER_SECONDS`.
    """
    usable = list_usable(steering, service)
    unsuspected = [each for each in usable if not is_suspected(steering, each)]
    cost_seconds = expected_seconds(steering.estimates.service_times, endpoint)
    idle_seconds = find_idle_seconds(steering, service)
    return sorted(
        (
            make_candidate(steering, each, idle_seconds)
            for each in unsuspected or usable
        ),
        key=lambda candidate: expected_completion(candidate, cost_seconds),
    )


def _make_estimate(
    steering: Steering, service: str, endpoint: bytes
) -> Callable[[Upstream], float]:
    """Return the function that orders upstreams by expected completion."""
    cost_seconds = expected_seconds(steering.estimates.service_times, endpoint)
    idle_seconds = find_idle_seconds(steering, service)
    draw = steering.random.random

    def estimate(upstream: Upstream) -> float:
        seconds = find_completion(
            steering, upstream, cost_seconds, idle_seconds
        )
        return seconds + COMPLETION_JITTER_SECONDS * draw()

    return estimate


def _find_earliest(
    steering: Steering,
    untried: list[Upstream],
    completion_of: Callable[[Upstream], float],
) -> Upstream | None:
    """Return the earliest unsuspected upstream, or else the earliest of all.

    Suspicion is checked in order of completion, and only up to the first
    upstream that is not suspected, since it reads all reports of an upstream.
    """
    ordered = sorted(untried, key=completion_of)
    unsuspected = (each for each in ordered if not is_suspected(steering, each))
    return next(unsuspected, ordered[0] if ordered else None)


def _find_least_loaded(
    steering: Steering, candidates: list[Upstream]
) -> Upstream | None:
    loads = {each.name: _compute_load(steering, each) for each in candidates}
    return min(candidates, key=lambda each: loads[each.name], default=None)


def list_usable(steering: Steering, service: str) -> list[Upstream]:
    """Return the upstreams that may get a new flow of a service now."""
    return exclude_ejected(steering, list(_find_usable(steering, service)))


def _find_usable(steering: Steering, service: str) -> Iterator[Upstream]:
    same_service = steering.pool.by_service.get(service, {})
    accepting = (
        each for each in same_service.values() if _is_accepting(steering, each)
    )
    if not has_cold_limit(steering, service):
        return accepting
    return (each for each in accepting if can_open_flow(steering, each))


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
