"""Infer whether upstreams are alive from the packets of their callers.

An instance never sees packets from upstreams.  A caller that continues after
its SYN, or acknowledges bytes, proves that the upstream is alive; a caller that
does not continue, or retransmits, suggests that it is not.

There are no active health checks.  A probe is a caller's new flow that is sent
to a suspected upstream to find out whether it is alive again.
"""

from typing import Final

from marlbend.steering.failure_detection import detect_partition, is_silent
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = (
    'handshake_timeout',
    'observe_liveness',
    'record_handshake',
    'record_liveness',
    'record_probe',
    'record_unanswered',
)

# The time to the next probe of an upstream: the minimum after the first
# unanswered packet and after a probe, doubled with each further unanswered
# packet up to the maximum.
MIN_PROBE_DELAY_SECONDS: Final = 0.25
MAX_PROBE_DELAY_SECONDS: Final = 2.0
# The time from one probe of a partitioned domain to the next.
NEXT_PARTITION_PROBE_DELAY_SECONDS: Final = 0.5
# The smoothing factors of RFC 6298 for round-trip times.
_MEAN_GAIN: Final = 1 / 8
_DEVIATION_GAIN: Final = 1 / 4
_DEVIATION_FACTOR: Final = 4
# Callers retransmit a SYN after 200 ms; both limits are shorter than that.
MIN_HANDSHAKE_TIMEOUT_SECONDS: Final = 0.02
MAX_HANDSHAKE_TIMEOUT_SECONDS: Final = 0.15
# Only the first unanswered packets of an upstream are gossiped at once; further
# ones add no information.
GOSSIPED_UNANSWERED: Final = 3


def handshake_timeout(steering: Steering) -> float:
    """Return how long to wait for a handshake to complete, in seconds."""
    times = steering.estimates.handshake_times
    timeout = times.mean + _DEVIATION_FACTOR * times.deviation
    return min(
        max(timeout, MIN_HANDSHAKE_TIMEOUT_SECONDS),
        MAX_HANDSHAKE_TIMEOUT_SECONDS,
    )


def record_handshake(steering: Steering, seconds: float) -> None:
    """Update the estimates with the duration of one handshake."""
    times = steering.estimates.handshake_times
    times.latencies.record(seconds)
    error = seconds - times.mean
    times.mean += _MEAN_GAIN * error
    times.deviation += _DEVIATION_GAIN * (abs(error) - times.deviation)


def observe_liveness(steering: Steering, upstream: Upstream) -> None:
    """Record proof in a packet of this instance that an upstream is alive."""
    upstream.liveness.last_observed_at = steering.now
    record_liveness(steering, upstream, steering.now)


def record_liveness(
    steering: Steering, upstream: Upstream, alive_at: float
) -> None:
    """Record proof that an upstream was alive at a time, now or earlier.

    Clear older suspicions.
    """
    partition = steering.partition_by_domain.get(upstream.entry.domain)
    if partition is not None and alive_at > partition.since:
        steering.partition_by_domain.pop(upstream.entry.domain)
    was_silent = upstream.liveness.unanswered and is_silent(
        upstream, steering.now
    )
    upstream.liveness.last_alive_at = max(
        upstream.liveness.last_alive_at, alive_at
    )
    if (
        upstream.liveness.unanswered
        and upstream.liveness.last_alive_at > upstream.liveness.unanswered_since
    ):
        if was_silent:
            upstream.liveness.recovered_at = steering.now
        steering.local_instance.false_suspicions.append(steering.now)
        upstream.liveness.unanswered = 0
        upstream.liveness.unanswered_since = 0
        upstream.liveness.next_probe_at = 0


def record_unanswered(
    steering: Steering,
    upstream: Upstream,
    since: float,
) -> None:
    """Record that a packet sent at `since` got no response.

    Proof of liveness after that time overrides it.
    """
    now = steering.now
    if upstream.liveness.last_alive_at > since:
        return
    upstream.liveness.unanswered += 1
    upstream.liveness.unanswered_since = (
        upstream.liveness.unanswered_since or since
    )
    upstream.liveness.last_unanswered_at = now
    delay = MIN_PROBE_DELAY_SECONDS * 2 ** (upstream.liveness.unanswered - 1)
    upstream.liveness.next_probe_at = now + min(delay, MAX_PROBE_DELAY_SECONDS)
    if upstream.liveness.unanswered <= GOSSIPED_UNANSWERED:
        steering.callbacks.gossip_now()
    detect_partition(steering, upstream.entry.domain)


def record_probe(steering: Steering, upstream: Upstream) -> None:
    """Delay the next probe of an upstream, as a new flow is sent to it.

    Do nothing if neither it nor its domain is suspected.
    """
    now = steering.now
    partition = steering.partition_by_domain.get(upstream.entry.domain)
    if partition is not None:
        partition.next_probe_at = now + NEXT_PARTITION_PROBE_DELAY_SECONDS
    if upstream.liveness.unanswered:
        upstream.liveness.next_probe_at = now + MIN_PROBE_DELAY_SECONDS
