"""Judge upstreams by what their flows show.

An instance never sees an answer.  It sees that a caller goes on after its
opening packet, or acknowledges bytes, which proves that the upstream lives; and
that a caller does not, or repeats itself, which suggests that it does not.
"""

from collections.abc import Iterator
from typing import Final

from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Told, Upstream

__all__ = (
    'count_busy',
    'handshake_timeout',
    'is_suspected',
    'measure_handshake',
    'note_life',
    'note_silence',
    'note_test',
    'review_domain',
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
# A partition shows on so many upstreams of the other domain; a busy upstream
# alone is no partition.  Flows are given up a caller's repeat later.
CUT_UPSTREAMS: Final = 2
CUT_SECONDS: Final = 0.2
# Beats come four times a second; one may be lost.
TOLD_SECONDS: Final = 1.0
# One lost datagram of another instance is no reason to avoid an upstream.
TOLD_SILENCES: Final = 2


def handshake_timeout(steering: Steering) -> float:
    """Return how long to wait for a sign that a flow has opened, in seconds."""
    known = steering.handshakes
    wanted = known.mean + _DEVIATIONS * known.deviation
    return min(max(wanted, SHORTEST_TIMEOUT_SECONDS), LONGEST_TIMEOUT_SECONDS)


def measure_handshake(steering: Steering, seconds: float) -> None:
    """Take one measured handshake into the estimate."""
    known = steering.handshakes
    known.latencies.record(seconds)
    error = seconds - known.mean
    known.mean += _GAIN * error
    known.deviation += _DEVIATION_GAIN * (abs(error) - known.deviation)


def note_life(steering: Steering, upstream: Upstream, now: float) -> None:
    """Note a sign of life, which clears every suspicion."""
    if upstream.entry.domain in steering.cut_since:
        steering.cut_since.pop(upstream.entry.domain)
    upstream.life_at = max(upstream.life_at, now)
    if upstream.silences and upstream.life_at > upstream.silent_since:
        upstream.silences = 0
        upstream.silent_since = 0
        upstream.retry_at = 0


def note_silence(steering: Steering, upstream: Upstream, since: float) -> None:
    """Note that nothing came of a packet sent at `since`.

    A sign of life after that packet outweighs it.
    """
    now = steering.now
    if upstream.life_at > since:
        return
    upstream.silences += 1
    upstream.silent_since = upstream.silent_since or since
    pause = FIRST_PAUSE_SECONDS * 2 ** (upstream.silences - 1)
    upstream.retry_at = now + min(pause, LONGEST_PAUSE_SECONDS)
    review_domain(steering, upstream.entry.domain)


def note_test(upstream: Upstream, now: float) -> None:
    """Let one new flow test a silent upstream, and hold back the next."""
    if upstream.silences:
        upstream.retry_at = now + FIRST_PAUSE_SECONDS


def review_domain(steering: Steering, domain: str) -> None:
    """Note a partition if several upstreams of another domain fell silent.

    With a partition all of them fall silent at once, which shows sooner than
    on each of them alone.
    """
    if domain == steering.place.domain or domain in steering.cut_since:
        return
    now = steering.now
    members = [
        each
        for each in steering.pool.by_name.values()
        if each.entry.domain == domain and not each.ended_at
    ]
    silences = {each.name: _count_silences(each, now) for each in members}
    silent = [each for each in members if silences[each.name][0]]
    if len(silent) < CUT_UPSTREAMS:
        return
    total = sum(count for count, _ in silences.values())
    since = min(silences[each.name][1] for each in silent)
    life_at = max(each.life_at for each in members)
    if total >= DEAD_SILENCES and life_at <= since:
        steering.cut_since[domain] = now


def is_suspected(steering: Steering, upstream: Upstream) -> bool:
    """Tell whether an upstream should get no new flow for now."""
    now = steering.now
    if upstream.entry.domain in steering.cut_since:
        return True
    if now < upstream.retry_at or upstream.missing_since:
        return True
    return any(
        told.silences >= TOLD_SILENCES for told in _believe(upstream, now)
    )


def seems_dead(steering: Steering, upstream: Upstream) -> bool:
    """Tell whether there is reason enough to give up open flows.

    Only instances of one failure domain count, since others reach the
    upstream on other paths.
    """
    now = steering.now
    cut_since = steering.cut_since.get(upstream.entry.domain)
    if cut_since is not None and now - cut_since > CUT_SECONDS:
        return True
    silences, since = _count_silences(upstream, now)
    return silences >= DEAD_SILENCES and now - since > DEAD_SECONDS


def count_busy(upstream: Upstream, now: float) -> int:
    """Return the requests in progress that the own domain sees."""
    others = (
        told.busy
        for told in upstream.told_by_member.values()
        if now - told.at < TOLD_SECONDS
    )
    return upstream.busy + sum(others)


def _count_silences(upstream: Upstream, now: float) -> tuple[int, float]:
    """Return the silent flows that are known of, and since when."""
    told = list(_believe(upstream, now))
    starts = [each.silent_since for each in told]
    if upstream.silences:
        starts.append(upstream.silent_since)
    total = upstream.silences + sum(each.silences for each in told)
    return total, min(starts, default=now)


def _believe(upstream: Upstream, now: float) -> Iterator[Told]:
    """Yield the fresh reports of silence that no sign of life outweighs."""
    for told in upstream.told_by_member.values():
        fresh = now - told.at < TOLD_SECONDS
        if fresh and told.silences and told.silent_since > upstream.life_at:
            yield told
