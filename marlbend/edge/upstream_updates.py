"""Tell other instances what this one sees of upstreams, and take theirs.

That is load, silence and failure.  Between failure domains less is told, since
the paths to an upstream differ there.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.steering.failure_detection import count_busy, detect_partition
from marlbend.steering.liveness import record_liveness
from marlbend.steering.outlier_detection import adopt_ejection, decay_counts
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import PeerReport, Upstream
from marlbend.wire.heartbeats import Heartbeat, MemberUpdate, UpstreamUpdate

__all__ = ('take_upstream_news', 'tell_far', 'tell_near')

# Silence of an upstream is told for this long.
SILENCE_SECONDS: Final = 2.0
_MILLISECONDS: Final = 1000


def tell_near(steering: Steering, now: float) -> Iterator[UpstreamUpdate]:
    """Yield what the own domain is told of upstreams."""
    for known in steering.pool.by_name.values():
        recent = now - known.liveness.last_unanswered_at < SILENCE_SECONDS
        decay_counts(known, now)
        avoided = known.outlier_state.ejected_until > now
        if (
            known.busy
            or recent
            or avoided
            or known.outlier_state.responses >= 1
        ):
            silences = known.liveness.unanswered if recent else 0
            yield UpstreamUpdate(
                known.cookie,
                known.busy,
                silences,
                _age(known.liveness.unanswered_since, now) if silences else -1,
                _age(known.liveness.last_alive_at, now),
                round(known.outlier_state.responses),
                round(known.outlier_state.short_responses),
                max(
                    int(
                        (known.outlier_state.ejected_until - now)
                        * _MILLISECONDS
                    ),
                    0,
                ),
            )


def tell_far(
    steering: Steering,
    domain: str,
    now: float,
) -> Iterator[UpstreamUpdate]:
    """Yield what concerns another domain.

    Of the own domain's upstreams those are told that are silent, as who stands
    beside one and hears nothing speaks for every path, and those that have no
    slot free, with all that they have to do.  Of the other domain's upstreams
    it is told what this instance lets them do.
    """
    for known in steering.pool.by_name.values():
        if known.entry.domain == domain and known.busy:
            yield UpstreamUpdate(known.cookie, known.busy, 0, -1, -1)
        elif known.entry.domain == steering.local_instance.domain:
            yield from _tell_own(known, now)


def _tell_own(known: Upstream, now: float) -> Iterator[UpstreamUpdate]:
    recent = now - known.liveness.last_unanswered_at < SILENCE_SECONDS
    silences = known.liveness.unanswered if recent else 0
    busy = count_busy(known, now)
    if silences or busy >= known.entry.slots:
        since = _age(known.liveness.unanswered_since, now) if silences else -1
        yield UpstreamUpdate(known.cookie, busy, silences, since, -1)


def take_upstream_news(
    steering: Steering,
    teller: MemberUpdate,
    beat: Heartbeat,
    now: float,
) -> None:
    """Take what a beat tells of upstreams, if the teller can know."""
    steering.now = now
    for news in beat.upstreams:
        upstream = steering.pool.by_cookie.get(news.cookie)
        if upstream is None:
            continue
        if steering.local_instance.domain in {
            teller.domain,
            upstream.entry.domain,
        }:
            _take_one(steering, upstream, teller.name, news)
        elif teller.domain == upstream.entry.domain:
            upstream.domain_busy = news.busy
            upstream.domain_busy_at = now
            own = msgspec.structs.replace(news, busy=0)
            _take_one(steering, upstream, teller.name, own)


def _take_one(
    steering: Steering,
    upstream: Upstream,
    member: str,
    news: UpstreamUpdate,
) -> None:
    now = steering.now
    told = PeerReport(now, news.busy)
    if news.unanswered:
        told.unanswered = news.unanswered
        told.unanswered_since = now - news.unanswered_age / _MILLISECONDS
    told.responses = news.responses
    told.short_responses = news.short_responses
    upstream.report_by_member[member] = told
    if news.unanswered:
        detect_partition(steering, upstream.entry.domain)
    if news.ejected_for:
        adopt_ejection(steering, upstream, news.ejected_for / _MILLISECONDS)
    if news.liveness_age >= 0:
        record_liveness(
            steering, upstream, now - news.liveness_age / _MILLISECONDS
        )


def _age(moment: float, now: float) -> int:
    """Return an age in milliseconds, -1 for what never happened."""
    return int((now - moment) * _MILLISECONDS) if moment else -1
