"""Exchange observations of upstreams with other instances.

They concern load, speed, unanswered packets and outlier detection.  Less is
exchanged between failure domains, as their paths to an upstream differ.
"""

import heapq
from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from marlbend.steering.failure_detection import count_busy, detect_partition
from marlbend.steering.liveness import record_liveness
from marlbend.steering.placement.method import keeps_estimates
from marlbend.steering.placement.outlier_detection import (
    adopt_ejection,
    decay_counts,
)
from marlbend.steering.placement.outstanding_work import (
    own_work,
    total_work,
)
from marlbend.steering.placement.speeds import describe_speed
from marlbend.steering.reports import PeerReport, add_report
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream
from marlbend.wire.heartbeats import Heartbeat, MemberUpdate, UpstreamUpdate

__all__ = (
    'merge_upstream_updates',
    'updates_for_local_domain',
    'updates_for_remote_domain',
    'urgent_updates',
)

# How many upstreams a heartbeat reports on: 1.6 to 3.3 kB, less than half of
# what fits into a datagram.
MAX_UPDATES: Final = 100
# How many an urgent heartbeat reports on, which then has 0.3 kB.
MAX_URGENT_UPDATES: Final = 8

# Unanswered packets of an upstream are reported for this long.  It is the time
# for which this instance itself uses them, `EVIDENCE_MAX_AGE_SECONDS` of
# `marlbend.steering.failure_detection`.
UNANSWERED_REPORT_SECONDS: Final = 2.0
_MILLISECONDS_PER_SECOND: Final = 1000
_PERCENT: Final = 100
# Reports are clipped to these limits, so that a wrong one neither attracts all
# flows to an upstream nor keeps it without any.
MAX_WORK_SECONDS: Final = 60.0
MIN_SLOWDOWN: Final = 0.25
MAX_SLOWDOWN: Final = 16.0
# About as many requests as an upstream serves in a few seconds.
MAX_SAMPLES: Final = 1000


def updates_for_local_domain(
    steering: Steering, now: float
) -> Iterator[UpstreamUpdate]:
    """Yield the updates of upstreams for instances of the local domain.

    Of more than `MAX_UPDATES`, choose those that fail, then the busiest.
    """
    steering.now = now
    active = [
        upstream
        for upstream in steering.pool.by_name.values()
        if _is_active(upstream, now)
    ]
    if len(active) > MAX_UPDATES:
        active = heapq.nlargest(
            MAX_UPDATES,
            active,
            key=lambda each: (
                _is_failing(each, now),
                each.busy,
                steering.random.random(),
            ),
        )
    for upstream in active:
        yield _describe_fully(steering, upstream, now)


def urgent_updates(steering: Steering, now: float) -> Iterator[UpstreamUpdate]:
    """Yield the updates of the upstreams that failed last, the latest first.

    They are those for which a periodic heartbeat would come too late.
    """
    steering.now = now
    failing = (
        upstream
        for upstream in steering.pool.by_name.values()
        if _is_failing(upstream, now)
    )
    latest = heapq.nlargest(
        MAX_URGENT_UPDATES,
        failing,
        key=lambda each: (
            each.liveness.last_unanswered_at,
            each.outlier_state.ejected_until,
        ),
    )
    for upstream in latest:
        yield _describe_fully(steering, upstream, now)


def updates_for_remote_domain(
    steering: Steering,
    domain: str,
    now: float,
) -> Iterator[UpstreamUpdate]:
    """Yield the updates of upstreams for instances of a remote domain.

    Of the upstreams of the local domain, report those that do not respond and
    those without a free slot, with the load from the whole domain.  One that
    does not respond within its own domain does not respond on any other path.
    Of the upstreams of the remote domain, report the requests from this
    instance.
    """
    steering.now = now
    updates = _list_remote_updates(steering, domain, now)
    yield from heapq.nlargest(
        MAX_UPDATES, updates, key=lambda each: (each.unanswered, each.busy)
    )


def _list_remote_updates(
    steering: Steering, domain: str, now: float
) -> Iterator[UpstreamUpdate]:
    for upstream in steering.pool.by_name.values():
        if upstream.entry.domain == domain and upstream.busy:
            update = UpstreamUpdate(upstream.cookie, upstream.busy, 0, -1, -1)
            yield _add_work(steering, update, upstream, own_work)
        elif upstream.entry.domain == steering.local_instance.domain:
            yield from _local_upstream_updates(steering, upstream, now)


def _is_failing(upstream: Upstream, now: float) -> bool:
    return (
        _is_recently_unanswered(upstream, now)
        or upstream.outlier_state.ejected_until > now
    )


def _is_recently_unanswered(upstream: Upstream, now: float) -> bool:
    return (
        now - upstream.liveness.last_unanswered_at < UNANSWERED_REPORT_SECONDS
    )


def _is_active(upstream: Upstream, now: float) -> bool:
    decay_counts(upstream, now)
    return (
        upstream.busy > 0
        or upstream.outlier_state.responses >= 1
        or _is_failing(upstream, now)
    )


