"""Detect upstreams that answer with errors, and eject them for a while.

An instance does not see responses, but it sees the caller acknowledge their
bytes.  An error is far shorter than the usual response of a route, so an
upstream with too large a share of short responses is ejected: it gets no new
flow for a while.  Designed for upstreams that fail quickly, which would
otherwise look the least busy of all, and for those that shed load beyond their
capacity.

An unjustified ejection costs little: the upstream keeps its open flows and gets
new ones again after the ejection time, and ejections are ignored where they
would exclude more than half of the usable upstreams that respond.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from marlbend.steering.failure_detection import is_suspected
from marlbend.steering.medians import STEP, update_median
from marlbend.steering.placement.method import places_by_work
from marlbend.steering.state import ResponseSize, Steering
from marlbend.steering.upstreams import Upstream

__all__ = (
    'adopt_ejection',
    'decay_counts',
    'eject_if_outlier',
    'exclude_ejected',
    'is_short',
    'record_response',
)

# A response below this share of the route's median size is short.  The response
# sizes of one route vary by a factor of about two.
SHORT_SHARE: Final = 0.4
# With placement by work, short responses move the median of a route by this
# share.  In an overload in which most requests are shed, the median would else
# become the size of a refusal, and nothing would look shed any more.
SHORT_STEP: Final = 0.002
# The median of a route is not used before this many responses.
MIN_RESPONSES: Final = 8
# Counts decay exponentially: they halve in this time.
COUNT_HALF_LIFE_SECONDS: Final = 2.0
# An outlier has at least this many recent short responses.
MIN_SHORT_RESPONSES: Final = 3.0
# The minimum for an upstream on probation, which was ejected recently.
PROBATION_SHORT_RESPONSES: Final = 1.0
# At least this share of an outlier's responses is short.
OUTLIER_SHARE: Final = 0.4
# An outlier's share of short responses is at least this multiple of the share
# of the service's other upstreams; if a whole service fails, there is none.
OUTLIER_OVER_SERVICE: Final = 2.0
# Each further ejection within the probation time lasts twice as long, up to the
# maximum.
FIRST_EJECTION_SECONDS: Final = 2.0
MAX_EJECTION_SECONDS: Final = 16.0
# Above the maximum already; the power of 1,024 ejections overflows a float.
MAX_DOUBLINGS: Final = 4
# After this long without an ejection, the next ejection time is the first one
# again.
PROBATION_SECONDS: Final = 30.0
# Up to this much is added to an ejection that another instance decided on.
ADOPTED_JITTER_SECONDS: Final = 1.0
# The response counts in reports of other instances are used up to this age.
RESPONSE_COUNTS_MAX_AGE_SECONDS: Final = 2.5
# Ejections are ignored if they would exclude more than this share of the usable
# upstreams of a service that respond.
MAX_EJECTED_SHARE: Final = 0.5


def record_response(
    steering: Steering,
    endpoint: bytes,
    upstream: Upstream,
    size: int,
) -> None:
    """Count a complete response of `size` bytes; eject an outlier."""
    estimate = steering.estimates.response_size_by_endpoint.setdefault(
        endpoint, ResponseSize()
    )
    looks_failed = is_short(steering, endpoint, size)
    is_slow = looks_failed and places_by_work(steering, upstream.entry.service)
    _update_median(estimate, size, SHORT_STEP if is_slow else STEP)
    decay_counts(upstream, steering.now)
    upstream.outlier_state.responses += 1
    upstream.outlier_state.short_responses += looks_failed
    if looks_failed:
        eject_if_outlier(steering, upstream)


def is_short(steering: Steering, endpoint: bytes, size: int) -> bool:
    """Return whether a response of `size` bytes looks like an error."""
    estimate = steering.estimates.response_size_by_endpoint.get(endpoint)
    return (
        estimate is not None
        and estimate.responses >= MIN_RESPONSES
        and size < SHORT_SHARE * estimate.median
    )


def decay_counts(upstream: Upstream, now: float) -> None:
    """Apply the exponential decay to the response counts of an upstream."""
    factor = 0.5 ** (
        (now - upstream.outlier_state.decayed_at) / COUNT_HALF_LIFE_SECONDS
    )
    upstream.outlier_state.decayed_at = now
    upstream.outlier_state.responses *= factor
    upstream.outlier_state.short_responses *= factor


def eject_if_outlier(steering: Steering, upstream: Upstream) -> None:
    """Eject an upstream if too many of its responses are short."""
    now = steering.now
    if now < upstream.outlier_state.ejected_until:
        return
    if now - upstream.outlier_state.ejected_until > PROBATION_SECONDS:
        upstream.outlier_state.ejections = 0
    responses, short_responses = _sum_counts(upstream, now)
    minimum = (
        PROBATION_SHORT_RESPONSES
        if upstream.outlier_state.ejections
        else MIN_SHORT_RESPONSES
    )
    if short_responses < minimum or short_responses < OUTLIER_SHARE * responses:
        return
    same_service = steering.pool.by_service.get(upstream.entry.service, {})
    usual_share = _short_share_of_others(same_service.values(), upstream, now)
    if short_responses < OUTLIER_OVER_SERVICE * usual_share * responses:
        return
    doublings = min(upstream.outlier_state.ejections, MAX_DOUBLINGS)
    ejection_seconds = FIRST_EJECTION_SECONDS * 2**doublings
    upstream.outlier_state.ejections += 1
    upstream.outlier_state.ejected_until = now + min(
        ejection_seconds, MAX_EJECTION_SECONDS
    )
    steering.callbacks.gossip_now()


def adopt_ejection(
    steering: Steering,
    upstream: Upstream,
    seconds: float,
) -> None:
    """Eject an upstream because another instance of the domain has done so.

    The jitter makes the instances' ejections end at different times, so that
    the first instance finds out for all whether the upstream has recovered.
    """
    now = steering.now
    if now < upstream.outlier_state.ejected_until:
        return
    upstream.outlier_state.ejections += 1
    jitter = steering.random.random() * ADOPTED_JITTER_SECONDS
    upstream.outlier_state.ejected_until = now + seconds + jitter


def exclude_ejected(
    steering: Steering,
    usable: Sequence[Upstream],
) -> list[Upstream]:
    """Return the upstreams that are not ejected, or all if too many are.

    Only upstreams that respond are counted.  In an overload they shed requests
    and are ejected, which would leave those that are gone.
    """
    kept = _list_unejected(usable, steering.now)
    if len(kept) == len(usable):
        return kept
    counted = [each for each in usable if not is_suspected(steering, each)]
    counted = counted or list(usable)
    left = _list_unejected(counted, steering.now)
    if len(left) < len(counted) * MAX_EJECTED_SHARE:
        return list(usable)
    return kept


def _list_unejected(usable: Sequence[Upstream], now: float) -> list[Upstream]:
    return [each for each in usable if now >= each.outlier_state.ejected_until]


def _update_median(estimate: ResponseSize, size: int, step: float) -> None:
    estimate.responses += 1
    if estimate.responses == 1:
        estimate.median = size
    else:
        estimate.median = update_median(estimate.median, size, step)


def _short_share_of_others(
    upstreams: Iterable[Upstream],
    excluded: Upstream,
    now: float,
) -> float:
    """Return the share of short responses of all upstreams except one."""
    counts = [
        _sum_counts(each, now) for each in upstreams if each is not excluded
    ]
    responses = sum(count[0] for count in counts)
    return sum(count[1] for count in counts) / responses if responses else 0


def _sum_counts(upstream: Upstream, now: float) -> tuple[float, float]:
    """Return recent responses and short ones, both own and reported."""
    factor = 0.5 ** (
        (now - upstream.outlier_state.decayed_at) / COUNT_HALF_LIFE_SECONDS
    )
    responses = upstream.outlier_state.responses * factor
    short_responses = upstream.outlier_state.short_responses * factor
    for report in upstream.reports.by_member.values():
        if now - report.received_at < RESPONSE_COUNTS_MAX_AGE_SECONDS:
            responses += report.responses
            short_responses += report.short_responses
    return responses, short_responses
