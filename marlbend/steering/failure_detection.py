"""Decide which upstreams are suspected and which flows are reset.

One instance may be wrong, since its own link may be congested.  So a flow to a
registered upstream is reset only if this instance itself recently saw
unanswered packets, another instance saw them too, and this instance has rarely
raised a false suspicion recently.  The other instance belongs to the local
domain or to the upstream's own domain.  Instances of further domains reach the
upstream over other paths; `marlbend.edge.upstream_updates` leaves out the
unanswered packets that they see, so this module counts every report that it
finds.
"""

from collections.abc import Iterator
from typing import Final, final

from marlbend.steering.reports import (
    OBSERVATION_MAX_AGE_SECONDS,
    PeerReport,
    summarize,
)
from marlbend.steering.state import Partition, Steering
from marlbend.steering.upstreams import MISSING_SECONDS, Upstream

__all__ = (
    'count_busy',
    'detect_partition',
    'is_given_up',
    'is_presumed_dead',
    'is_silent',
    'is_silent_unregistered',
    'is_suspected',
)

# An open flow is reset only after this many unanswered packets, counted over
# all observers, with no proof of liveness for this long.  The time is longer
# than the 0.2 s until a caller retransmits plus the half second for which
# packets wait at a congested link before the platform counts it as slow.
DEAD_UNANSWERED: Final = 3
DEAD_SECONDS: Final = 0.8
# Without a further unanswered packet for this long, the failure may be over.
# The platform counts an upstream as disrupted for 4 s; this is half of that.
# Other instances are told of unanswered packets for the same time, which is
# `UNANSWERED_REPORT_SECONDS` of `marlbend.edge.upstream_updates`.
EVIDENCE_MAX_AGE_SECONDS: Final = 2.0
# A partition affects at least this many upstreams of the other domain; a single
# busy upstream is no partition.  Congestion of a link alone ends within half a
# second.
PARTITION_UPSTREAMS: Final = 2
PARTITION_SECONDS: Final = 0.6
# A single datagram lost by another instance does not make an upstream suspect.
REPORTED_UNANSWERED: Final = 2
# After this many false suspicions within this time, an instance resets no flow.
# Lost datagrams alone cause about one false suspicion in ten seconds.
FALSE_SUSPICION_WINDOW_SECONDS: Final = 5.0
FALSE_SUSPICION_LIMIT: Final = 3


@final
class UnansweredSummary:
    """Summarize what this and other instances saw unanswered at an upstream.

    `unanswered` counts the packets and `observers` the instances that saw any,
    since the time `since`.  `seen_locally` is set if this instance is an
    observer.
    """

    __slots__ = ('observers', 'seen_locally', 'since', 'unanswered')

    def __init__(self, upstream: Upstream, now: float) -> None:
        """Combine this instance's observations with the reports of others."""
        reports = list(_credible_reports(upstream, now))
        starts = [report.unanswered_since for report in reports]
        self.seen_locally = (
            upstream.liveness.unanswered > 0
            and now - upstream.liveness.last_unanswered_at
            < EVIDENCE_MAX_AGE_SECONDS
        )
        self.unanswered = sum(report.unanswered for report in reports)
        self.observers = len(reports)
        if self.seen_locally:
            self.unanswered += upstream.liveness.unanswered
            self.observers += 1
            starts.append(upstream.liveness.unanswered_since)
        self.since = min(starts, default=now)


def detect_partition(steering: Steering, domain: str) -> None:
    """Record a partition if several upstreams of a remote domain fail.

    In a partition all of them stop answering at once, so it can be detected
    sooner than the failure of each single upstream.
    """
    now = steering.now
    if domain == steering.local_instance.domain:
        return
    upstreams = [
        upstream
        for upstream in steering.pool.by_name.values()
        if upstream.entry.domain == domain and not upstream.ended_at
    ]
    summaries = [UnansweredSummary(upstream, now) for upstream in upstreams]
    affected = [summary for summary in summaries if summary.unanswered]
    if len(affected) < PARTITION_UPSTREAMS or not _is_confirmed(
        steering, affected
    ):
        return
    since = min(summary.since for summary in affected)
    last_alive_at = max(
        upstream.liveness.last_alive_at for upstream in upstreams
    )
    if (
        sum(summary.unanswered for summary in affected) >= DEAD_UNANSWERED
        and last_alive_at <= since
    ):
        partition = steering.partition_by_domain.setdefault(
            domain, Partition(now)
        )
        partition.last_detected_at = now


