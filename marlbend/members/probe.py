"""See which instances are alive, at constant cost for each instance.

This is SWIM (Das, Gupta, Motivala 2002) as plain functions: every period an
instance pings one other, in a shuffled round.  Without an acknowledgement it
asks two others to ping for it, then suspects the instance and tells so; a
suspect that hears of it raises its incarnation and is live again, one that
stays silent is gone.  News travels on the pings and acknowledgements, each
piece a limited number of times.

Functions yield `Letter`s for the caller to send; time and randomness come
from outside.
"""

from collections.abc import Iterator
from random import Random
from typing import Final, final

import msgspec

from marlbend.events import Event, emit
from marlbend.members.fleet import Fleet, apply_member
from marlbend.members.member import HOME_STATES, Member, MemberState
from marlbend.members.news import News, add_news, pick_news
from marlbend.wire.liveness import Ack, Message, Ping, PingRequest

__all__ = (
    'Letter',
    'Prober',
    'announce',
    'farewell',
    'receive_message',
    'spread_config',
    'step',
)

PERIOD_SECONDS: Final = 0.2
ACK_SECONDS: Final = 0.25
INDIRECT_SECONDS: Final = 0.35
SUSPICION_SECONDS: Final = 0.8
# A longer gap between two steps means that this process was paused.
PAUSE_SECONDS: Final = 1.0
# After a pause, others tell what has happened within this time.
CATCH_UP_SECONDS: Final = 1.0
INDIRECT_HELPERS: Final = 2
SPREAD_FANOUT: Final = 3

# An instance held to be in one of these hears of it, and may refute it.
_DOUBTED_STATES: Final = frozenset((MemberState.SUSPECT, MemberState.GONE))

Address = tuple[str, int]


@final
class Letter:
    """Pair a message with the control address it goes to."""

    __slots__ = ('address', 'message')

    def __init__(self, address: Address, message: Message) -> None:
        """Keep both."""
        self.address = address
        self.message = message


@final
class _Probe:
    """Remember a ping that waits for its acknowledgement."""

    __slots__ = ('deadline', 'direct', 'target')

    def __init__(self, target: str, deadline: float) -> None:
        self.target = target
        self.deadline = deadline
        self.direct = True


@final
class _Errand:
    """Remember for whom a ping was sent, and under which number."""

    __slots__ = ('address', 'deadline', 'sequence')

    def __init__(
        self,
        address: Address,
        sequence: int,
        deadline: float,
    ) -> None:
        self.address = address
        self.sequence = sequence
        self.deadline = deadline


@final
class Prober:
    """Hold what an instance needs to see the others.

    `agreed_at` is the last time another had the same view, `differing` the
    latest one that had not, `newer` the latest one with a newer configuration
    than `config_version`, and `caught_up_at` the time at which a process that
    was paused may decide again.
    """

    __slots__ = (
        'agreed_at',
        'caught_up_at',
        'config_version',
        'differing',
        'errand_by_sequence',
        'fleet',
        'last_step',
        'newer',
        'news',
        'next_ping',
        'probe_by_sequence',
        'random',
        'round',
        'sequence',
        'suspicion_by_name',
    )

    def __init__(self, fleet: Fleet, random: Random) -> None:
        """Start without news; the first step pings."""
        self.fleet = fleet
        self.random = random
        self.sequence = 0
        self.agreed_at: float = 0
        self.caught_up_at: float = 0
        self.differing: Address | None = None
        self.newer: Address | None = None
        self.config_version = 0
        self.last_step: float = 0
        self.next_ping: float = 0
        self.round: list[str] = []
        self.probe_by_sequence: dict[int, _Probe] = {}
        self.errand_by_sequence: dict[int, _Errand] = {}
        self.suspicion_by_name: dict[str, float] = {}
        self.news = News()


def announce(prober: Prober, member: Member, now: float) -> bool:
    """Merge a record and pass it on if it is news; tell if it was."""
    if not apply_member(prober.fleet, member, now):
        return False
    add_news(prober.news, prober.fleet, member.name)
    # News goes out with the next step, not with the next period.
    prober.next_ping = min(prober.next_ping, now)
    if member.state == MemberState.SUSPECT:
        prober.suspicion_by_name[member.name] = now + SUSPICION_SECONDS
    else:
        prober.suspicion_by_name.pop(member.name, None)
    return True


def step(prober: Prober, now: float) -> Iterator[Letter]:
    """Do what is due at `now`; call it several times in a period."""
    if now - prober.last_step > PAUSE_SECONDS:
        _forgive(prober, now)
    prober.last_step = now
    yield from _follow_probes(prober, now)
    _bury_suspects(prober, now)
    if now >= prober.next_ping:
        prober.next_ping = now + PERIOD_SECONDS
        yield from _ping_next(prober, now)


def receive_message(
    prober: Prober,
    message: Message,
    sender: Address,
    now: float,
) -> Iterator[Letter]:
    """Take a message from a control address and yield the answers."""
    for member in message.news:
        _hear(prober, member, now)
    if isinstance(message, PingRequest):
        yield from _run_errand(prober, message, sender, now)
        return
    _compare(prober, message, sender, now)
    if isinstance(message, Ping):
        yield Letter(sender, _make_ack(prober, message.sequence))
    else:
        yield from _take_ack(prober, message)


def spread_config(prober: Prober, version: int) -> Iterator[Letter]:
    """Tell a few instances at once that there is a new configuration."""
    prober.config_version = version
    for name in _shuffled_names(prober)[:SPREAD_FANOUT]:
        yield from _tell(prober, prober.fleet.member_by_name[name])


