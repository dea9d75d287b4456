"""Judge upstreams by what their flows show.

An instance never sees an answer.  It sees that a caller goes on after its
opening packet, or acknowledges bytes, which proves that the upstream lives; and
that a caller does not, or repeats itself, which suggests that it does not.
"""

from typing import Final

from marlbend.steering.failure_detection import detect_partition
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = (
    'handshake_timeout',
    'measure_handshake',
    'note_test',
    'record_liveness',
    'record_unanswered',
)

FIRST_PAUSE_SECONDS: Final = 0.25
LONGEST_PAUSE_SECONDS: Final = 2.0
CUT_PAUSE_SECONDS: Final = 0.5
# The smoothing of RFC 6298 for round-trip times.
_GAIN: Final = 1 / 8
_DEVIATION_GAIN: Final = 1 / 4
_DEVIATIONS: Final = 4
# An opening packet waits at most a fifth of the caller's 200 ms to its copy.
SHORTEST_TIMEOUT_SECONDS: Final = 0.02
LONGEST_TIMEOUT_SECONDS: Final = 0.15
# So many silences of an upstream are news to the own domain; more repeat them.
ALARMING_SILENCES: Final = 3


def handshake_timeout(steering: Steering) -> float:
    """Return how long to wait for a sign that a flow has opened, in seconds."""
    known = steering.estimates.handshake_times
    wanted = known.mean + _DEVIATIONS * known.deviation
    return min(max(wanted, SHORTEST_TIMEOUT_SECONDS), LONGEST_TIMEOUT_SECONDS)


def measure_handshake(steering: Steering, seconds: float) -> None:
    """Take one measured handshake into the estimate."""
    known = steering.estimates.handshake_times
    known.latencies.record(seconds)
    error = seconds - known.mean
    known.mean += _GAIN * error
    known.deviation += _DEVIATION_GAIN * (abs(error) - known.deviation)


def record_liveness(steering: Steering, upstream: Upstream, now: float) -> None:
    """Note a sign of life, which clears every suspicion."""
    cut = steering.partition_by_domain.get(upstream.entry.domain)
    if cut is not None and now > cut.since:
        steering.partition_by_domain.pop(upstream.entry.domain)
    upstream.liveness.last_alive_at = max(upstream.liveness.last_alive_at, now)
    if (
        upstream.liveness.unanswered
        and upstream.liveness.last_alive_at > upstream.liveness.unanswered_since
    ):
        steering.local_instance.refuted.append(steering.now)
        upstream.liveness.unanswered = 0
        upstream.liveness.unanswered_since = 0
        upstream.liveness.retry_at = 0


def record_unanswered(
    steering: Steering, upstream: Upstream, since: float
) -> None:
    """Note that nothing came of a packet sent at `since`.

    A sign of life after that packet outweighs it.
    """
    now = steering.now
    if upstream.liveness.last_alive_at > since:
        return
    upstream.liveness.unanswered += 1
    upstream.liveness.unanswered_since = (
        upstream.liveness.unanswered_since or since
    )
    upstream.liveness.last_unanswered_at = now
    pause = FIRST_PAUSE_SECONDS * 2 ** (upstream.liveness.unanswered - 1)
    upstream.liveness.retry_at = now + min(pause, LONGEST_PAUSE_SECONDS)
    if upstream.liveness.unanswered <= ALARMING_SILENCES:
        steering.callbacks.gossip_now()
    detect_partition(steering, upstream.entry.domain)


def note_test(steering: Steering, upstream: Upstream) -> None:
    """Let one new flow test a silent upstream, and hold back the next."""
    now = steering.now
    cut = steering.partition_by_domain.get(upstream.entry.domain)
    if cut is not None:
        cut.retry_at = now + CUT_PAUSE_SECONDS
    if upstream.liveness.unanswered:
        upstream.liveness.retry_at = now + FIRST_PAUSE_SECONDS
