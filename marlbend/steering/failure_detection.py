"""Decide which upstreams to avoid and which flows to give up.

One instance may be wrong: its own link may be choked.  So a flow is given up
only where this instance saw silence itself, lately, another instance of the
domain saw it too, and this one was seldom wrong of late.  Others reach the
upstream on other paths, so of them only those of its own domain count.
"""

from collections.abc import Iterator
from typing import Final, final

from marlbend.steering.state import Cut, Steering
from marlbend.steering.upstreams import PeerReport, Upstream

__all__ = ('count_busy', 'detect_partition', 'is_suspected', 'seems_dead')

# A reset of an open flow needs silence in so many flows, and no sign of life
# for longer than packets wait at a choked link, half a second, before the
# platform counts it as slow, after a caller's repeat at 0.2 s.
DEAD_SILENCES: Final = 3
DEAD_SECONDS: Final = 0.8
# Silence that was not seen again for this long may be over; it is half of the
# time for which the platform counts an upstream as disrupted.
FRESH_SECONDS: Final = 2.0
# A partition shows on so many upstreams of the other domain; a busy upstream
# alone is no partition.  A choked link alone is over half a second later.
CUT_UPSTREAMS: Final = 2
CUT_SECONDS: Final = 0.6
# Beats come four times a second; one may be lost.
TOLD_SECONDS: Final = 1.0
# One lost datagram of another instance is no reason to avoid an upstream.
TOLD_SILENCES: Final = 2
# An instance whose accusations were refuted so often within this time gives up
# no flow; lost datagrams alone refute about one in ten seconds.
DOUBT_SECONDS: Final = 5.0
DOUBT_REFUTED: Final = 3


@final
class Silence:
    """Hold the silence of an upstream as the own domain sees it.

    `flows` counts silent flows and `witnesses` the instances that saw them;
    `own` tells that this one did.
    """

    __slots__ = ('flows', 'own', 'since', 'witnesses')

    def __init__(self, upstream: Upstream, now: float) -> None:
        """Add up what this instance saw and what others told."""
        told = list(_believe(upstream, now))
        starts = [each.unanswered_since for each in told]
        self.own = (
            upstream.liveness.unanswered > 0
            and now - upstream.liveness.last_unanswered_at < (FRESH_SECONDS)
        )
        self.flows = sum(each.unanswered for each in told)
        self.witnesses = len(told)
        if self.own:
            self.flows += upstream.liveness.unanswered
            self.witnesses += 1
            starts.append(upstream.liveness.unanswered_since)
        self.since = min(starts, default=now)


def detect_partition(steering: Steering, domain: str) -> None:
    """Note a partition if several upstreams of another domain fell silent.

    With a partition all of them fall silent at once, which shows sooner than
    on each of them alone.
    """
    now = steering.now
    if domain == steering.local_instance.domain:
        return
    members = [
        each
        for each in steering.pool.by_name.values()
        if each.entry.domain == domain and not each.ended_at
    ]
    silences = [Silence(each, now) for each in members]
    silent = [each for each in silences if each.flows]
    if len(silent) < CUT_UPSTREAMS or not _is_witnessed(steering, silent):
        return
    since = min(each.since for each in silent)
    life_at = max(each.liveness.last_alive_at for each in members)
    if sum(each.flows for each in silent) >= DEAD_SILENCES and life_at <= since:
        cut = steering.partition_by_domain.setdefault(domain, Cut(now))
        cut.seen_at = now


def is_suspected(steering: Steering, upstream: Upstream) -> bool:
    """Tell whether an upstream should get no new flow for now."""
    now = steering.now
    cut = steering.partition_by_domain.get(upstream.entry.domain)
    if cut is not None and now < cut.retry_at:
        return True
    if now < upstream.liveness.retry_at or upstream.missing_since:
        return True
    return any(
        told.unanswered >= TOLD_SILENCES for told in _believe(upstream, now)
    )


def seems_dead(steering: Steering, upstream: Upstream) -> bool:
    """Tell whether there is reason enough to give up open flows."""
    if _doubts_itself(steering):
        return False
    now = steering.now
    cut = steering.partition_by_domain.get(upstream.entry.domain)
    if cut is not None and now - cut.seen_at < FRESH_SECONDS:
        return now - cut.since > CUT_SECONDS
    if not upstream.liveness.unanswered:
        return False
    silence = Silence(upstream, now)
    if silence.flows < DEAD_SILENCES:
        return False
    witnessed = _is_witnessed(steering, [silence])
    return witnessed and now - silence.since > DEAD_SECONDS


def count_busy(upstream: Upstream, now: float) -> int:
    """Return the requests in progress, as far as this instance knows."""
    others = (
        told.busy
        for told in upstream.report_by_member.values()
        if now - told.received_at < TOLD_SECONDS
    )
    seen = upstream.busy + sum(others)
    if now - upstream.domain_busy_at < TOLD_SECONDS:
        return max(seen, upstream.domain_busy)
    return seen


def _is_witnessed(steering: Steering, silences: list[Silence]) -> bool:
    """Tell whether this instance saw silence, and another one did too."""
    if not any(each.own for each in silences):
        return False
    place = steering.local_instance
    others = any(
        domain == place.domain and name != place.name
        for name, domain in place.peers
    )
    return not others or any(
        each.witnesses > int(each.own) for each in silences
    )


def _doubts_itself(steering: Steering) -> bool:
    """Tell whether this instance was wrong too often of late.

    A choked link makes upstreams look silent that answer a little later.
    """
    recent = steering.now - DOUBT_SECONDS
    return (
        sum(at > recent for at in steering.local_instance.refuted)
        >= DOUBT_REFUTED
    )


def _believe(upstream: Upstream, now: float) -> Iterator[PeerReport]:
    """Yield the fresh reports of silence that no sign of life outweighs."""
    for told in upstream.report_by_member.values():
        fresh = now - told.received_at < TOLD_SECONDS
        if (
            fresh
            and told.unanswered
            and told.unanswered_since > upstream.liveness.last_alive_at
        ):
            yield told