def farewell(prober: Prober, now: float) -> Iterator[Letter]:
    """Tell a few instances that this one is gone for good."""
    myself = prober.fleet.myself
    gone = msgspec.structs.replace(myself, state=MemberState.GONE)
    announce(prober, gone, now)
    for name in _shuffled_names(prober)[:SPREAD_FANOUT]:
        yield from _tell(prober, prober.fleet.member_by_name[name])


def _tell(prober: Prober, member: Member) -> Iterator[Letter]:
    prober.sequence += 1
    news = pick_news(prober.news, prober.fleet)
    yield Letter(_control(member), _make_ping(prober, prober.sequence, news))


def _take_ack(prober: Prober, message: Ack) -> Iterator[Letter]:
    prober.probe_by_sequence.pop(message.sequence, None)
    errand = prober.errand_by_sequence.pop(message.sequence, None)
    if errand is not None:
        yield Letter(errand.address, _make_ack(prober, errand.sequence))


def _compare(
    prober: Prober,
    message: Ping | Ack,
    sender: Address,
    now: float,
) -> None:
    """Note who has another view or a newer configuration."""
    if message.view == prober.fleet.digest:
        prober.agreed_at = now
    else:
        prober.differing = sender
    if message.config > prober.config_version:
        prober.newer = sender


def _make_ping(
    prober: Prober,
    sequence: int,
    news: tuple[Member, ...],
) -> Ping:
    return Ping(sequence, prober.fleet.digest, prober.config_version, news)


def _make_ack(prober: Prober, sequence: int) -> Ack:
    news = pick_news(prober.news, prober.fleet)
    return Ack(sequence, prober.fleet.digest, prober.config_version, news)


def _hear(prober: Prober, member: Member, now: float) -> None:
    myself = prober.fleet.myself
    if member.name != myself.name:
        announce(prober, member, now)
    elif myself.name not in prober.fleet.member_by_name:
        prober.fleet.myself = _outlive(myself, member)
    elif _contradicts(myself, member):
        # When it was held to be gone its slots have moved, and come back.
        apply_member(prober.fleet, member, now)
        emit(Event.SELF_DOUBTED, state=member.state.name.lower())
        announce(prober, _outlive(myself, member), now)


def _outlive(myself: Member, heard: Member) -> Member:
    """Return the record of this instance that wins over one heard of it."""
    incarnation = max(myself.incarnation, heard.incarnation + 1)
    return msgspec.structs.replace(myself, incarnation=incarnation)


def _contradicts(myself: Member, heard: Member) -> bool:
    if heard.incarnation > myself.incarnation:
        return True
    return (
        heard.incarnation == myself.incarnation and heard.state > myself.state
    )


def _forgive(prober: Prober, now: float) -> None:
    """Suspect nobody for a silence that was this process's own."""
    prober.caught_up_at = now + CATCH_UP_SECONDS
    prober.probe_by_sequence.clear()
    for name in prober.suspicion_by_name:
        prober.suspicion_by_name[name] = now + SUSPICION_SECONDS


def _ping_next(prober: Prober, now: float) -> Iterator[Letter]:
    target = _next_target(prober)
    if target is None:
        return
    prober.sequence += 1
    prober.probe_by_sequence[prober.sequence] = _Probe(
        target.name, now + ACK_SECONDS
    )
    news = pick_news(prober.news, prober.fleet)
    if target.state in _DOUBTED_STATES and target not in news:
        news = (*news, target)
    yield Letter(_control(target), _make_ping(prober, prober.sequence, news))


def _next_target(prober: Prober) -> Member | None:
    for _ in range(len(prober.fleet.member_by_name) + 1):
        if not prober.round:
            prober.round = _shuffled_names(prober)
        if not prober.round:
            return None
        member = prober.fleet.member_by_name.get(prober.round.pop())
        if member is not None and _is_worth_a_ping(prober, member):
            return member
    return None


def _is_worth_a_ping(prober: Prober, member: Member) -> bool:
    """Tell if an instance may be there, also one only the platform lists."""
    if member.name == prober.fleet.myself.name:
        return False
    if member.state in HOME_STATES:
        return True
    listed = member.name in prober.fleet.listed
    return listed and member.state != MemberState.LEAVING


def _shuffled_names(prober: Prober) -> list[str]:
    names = [
        member.name
        for member in prober.fleet.member_by_name.values()
        if _is_worth_a_ping(prober, member)
    ]
    prober.random.shuffle(names)
    return names


def _follow_probes(prober: Prober, now: float) -> Iterator[Letter]:
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
) -> Iterator[Letter]:
    names = [name for name in _shuffled_names(prober) if name != target]
    for name in names[:INDIRECT_HELPERS]:
        helper = prober.fleet.member_by_name[name]
        request = PingRequest(
            sequence, target, pick_news(prober.news, prober.fleet)
        )
        yield Letter(_control(helper), request)


def _run_errand(
    prober: Prober,
    request: PingRequest,
    sender: Address,
    now: float,
) -> Iterator[Letter]:
    target = prober.fleet.member_by_name.get(request.target)
    if target is None:
        return
    prober.sequence += 1
    prober.errand_by_sequence[prober.sequence] = _Errand(
        sender, request.sequence, now + INDIRECT_SECONDS
    )
    yield Letter(
        _control(target),
        _make_ping(
            prober, prober.sequence, pick_news(prober.news, prober.fleet)
        ),
    )


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
        announce(prober, suspect, now)


def _bury_suspects(prober: Prober, now: float) -> None:
    overdue = [
        name
        for name, deadline in prober.suspicion_by_name.items()
        if deadline <= now
    ]
    for suspect in overdue:
        member = prober.fleet.member_by_name[suspect]
        gone = msgspec.structs.replace(member, state=MemberState.GONE)
        announce(prober, gone, now)
        emit(Event.INSTANCE_GONE, name=suspect)


def _control(member: Member) -> Address:
    return member.address, member.control_port
