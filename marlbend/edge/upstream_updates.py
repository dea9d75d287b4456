"""Exchange observations of upstreams with other instances.

They concern load, unanswered packets and outlier detection.  Less is exchanged
between failure domains, as their paths to an upstream differ.
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

__all__ = (
    'merge_upstream_updates',
    'updates_for_local_domain',
    'updates_for_remote_domain',
)

# Unanswered packets of an upstream are reported for this long.
UNANSWERED_REPORT_SECONDS: Final = 2.0
_MILLISECONDS_PER_SECOND: Final = 1000


def updates_for_local_domain(
    steering: Steering, now: float
) -> Iterator[UpstreamUpdate]:
    """Yield the updates of upstreams for instances of the local domain."""
    for upstream in steering.pool.by_name.values():
        recently_unanswered = (
            now - upstream.liveness.last_unanswered_at
            < UNANSWERED_REPORT_SECONDS
        )
        decay_counts(upstream, now)
        is_ejected = upstream.outlier_state.ejected_until > now
        if (
            upstream.busy
            or recently_unanswered
            or is_ejected
            or upstream.outlier_state.responses >= 1
        ):
            unanswered_count = (
                upstream.liveness.unanswered if recently_unanswered else 0
            )
            yield UpstreamUpdate(
                upstream.cookie,
                upstream.busy,
                unanswered_count,
                _optional_age(upstream.liveness.unanswered_since, now)
                if unanswered_count
                else -1,
                _optional_age(upstream.liveness.last_alive_at, now),
                round(upstream.outlier_state.responses),
                round(upstream.outlier_state.short_responses),
                max(
                    int(
                        (upstream.outlier_state.ejected_until - now)
                        * _MILLISECONDS_PER_SECOND
                    ),
                    0,
                ),
            )


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
    for upstream in steering.pool.by_name.values():
        if upstream.entry.domain == domain and upstream.busy:
            yield UpstreamUpdate(upstream.cookie, upstream.busy, 0, -1, -1)
        elif upstream.entry.domain == steering.local_instance.domain:
            yield from _local_upstream_updates(upstream, now)


def _local_upstream_updates(
    upstream: Upstream, now: float
) -> Iterator[UpstreamUpdate]:
    recently_unanswered = (
        now - upstream.liveness.last_unanswered_at < UNANSWERED_REPORT_SECONDS
    )
    unanswered_count = (
        upstream.liveness.unanswered if recently_unanswered else 0
    )
    busy = count_busy(upstream, now)
    if unanswered_count or busy >= upstream.entry.slots:
        unanswered_age = (
            _optional_age(upstream.liveness.unanswered_since, now)
            if unanswered_count
            else -1
        )
        yield UpstreamUpdate(
            upstream.cookie, busy, unanswered_count, unanswered_age, -1
        )


def merge_upstream_updates(
    steering: Steering,
    sender: MemberUpdate,
    heartbeat: Heartbeat,
    now: float,
) -> None:
    """Merge the upstream updates of a heartbeat.

    An update counts in full if its sender or its upstream belongs to the local
    domain.  If both belong to the same remote domain, `busy` is the load from
    that whole domain and not from the sender alone.  Any other is ignored.
    """
    steering.now = now
    for update in heartbeat.upstreams:
        upstream = steering.pool.by_cookie.get(update.cookie)
        if upstream is None:
            continue
        if steering.local_instance.domain in {
            sender.domain,
            upstream.entry.domain,
        }:
            _merge_update(steering, upstream, sender.name, update)
        elif sender.domain == upstream.entry.domain:
            upstream.domain_busy = update.busy
            upstream.domain_busy_at = now
            update_without_busy = msgspec.structs.replace(update, busy=0)
            _merge_update(steering, upstream, sender.name, update_without_busy)


def _merge_update(
    steering: Steering,
    upstream: Upstream,
    member: str,
    update: UpstreamUpdate,
) -> None:
    now = steering.now
    report = PeerReport(now, update.busy)
    if update.unanswered:
        report.unanswered = update.unanswered
        report.unanswered_since = (
            now - update.unanswered_age / _MILLISECONDS_PER_SECOND
        )
    report.responses = update.responses
    report.short_responses = update.short_responses
    upstream.report_by_member[member] = report
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


def _optional_age(moment: float, now: float) -> int:
    """Return an age in milliseconds, -1 if the event never happened."""
    return int((now - moment) * _MILLISECONDS_PER_SECOND) if moment else -1
