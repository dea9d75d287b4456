"""See which instances are alive, at constant cost for each instance.

This is SWIM (Das, Gupta, Motivala 2002) as plain functions: every period an
instance pings one other, in a shuffled round.  Without an acknowledgement it
asks two others to ping for it, then suspects the instance and tells so; a
suspect that hears of it raises its incarnation and is live again, one that
stays silent is gone.  News travels on the pings and acknowledgements, each
piece a limited number of times.

Functions yield `Envelope`s for the caller to send; time and randomness come
from outside.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.events import Event, emit
from marlbend.homes.members.member import Member, MemberState
from marlbend.homes.members.news import pick_news
from marlbend.homes.members.prober import (
    SUSPICION_SECONDS,
    Envelope,
    Probe,
    Prober,
    control_address,
    is_worth_a_ping,
    make_ping,
    merge_and_gossip,
    shuffled_names,
)
from marlbend.homes.wire.liveness import PingRequest

__all__ = ('step',)

PERIOD_SECONDS: Final = 0.2
ACK_SECONDS: Final = 0.15
INDIRECT_SECONDS: Final = 0.25
# A longer gap between two steps means that this process was paused.
PAUSE_SECONDS: Final = 1.0
# After a pause, others tell what has happened within this time.
CATCH_UP_SECONDS: Final = 1.0
INDIRECT_HELPERS: Final = 2

# An instance held to be in one of these hears of it, and may refute it.
_DOUBTED_STATES: Final = frozenset((MemberState.SUSPECT, MemberState.GONE))


def step(prober: Prober, now: float) -> Iterator[Envelope]:
    """Do what is due at `now`; call it several times in a period."""
    if prober.last_step and now - prober.last_step > PAUSE_SECONDS:
        _forgive(prober, now)
    prober.last_step = now
    yield from _follow_probes(prober, now)
    _bury_suspects(prober, now)
    if now >= prober.next_ping:
        prober.next_ping = now + PERIOD_SECONDS
        yield from _ping_next(prober, now)


def _forgive(prober: Prober, now: float) -> None:
    """Suspect nobody for a silence that was this process's own."""
    prober.caught_up_at = now + CATCH_UP_SECONDS
    prober.probe_by_sequence.clear()
    for name in prober.suspicion_by_name:
        prober.suspicion_by_name[name] = now + SUSPICION_SECONDS


def _ping_next(prober: Prober, now: float) -> Iterator[Envelope]:
    target = _next_target(prober)
    if target is None:
        return
    prober.sequence += 1
    prober.probe_by_sequence[prober.sequence] = Probe(
        target.name, now + ACK_SECONDS
    )
    news = pick_news(prober.news, prober.fleet)
    if target.state in _DOUBTED_STATES and target not in news:
        news = (*news, target)
    yield Envelope(
        control_address(target), make_ping(prober, prober.sequence, news)
    )


def _next_target(prober: Prober) -> Member | None:
    for _ in range(len(prober.fleet.member_by_name) + 1):
        if not prober.round:
            prober.round = shuffled_names(prober)
        if not prober.round:
            return None
        member = prober.fleet.member_by_name.get(prober.round.pop())
        if member is not None and is_worth_a_ping(prober, member):
            return member
    return None


def _follow_probes(prober: Prober, now: float) -> Iterator[Envelope]:
    overdue = [
        sequence
        for sequence, probe in prober.probe_by_sequence.items()
        if probe.deadline <= now
    ]
    for sequence in overdue:
        probe = prober.probe_by_sequence[sequence]
        if probe.direct:
            probe.direct = False
            probe.deadline = now + INDIRECT_SECONDS
            yield from _ask_helpers(prober, sequence, probe.target)
        else:
            prober.probe_by_sequence.pop(sequence)
            _suspect(prober, probe.target, now)
    _drop_errands(prober, now)


def _ask_helpers(
    prober: Prober,
    sequence: int,
    target: str,
) -> Iterator[Envelope]:
    names = [name for name in shuffled_names(prober) if name != target]
    for name in names[:INDIRECT_HELPERS]:
        helper = prober.fleet.member_by_name[name]
        request = PingRequest(
            sequence, target, pick_news(prober.news, prober.fleet)
        )
        yield Envelope(control_address(helper), request)


def _drop_errands(prober: Prober, now: float) -> None:
    prober.errand_by_sequence = {
        sequence: errand
        for sequence, errand in prober.errand_by_sequence.items()
        if errand.deadline > now
    }


def _suspect(prober: Prober, name: str, now: float) -> None:
    member = prober.fleet.member_by_name.get(name)
    if member is not None and member.state == MemberState.LIVE:
        suspect = msgspec.structs.replace(member, state=MemberState.SUSPECT)
        merge_and_gossip(prober, suspect, now)


def _bury_suspects(prober: Prober, now: float) -> None:
    overdue = [
        name
        for name, deadline in prober.suspicion_by_name.items()
        if deadline <= now
    ]
    for suspect in overdue:
        member = prober.fleet.member_by_name[suspect]
        gone = msgspec.structs.replace(member, state=MemberState.GONE)
        merge_and_gossip(prober, gone, now)
        emit(Event.INSTANCE_GONE, name=suspect)
