"""Detect failed instances, at a constant cost for each instance.

This is SWIM (Das, Gupta, Motivala 2002) as plain functions.  In each protocol
period, an instance pings one peer, in a shuffled round-robin order.  If there
is no acknowledgement, it asks two other peers to ping the target.  If that
fails as well, it marks the target as suspect and gossips the suspicion.  A
suspect that receives this refutes it with a higher incarnation and is live
again; otherwise it is declared gone after a timeout.  Membership updates are
piggybacked on pings and acknowledgements, each a limited number of times.

The functions yield the `Envelope`s that the caller sends.  The caller also
passes the time, and the random generator is part of the state.
"""

from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.events import Event, emit
from marlbend.ownership.members.gossip import take_updates
from marlbend.ownership.members.member import Member, MemberState
from marlbend.ownership.members.prober import (
    SUSPICION_TIMEOUT_SECONDS,
    Envelope,
    Probe,
    Prober,
    control_address,
    make_ping,
    merge_and_gossip,
    should_ping,
    shuffled_names,
)
from marlbend.ownership.wire.liveness import PingRequest

__all__ = ('run_probes',)

PROTOCOL_PERIOD_SECONDS: Final = 0.2
ACK_TIMEOUT_SECONDS: Final = 0.15
INDIRECT_ACK_TIMEOUT_SECONDS: Final = 0.25
# A longer gap between two runs means that this process was paused.
PAUSE_THRESHOLD_SECONDS: Final = 1.0
# After a pause, gossip from peers brings the view up to date within this time.
CATCH_UP_SECONDS: Final = 1.0
INDIRECT_PING_COUNT: Final = 2

# A ping to an instance in one of these states includes the record of it, so
# that the instance can refute it.
_REFUTABLE_STATES: Final = frozenset((MemberState.SUSPECT, MemberState.GONE))


def run_probes(prober: Prober, now: float) -> Iterator[Envelope]:
    """Run the probes and timeouts that are due at `now`.

    Call this several times in each protocol period.
    """
    if prober.last_run and now - prober.last_run > PAUSE_THRESHOLD_SECONDS:
        _resume_after_pause(prober, now)
    prober.last_run = now
    yield from _handle_probe_timeouts(prober, now)
    _declare_suspects_gone(prober, now)
    if now >= prober.next_ping:
        prober.next_ping = now + PROTOCOL_PERIOD_SECONDS
        yield from _ping_next(prober, now)


def _resume_after_pause(prober: Prober, now: float) -> None:
    """Discard pending probes and restart the suspicion timeouts.

    Acknowledgements were missed because this process was paused, not because
    peers failed, so no peer is suspected for that.
    """
    prober.caught_up_at = now + CATCH_UP_SECONDS
    prober.probe_by_sequence.clear()
    for name in prober.suspicion_by_name:
        prober.suspicion_by_name[name] = now + SUSPICION_TIMEOUT_SECONDS


def _ping_next(prober: Prober, now: float) -> Iterator[Envelope]:
    target = _next_target(prober)
    if target is None:
        return
    prober.sequence += 1
    prober.probe_by_sequence[prober.sequence] = Probe(
        target.name, now + ACK_TIMEOUT_SECONDS
    )
    updates = take_updates(prober.gossip, prober.fleet)
    if target.state in _REFUTABLE_STATES and target not in updates:
        updates = (*updates, target)
    yield Envelope(
        control_address(target), make_ping(prober, prober.sequence, updates)
    )


def _next_target(prober: Prober) -> Member | None:
    for _ in range(len(prober.fleet.member_by_name) + 1):
        if not prober.remaining_targets:
            prober.remaining_targets = shuffled_names(prober)
        if not prober.remaining_targets:
            return None
        member = prober.fleet.member_by_name.get(prober.remaining_targets.pop())
        if member is not None and should_ping(prober, member):
            return member
    return None


def _handle_probe_timeouts(prober: Prober, now: float) -> Iterator[Envelope]:
    overdue = [
        sequence
        for sequence, probe in prober.probe_by_sequence.items()
        if probe.deadline <= now
    ]
    for sequence in overdue:
        probe = prober.probe_by_sequence[sequence]
        if probe.direct:
            probe.direct = False
            probe.deadline = now + INDIRECT_ACK_TIMEOUT_SECONDS
            yield from _request_indirect_pings(prober, sequence, probe.target)
        else:
            prober.probe_by_sequence.pop(sequence)
            _suspect(prober, probe.target, now)
    _drop_expired_indirect_pings(prober, now)


def _request_indirect_pings(
    prober: Prober,
    sequence: int,
    target: str,
) -> Iterator[Envelope]:
    names = [name for name in shuffled_names(prober) if name != target]
    for name in names[:INDIRECT_PING_COUNT]:
        peer = prober.fleet.member_by_name[name]
        request = PingRequest(
            sequence, target, take_updates(prober.gossip, prober.fleet)
        )
        yield Envelope(control_address(peer), request)


def _drop_expired_indirect_pings(prober: Prober, now: float) -> None:
    prober.indirect_ping_by_sequence = {
        sequence: indirect_ping
        for sequence, indirect_ping in prober.indirect_ping_by_sequence.items()
        if indirect_ping.deadline > now
    }


def _suspect(prober: Prober, name: str, now: float) -> None:
    member = prober.fleet.member_by_name.get(name)
    if member is not None and member.state == MemberState.LIVE:
        suspect = msgspec.structs.replace(member, state=MemberState.SUSPECT)
        merge_and_gossip(prober, suspect, now)


def _declare_suspects_gone(prober: Prober, now: float) -> None:
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