def is_suspected(steering: Steering, upstream: Upstream) -> bool:
    """Return whether an upstream should get no new flow for now."""
    now = steering.now
    partition = steering.partition_by_domain.get(upstream.entry.domain)
    if partition is not None and now < partition.next_probe_at:
        return True
    if now < upstream.liveness.next_probe_at or upstream.missing_since:
        return True
    # Hardly any upstream has such a report.
    return bool(summarize(upstream.reports, now).unanswered) and any(
        report.unanswered >= REPORTED_UNANSWERED
        for report in _credible_reports(upstream, now)
    )


def is_silent(upstream: Upstream, now: float) -> bool:
    """Return whether several recent packets of this instance went unanswered.

    Reports do not count: one lost datagram at each of some instances would make
    a whole service look silent.
    """
    age = now - upstream.liveness.last_unanswered_at
    is_recent = age < EVIDENCE_MAX_AGE_SECONDS
    return is_recent and upstream.liveness.unanswered >= DEAD_UNANSWERED


def is_presumed_dead(steering: Steering, upstream: Upstream) -> bool:
    """Return whether the evidence suffices to reset open flows."""
    if _has_many_false_suspicions(steering):
        return False
    now = steering.now
    partition = steering.partition_by_domain.get(upstream.entry.domain)
    if (
        partition is not None
        and now - partition.last_detected_at < EVIDENCE_MAX_AGE_SECONDS
    ):
        return now - partition.since > PARTITION_SECONDS
    if not upstream.liveness.unanswered:
        return False
    summary = UnansweredSummary(upstream, now)
    if summary.unanswered < DEAD_UNANSWERED:
        return False
    is_confirmed = _is_confirmed(steering, [summary])
    return is_confirmed and now - summary.since > DEAD_SECONDS


def is_given_up(upstream: Upstream, now: float) -> bool:
    """Return whether all open flows of an upstream without registration end.

    A registration that is gone ends no open flow by itself: the store may have
    lost it, and the upstream may be unable to write it again.  With it gone,
    unanswered packets that this instance alone saw lately are proof enough.

    Designed for a store that loses writes, and for flows that were idle while
    their upstream left; these get a reset after one retransmission.
    """
    last_unanswered_at = upstream.liveness.last_unanswered_at
    is_recent = now - last_unanswered_at < EVIDENCE_MAX_AGE_SECONDS
    return is_recent and is_silent_unregistered(upstream, now)


def is_silent_unregistered(upstream: Upstream, now: float) -> bool:
    """Return whether a flow ends whose own data went unanswered just now."""
    if not upstream.ended_at or not upstream.liveness.unanswered:
        return False
    starts = [
        report.unanswered_since for report in _credible_reports(upstream, now)
    ]
    silent_since = min(upstream.liveness.unanswered_since, *starts, now)
    return now - silent_since > _find_silence_limit(upstream, now)


def _find_silence_limit(upstream: Upstream, now: float) -> float:
    """Return how long an upstream without registration has to be silent.

    One that announced its departure, and did not answer lately, has left.
    """
    has_left = not upstream.missing_since
    silent_seconds = now - upstream.liveness.last_alive_at
    return 0 if has_left and silent_seconds > MISSING_SECONDS else DEAD_SECONDS


def count_busy(upstream: Upstream, now: float) -> int:
    """Return the number of requests in progress known to this instance."""
    total = upstream.busy + summarize(upstream.reports, now).busy
    domain_report = upstream.domain_report
    if now - domain_report.received_at < OBSERVATION_MAX_AGE_SECONDS:
        return max(total, domain_report.busy)
    return total


def _is_confirmed(
    steering: Steering, summaries: list[UnansweredSummary]
) -> bool:
    """Return whether this instance and another one saw unanswered packets.

    The other one may belong to the local domain or to the upstream's own.  If
    the local domain has no other instance, this one suffices.
    """
    if not any(summary.seen_locally for summary in summaries):
        return False
    local_instance = steering.local_instance
    has_local_peers = any(
        domain == local_instance.domain and name != local_instance.name
        for name, domain in local_instance.live_members
    )
    return not has_local_peers or any(
        summary.observers > int(summary.seen_locally) for summary in summaries
    )


def _has_many_false_suspicions(steering: Steering) -> bool:
    """Return whether this instance has recently been wrong too often.

    Behind a congested link, upstreams that answer a little late look dead.
    """
    recent = steering.now - FALSE_SUSPICION_WINDOW_SECONDS
    return (
        sum(at > recent for at in steering.local_instance.false_suspicions)
        >= FALSE_SUSPICION_LIMIT
    )


def _credible_reports(upstream: Upstream, now: float) -> Iterator[PeerReport]:
    """Yield recent reports of unanswered packets without a later response."""
    for report in summarize(upstream.reports, now).unanswered:
        if report.unanswered_since > upstream.liveness.last_alive_at:
            yield report
