"""Judge upstreams by what their flows show.

An instance never sees an answer.  It sees that a caller goes on after its
opening packet, or acknowledges bytes, which proves that the upstream lives; and
that a caller does not, or repeats itself, which suggests that it does not.
"""

from typing import Final

from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream
from marlbend.steering.verdicts import review_domain

__all__ = (
    'handshake_timeout',
    'measure_handshake',
    'note_life',
    'note_silence',
    'note_test',
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
    known = steering.learned.handshakes
    wanted = known.mean + _DEVIATIONS * known.deviation
    return min(max(wanted, SHORTEST_TIMEOUT_SECONDS), LONGEST_TIMEOUT_SECONDS)


def measure_handshake(steering: Steering, seconds: float) -> None:
    """Take one measured handshake into the estimate."""
    known = steering.learned.handshakes
    known.latencies.record(seconds)
    error = seconds - known.mean
    known.mean += _GAIN * error
    known.deviation += _DEVIATION_GAIN * (abs(error) - known.deviation)


def note_life(steering: Steering, upstream: Upstream, now: float) -> None:
    """Note a sign of life, which clears every suspicion."""
    cut = steering.cut_by_domain.get(upstream.entry.domain)
    if cut is not None and now > cut.since:
        steering.cut_by_domain.pop(upstream.entry.domain)
    upstream.signs.life_at = max(upstream.signs.life_at, now)
    if (
        upstream.signs.silences
        and upstream.signs.life_at > upstream.signs.silent_since
    ):
        steering.place.refuted.append(steering.now)
        upstream.signs.silences = 0
        upstream.signs.silent_since = 0
        upstream.signs.retry_at = 0


def note_silence(steering: Steering, upstream: Upstream, since: float) -> None:
    """Note that nothing came of a packet sent at `since`.

    A sign of life after that packet outweighs it.
    """
    now = steering.now
    if upstream.signs.life_at > since:
        return
    upstream.signs.silences += 1
    upstream.signs.silent_since = upstream.signs.silent_since or since
    upstream.signs.silent_at = now
    pause = FIRST_PAUSE_SECONDS * 2 ** (upstream.signs.silences - 1)
    upstream.signs.retry_at = now + min(pause, LONGEST_PAUSE_SECONDS)
    if upstream.signs.silences <= ALARMING_SILENCES:
        steering.ways.alarm()
    review_domain(steering, upstream.entry.domain)


def note_test(steering: Steering, upstream: Upstream) -> None:
    """Let one new flow test a silent upstream, and hold back the next."""
    now = steering.now
    cut = steering.cut_by_domain.get(upstream.entry.domain)
    if cut is not None:
        cut.retry_at = now + CUT_PAUSE_SECONDS
    if upstream.signs.silences:
        upstream.signs.retry_at = now + FIRST_PAUSE_SECONDS
