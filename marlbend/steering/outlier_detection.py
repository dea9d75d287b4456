"""Tell upstreams that fail requests from those that serve them.

An instance sees no answer, but the caller acknowledges its bytes.  An error is
far shorter than what the route usually gives, so an upstream most of whose
answers are short gets no new flow for a while.  Answers the load of upstreams
that fail quickly, which would otherwise look the least busy of all, and of
those that shed what they cannot bear.

A wrong accusation costs little: the upstream keeps its open flows, gets new
ones again after the pause, and never more than half of a service is avoided.
"""

from collections.abc import Iterable, Sequence
from typing import Final

from marlbend.steering.medians import follow_median
from marlbend.steering.state import Steering, Typical
from marlbend.steering.upstreams import Upstream

__all__ = (
    'adopt_ejection',
    'decay_counts',
    'exclude_ejected',
    'note_answer',
    'review_failing',
)

# An answer below this share of the route's median is short.  Sizes of one
# route spread by a factor of about two.
SHORT_SHARE: Final = 0.4
# Fewer answers say nothing of a route's median.
KNOWN_ANSWERS: Final = 8
# Counts fade by half in this time.
FADING_SECONDS: Final = 2.0
FAILING_SHORT: Final = 3.0
# An upstream that was avoided lately is on probation.
AGAIN_SHORT: Final = 1.0
FAILING_SHARE: Final = 0.4
# Where a whole service fails, none of its upstreams stands out.
FAILING_OVER_SERVICE: Final = 2.0
FIRST_PAUSE_SECONDS: Final = 2.0
LONGEST_PAUSE_SECONDS: Final = 16.0
# A pause is the first again after an upstream did well for this long.
FORGIVEN_SECONDS: Final = 30.0
ADOPTED_SPREAD_SECONDS: Final = 1.0
TOLD_SECONDS: Final = 2.5
AVOIDED_SHARE: Final = 0.5


def note_answer(
    steering: Steering,
    endpoint: bytes,
    upstream: Upstream,
    size: int,
) -> None:
    """Count an answer of so many bytes that a caller took whole."""
    typical = steering.estimates.typical_by_endpoint.setdefault(
        endpoint, Typical()
    )
    short = (
        typical.responses >= KNOWN_ANSWERS
        and size < SHORT_SHARE * typical.median
    )
    _move_median(typical, size)
    decay_counts(upstream, steering.now)
    upstream.outlier_state.responses += 1
    upstream.outlier_state.short_responses += short
    if short:
        review_failing(steering, upstream)


def decay_counts(upstream: Upstream, now: float) -> None:
    """Let older answers count less."""
    kept = 0.5 ** ((now - upstream.outlier_state.counted_at) / FADING_SECONDS)
    upstream.outlier_state.counted_at = now
    upstream.outlier_state.responses *= kept
    upstream.outlier_state.short_responses *= kept


def review_failing(steering: Steering, upstream: Upstream) -> None:
    """Avoid an upstream if most of its answers are short."""
    now = steering.now
    if now < upstream.outlier_state.ejected_until:
        return
    if now - upstream.outlier_state.ejected_until > FORGIVEN_SECONDS:
        upstream.outlier_state.avoided_times = 0
    answers, shorts = _sum_counts(upstream, now)
    enough = (
        AGAIN_SHORT if upstream.outlier_state.avoided_times else FAILING_SHORT
    )
    if shorts < enough or shorts < FAILING_SHARE * answers:
        return
    same_service = steering.pool.by_service.get(upstream.entry.service, {})
    usual = _share_of_all(same_service.values(), upstream, now)
    if shorts < FAILING_OVER_SERVICE * usual * answers:
        return
    pause = FIRST_PAUSE_SECONDS * 2**upstream.outlier_state.avoided_times
    upstream.outlier_state.avoided_times += 1
    upstream.outlier_state.ejected_until = now + min(
        pause, LONGEST_PAUSE_SECONDS
    )
    steering.callbacks.gossip_now()


def adopt_ejection(
    steering: Steering,
    upstream: Upstream,
    seconds: float,
) -> None:
    """Avoid an upstream as another instance of the domain does.

    Instances come back at different times, so that the first one finds out
    for all whether the upstream does better.
    """
    now = steering.now
    if now < upstream.outlier_state.ejected_until:
        return
    upstream.outlier_state.avoided_times += 1
    later = steering.random.random() * ADOPTED_SPREAD_SECONDS
    upstream.outlier_state.ejected_until = now + seconds + later


def exclude_ejected(
    steering: Steering,
    usable: Sequence[Upstream],
) -> list[Upstream]:
    """Return the upstreams without those to avoid, unless they are too many."""
    now = steering.now
    kept = [each for each in usable if now >= each.outlier_state.ejected_until]
    if len(kept) < len(usable) * AVOIDED_SHARE:
        return list(usable)
    return kept


def _move_median(typical: Typical, size: int) -> None:
    """Move an estimate of the median towards a value."""
    typical.responses += 1
    if typical.responses == 1:
        typical.median = size
    else:
        typical.median = follow_median(typical.median, size)


def _share_of_all(
    upstreams: Iterable[Upstream],
    but: Upstream,
    now: float,
) -> float:
    """Return the share of short answers of all upstreams but one."""
    counts = [_sum_counts(each, now) for each in upstreams if each is not but]
    answers = sum(count[0] for count in counts)
    return sum(count[1] for count in counts) / answers if answers else 0


def _sum_counts(upstream: Upstream, now: float) -> tuple[float, float]:
    """Return recent answers and short ones, as the own domain sees them."""
    kept = 0.5 ** ((now - upstream.outlier_state.counted_at) / FADING_SECONDS)
    answers = upstream.outlier_state.responses * kept
    shorts = upstream.outlier_state.short_responses * kept
    for told in upstream.report_by_member.values():
        if now - told.received_at < TOLD_SECONDS:
            answers += told.responses
            shorts += told.short_responses
    return answers, shorts
