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
from marlbend.ownership.members.failure_detector import (
    SUSPICION_TIMEOUT_SECONDS,
    Envelope,
    FailureDetector,
    Probe,
    control_address,
    make_ping,
    merge_and_gossip,
    should_ping,
    shuffled_names,
)
from marlbend.ownership.members.gossip import take_updates
from marlbend.ownership.members.member import Member, MemberState
from marlbend.ownership.wire.liveness import PingRequest

__all__ = ('run_probes',)

PROTOCOL_PERIOD_SECONDS: Final = 0.2
ACK_TIMEOUT_SECONDS: Final = 0.15
INDIRECT_ACK_TIMEOUT_SECONDS: Final = 0.25
# A longer gap between two runs means that this process was paused.  Longer
# pauses are also detected by the clock of the packet path.
PROBE_PAUSE_THRESHOLD_SECONDS: Final = 1.0
# After a pause, gossip from peers brings the view up to date within this time.
CATCH_UP_SECONDS: Final = 1.0
INDIRECT_PING_COUNT: Final = 2

# A ping to an instance in one of these states includes the record of it, so
# that the instance can refute it.
_REFUTABLE_STATES: Final = frozenset((MemberState.SUSPECT, MemberState.GONE))


def run_probes(detector: FailureDetector, now: float) -> Iterator[Envelope]:
    """Run the probes and timeouts that are due at `now`.

    Call this several times in each protocol period.
    """
    if (
        detector.last_run
        and now - detector.last_run > PROBE_PAUSE_THRESHOLD_SECONDS
    ):
        _resume_after_pause(detector, now)
    detector.last_run = now
    yield from _handle_probe_timeouts(detector, now)
    _declare_suspects_gone(detector, now)
    if now >= detector.next_ping:
        detector.next_ping = now + PROTOCOL_PERIOD_SECONDS
        yield from _ping_next(detector, now)


def _resume_after_pause(detector: FailureDetector, now: float) -> None:
    """Discard pending probes and restart the suspicion timeouts.

    Acknowledgements were missed because this process was paused, not because
    peers failed, so no peer is suspected for that.
    """
    detector.catch_up_until = now + CATCH_UP_SECONDS
    detector.probe_by_sequence.clear()
    for name in detector.suspicion_deadline_by_name:
        detector.suspicion_deadline_by_name[name] = (
            now + SUSPICION_TIMEOUT_SECONDS
        )


def _ping_next(detector: FailureDetector, now: float) -> Iterator[Envelope]:
    target = _next_target(detector)
    if target is None:
        return
    detector.sequence += 1
    detector.probe_by_sequence[detector.sequence] = Probe(
        target.name, now + ACK_TIMEOUT_SECONDS
    )
    updates = take_updates(detector.gossip, detector.view)
    if target.state in _REFUTABLE_STATES and target not in updates:
        updates = (*updates, target)
    yield Envelope(
        control_address(target), make_ping(detector, detector.sequence, updates)
    )


def _next_target(detector: FailureDetector) -> Member | None:
    for _ in range(len(detector.view.member_by_name) + 1):
        if not detector.remaining_targets:
            detector.remaining_targets = shuffled_names(detector)
        if not detector.remaining_targets:
            return None
        member = detector.view.member_by_name.get(
            detector.remaining_targets.pop()
        )
        if member is not None and should_ping(detector, member):
            return member
    return None


def _handle_probe_timeouts(
    detector: FailureDetector, now: float
) -> Iterator[Envelope]:
    overdue = [
        sequence
        for sequence, probe in detector.probe_by_sequence.items()
        if probe.deadline <= now
    ]
    for sequence in overdue:
        probe = detector.probe_by_sequence[sequence]
        if probe.direct:
            probe.direct = False
            probe.deadline = now + INDIRECT_ACK_TIMEOUT_SECONDS
            yield from _request_indirect_pings(detector, sequence, probe.target)
        else:
            detector.probe_by_sequence.pop(sequence)
            _suspect(detector, probe.target, now)
    _drop_expired_indirect_pings(detector, now)


def _request_indirect_pings(
    detector: FailureDetector,
    sequence: int,
    target: str,
) -> Iterator[Envelope]:
    names = [name for name in shuffled_names(detector) if name != target]
    for name in names[:INDIRECT_PING_COUNT]:
        peer = detector.view.member_by_name[name]
        request = PingRequest(
            sequence, target, take_updates(detector.gossip, detector.view)
        )
        yield Envelope(control_address(peer), request)


def _drop_expired_indirect_pings(detector: FailureDetector, now: float) -> None:
    detector.indirect_ping_by_sequence = {
        sequence: pending
        for sequence, pending in detector.indirect_ping_by_sequence.items()
        if pending.deadline > now
    }


def _suspect(detector: FailureDetector, name: str, now: float) -> None:
    member = detector.view.member_by_name.get(name)
    if member is not None and member.state == MemberState.LIVE:
        suspect = msgspec.structs.replace(member, state=MemberState.SUSPECT)
        merge_and_gossip(detector, suspect, now)


def _declare_suspects_gone(detector: FailureDetector, now: float) -> None:
    overdue = [
        name
        for name, deadline in detector.suspicion_deadline_by_name.items()
        if deadline <= now
    ]
    for suspect in overdue:
        member = detector.view.member_by_name[suspect]
        gone = msgspec.structs.replace(member, state=MemberState.GONE)
        merge_and_gossip(detector, gone, now)
        emit(Event.INSTANCE_GONE, name=suspect)
