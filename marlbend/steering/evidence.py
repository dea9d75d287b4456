"""Judge upstreams by what their flows show.

An instance never sees an answer.  It sees that a caller goes on after its
opening packet, or acknowledges bytes, which proves that the upstream lives; and
that a caller does not, or repeats itself, which suggests that it does not.
"""

from typing import Final

from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = (
    'handshake_timeout',
    'is_suspected',
    'measure_handshake',
    'note_life',
    'note_silence',
    'note_test',
    'seems_dead',
)

FIRST_PAUSE_SECONDS: Final = 0.25
LONGEST_PAUSE_SECONDS: Final = 2.0
# The smoothing of RFC 6298 for round-trip times.
_GAIN: Final = 1 / 8
_DEVIATION_GAIN: Final = 1 / 4
_DEVIATIONS: Final = 4
# An opening packet waits at most a fifth of the caller's 200 ms to its copy.
SHORTEST_TIMEOUT_SECONDS: Final = 0.02
LONGEST_TIMEOUT_SECONDS: Final = 0.15
# A reset of an open flow needs silence in so many flows, and no sign of life
# for as long as two repeats of a caller take.
DEAD_SILENCES: Final = 3
DEAD_SECONDS: Final = 0.4


def handshake_timeout(steering: Steering) -> float:
    """Return how long to wait for a sign that a flow has opened, in seconds."""
    wanted = steering.handshake + _DEVIATIONS * steering.deviation
    return min(max(wanted, SHORTEST_TIMEOUT_SECONDS), LONGEST_TIMEOUT_SECONDS)


def measure_handshake(steering: Steering, seconds: float) -> None:
    """Take one measured handshake into the estimate."""
    error = seconds - steering.handshake
    steering.handshake += _GAIN * error
    steering.deviation += _DEVIATION_GAIN * (abs(error) - steering.deviation)


def note_life(upstream: Upstream, now: float) -> None:
    """Note a sign of life, which clears every suspicion."""
    upstream.life_at = now
    upstream.silences = 0
    upstream.silent_since = 0
    upstream.retry_at = 0


def note_silence(upstream: Upstream, now: float, since: float) -> None:
    """Note that nothing came of a packet sent at `since`.

    A sign of life after that packet outweighs it.
    """
    if upstream.life_at > since:
        return
    upstream.silences += 1
    upstream.silent_since = upstream.silent_since or since
    pause = FIRST_PAUSE_SECONDS * 2 ** (upstream.silences - 1)
    upstream.retry_at = now + min(pause, LONGEST_PAUSE_SECONDS)


def is_suspected(upstream: Upstream, now: float) -> bool:
    """Tell whether an upstream should get no new flow for now."""
    return now < upstream.retry_at or bool(upstream.missing_since)


def note_test(upstream: Upstream, now: float) -> None:
    """Let one new flow test a silent upstream, and hold back the next."""
    if upstream.silences:
        upstream.retry_at = now + FIRST_PAUSE_SECONDS


def seems_dead(upstream: Upstream, now: float) -> bool:
    """Tell whether there is reason enough to give up open flows."""
    return (
        upstream.silences >= DEAD_SILENCES
        and now - upstream.silent_since > DEAD_SECONDS
    )
