"""Tell other instances what this one sees of upstreams, and take theirs.

That is load, silence and failure.  Between failure domains less is told, since
the paths to an upstream differ there.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.steering.evidence import note_life
from marlbend.steering.failing import adopt_pause, fade_counts
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Told, Upstream
from marlbend.steering.verdicts import count_busy, review_domain
from marlbend.wire.heartbeats import Heartbeat, MemberUpdate, UpstreamUpdate

__all__ = ('take_upstream_news', 'tell_far', 'tell_near')

# Silence of an upstream is told for this long.
SILENCE_SECONDS: Final = 2.0
_MILLISECONDS: Final = 1000


def tell_near(steering: Steering, now: float) -> Iterator[UpstreamUpdate]:
    """Yield what the own domain is told of upstreams."""
    for known in steering.pool.by_name.values():
        recent = now - known.signs.silent_at < SILENCE_SECONDS
        fade_counts(known, now)
        avoided = known.served.avoided_until > now
        if known.busy or recent or avoided or known.served.answers >= 1:
            silences = known.signs.silences if recent else 0
            yield UpstreamUpdate(
                known.cookie,
                known.busy,
                silences,
                _age(known.signs.silent_since, now) if silences else -1,
                _age(known.signs.life_at, now),
                round(known.served.answers),
                round(known.served.shorts),
                max(int((known.served.avoided_until - now) * _MILLISECONDS), 0),
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
        elif known.entry.domain == steering.place.domain:
            yield from _tell_own(known, now)


def _tell_own(known: Upstream, now: float) -> Iterator[UpstreamUpdate]:
    recent = now - known.signs.silent_at < SILENCE_SECONDS
    silences = known.signs.silences if recent else 0
    busy = count_busy(known, now)
    if silences or busy >= known.entry.slots:
        since = _age(known.signs.silent_since, now) if silences else -1
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
        if steering.place.domain in {teller.domain, upstream.entry.domain}:
            _take_one(steering, upstream, teller.name, news)
        elif teller.domain == upstream.entry.domain:
            upstream.far_busy = news.busy
            upstream.far_at = now
            own = msgspec.structs.replace(news, busy=0)
            _take_one(steering, upstream, teller.name, own)


def _take_one(
    steering: Steering,
    upstream: Upstream,
    member: str,
    news: UpstreamUpdate,
) -> None:
    now = steering.now
    told = Told(now, news.busy)
    if news.silences:
        told.silences = news.silences
        told.silent_since = now - news.unanswered_age / _MILLISECONDS
    told.answers = news.answers
    told.shorts = news.shorts
    upstream.told_by_member[member] = told
    if news.silences:
        review_domain(steering, upstream.entry.domain)
    if news.ejected_for:
        adopt_pause(steering, upstream, news.ejected_for / _MILLISECONDS)
    if news.liveness_age >= 0:
        note_life(steering, upstream, now - news.liveness_age / _MILLISECONDS)


def _age(moment: float, now: float) -> int:
    """Return an age in milliseconds, -1 for what never happened."""
    return int((now - moment) * _MILLISECONDS) if moment else -1