def _describe_fully(
    steering: Steering, upstream: Upstream, now: float
) -> UpstreamUpdate:
    is_unanswered = _is_recently_unanswered(upstream, now)
    unanswered_count = upstream.liveness.unanswered if is_unanswered else 0
    ejected_seconds = max(upstream.outlier_state.ejected_until - now, 0)
    update = UpstreamUpdate(
        upstream.cookie,
        upstream.busy,
        unanswered_count,
        _optional_age(upstream.liveness.unanswered_since, now)
        if unanswered_count
        else -1,
        _optional_age(upstream.liveness.last_observed_at, now),
        round(upstream.outlier_state.responses),
        round(upstream.outlier_state.short_responses),
        int(ejected_seconds * _MILLISECONDS_PER_SECOND),
    )
    return _add_work(steering, update, upstream, own_work)


def _local_upstream_updates(
    steering: Steering, upstream: Upstream, now: float
) -> Iterator[UpstreamUpdate]:
    is_unanswered = _is_recently_unanswered(upstream, now)
    unanswered_count = upstream.liveness.unanswered if is_unanswered else 0
    busy = count_busy(upstream, now)
    if unanswered_count or busy >= upstream.entry.slots:
        unanswered_age = (
            _optional_age(upstream.liveness.unanswered_since, now)
            if unanswered_count
            else -1
        )
        update = UpstreamUpdate(
            upstream.cookie, busy, unanswered_count, unanswered_age, -1
        )
        yield _add_work(steering, update, upstream, total_work)


def _add_work(
    steering: Steering,
    update: UpstreamUpdate,
    upstream: Upstream,
    find_work: Callable[[Steering, Upstream], float],
) -> UpstreamUpdate:
    """Return an update with the work and the sender's own samples of speed.

    One that keeps no estimates leaves the defaults.
    """
    if not keeps_estimates(steering):
        return update
    work_seconds = min(find_work(steering, upstream), MAX_WORK_SECONDS)
    slowdown, weight = describe_speed(upstream.work.speed, steering.now)
    samples = min(round(weight), MAX_SAMPLES)
    return msgspec.structs.replace(
        update,
        work=round(work_seconds * _MILLISECONDS_PER_SECOND),
        slowdown=round(slowdown * _PERCENT) if samples else 0,
        samples=samples,
    )


def merge_upstream_updates(
    steering: Steering,
    sender_update: MemberUpdate,
    heartbeat: Heartbeat,
    now: float,
) -> None:
    """Merge the upstream updates of a heartbeat.

    An update counts in full if its sender or its upstream belongs to the local
    domain.  If both belong to the same remote domain, `busy` and `work` are the
    load from that whole domain and not from the sender alone.  Any other is
    ignored.
    """
    steering.now = now
    for update in heartbeat.upstreams:
        upstream = steering.pool.by_cookie.get(update.cookie)
        if upstream is None:
            continue
        if steering.local_instance.domain in {
            sender_update.domain,
            upstream.entry.domain,
        }:
            _merge_update(steering, upstream, sender_update.name, update)
        elif sender_update.domain == upstream.entry.domain:
            upstream.domain_report = _make_report(update, now)
            update_without_load = msgspec.structs.replace(
                update, busy=0, work=0
            )
            _merge_update(
                steering, upstream, sender_update.name, update_without_load
            )


def _merge_update(
    steering: Steering,
    upstream: Upstream,
    member: str,
    update: UpstreamUpdate,
) -> None:
    now = steering.now
    report = _make_report(update, now)
    if update.unanswered:
        report.unanswered = update.unanswered
        report.unanswered_since = (
            now - update.unanswered_age / _MILLISECONDS_PER_SECOND
        )
    report.responses = update.responses
    report.short_responses = update.short_responses
    add_report(upstream.reports, member, report)
    if update.unanswered:
        detect_partition(steering, upstream.entry.domain)
    if update.ejected_for:
        adopt_ejection(
            steering, upstream, update.ejected_for / _MILLISECONDS_PER_SECOND
        )
    if update.liveness_age >= 0:
        record_liveness(
            steering,
            upstream,
            now - update.liveness_age / _MILLISECONDS_PER_SECOND,
        )


def _make_report(update: UpstreamUpdate, now: float) -> PeerReport:
    """Return a report of load and speed, without unlikely values."""
    report = PeerReport(now, update.busy)
    if update.work >= 0:
        work_seconds = update.work / _MILLISECONDS_PER_SECOND
        report.work_seconds = min(work_seconds, MAX_WORK_SECONDS)
    if update.slowdown:
        slowdown = update.slowdown / _PERCENT
        report.slowdown = min(max(slowdown, MIN_SLOWDOWN), MAX_SLOWDOWN)
        report.samples = min(update.samples, MAX_SAMPLES)
    return report


def _optional_age(moment: float, now: float) -> int:
    """Return an age in milliseconds, -1 if the event never happened."""
    return int((now - moment) * _MILLISECONDS_PER_SECOND) if moment else -1
