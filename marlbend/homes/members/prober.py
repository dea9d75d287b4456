"""Hold what an instance needs to see the others, and make its messages.

`marlbend.homes.members.probe` pings the others,
`marlbend.homes.members.answer` takes what they send; both work on the state
defined here.
"""

from collections.abc import Iterator
from random import Random
from typing import Final, final

import msgspec

from marlbend.homes.members.fleet import Fleet, apply_member
from marlbend.homes.members.member import HOME_STATES, Member, MemberState
from marlbend.homes.members.news import News, add_news, pick_news
from marlbend.homes.wire.liveness import Ack, Message, Ping

__all__ = (
    'SUSPICION_SECONDS',
    'Address',
    'Envelope',
    'Errand',
    'Probe',
    'Prober',
    'announce_config',
    'announce_departure',
    'control_address',
    'is_worth_a_ping',
    'make_ack',
    'make_ping',
    'merge_and_gossip',
    'shuffled_names',
    'tell',
)

SUSPICION_SECONDS: Final = 0.8
SPREAD_FANOUT: Final = 3

Address = tuple[str, int]


@final
class Envelope:
    """Pair a message with the control address it goes to."""

    __slots__ = ('address', 'message')

    def __init__(self, address: Address, message: Message) -> None:
        """Keep both."""
        self.address = address
        self.message = message


@final
class Probe:
    """Remember a ping that waits for its acknowledgement.

    `direct` is false once others have been asked to ping for this instance.
    """

    __slots__ = ('deadline', 'direct', 'target')

    def __init__(self, target: str, deadline: float) -> None:
        """Start as a direct ping."""
        self.target = target
        self.deadline = deadline
        self.direct = True


@final
class Errand:
    """Remember for whom a ping was sent, and under which number."""

    __slots__ = ('address', 'deadline', 'sequence')

    def __init__(
        self,
        address: Address,
        sequence: int,
        deadline: float,
    ) -> None:
        """Keep the three."""
        self.address = address
        self.sequence = sequence
        self.deadline = deadline


@final
class Prober:
    """Hold what an instance needs to see the others.

    `agreed_at` is the last time another had the same view, `differing_peer` the
    latest one that had not, `newer_config_peer` the latest one with a newer configuration
    than `config_version`, and `caught_up_at` the time at which a process that
    was paused may decide again.
    """

    __slots__ = (
        'agreed_at',
        'caught_up_at',
        'config_version',
        'differing_peer',
        'errand_by_sequence',
        'fleet',
        'last_step',
        'newer_config_peer',
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
        self.differing_peer: Address | None = None
        self.newer_config_peer: Address | None = None
        self.config_version = 0
        self.last_step: float = 0
        self.next_ping: float = 0
        self.round: list[str] = []
        self.probe_by_sequence: dict[int, Probe] = {}
        self.errand_by_sequence: dict[int, Errand] = {}
        self.suspicion_by_name: dict[str, float] = {}
        self.news = News()


def merge_and_gossip(prober: Prober, member: Member, now: float) -> bool:
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


def announce_config(prober: Prober, version: int) -> Iterator[Envelope]:
    """Tell a few instances at once that there is a new configuration."""
    prober.config_version = version
    for name in shuffled_names(prober)[:SPREAD_FANOUT]:
        yield from tell(prober, prober.fleet.member_by_name[name])


def announce_departure(prober: Prober, now: float) -> Iterator[Envelope]:
    """Tell a few instances that this one is gone for good."""
    myself = prober.fleet.myself
    gone = msgspec.structs.replace(myself, state=MemberState.GONE)
    merge_and_gossip(prober, gone, now)
    for name in shuffled_names(prober)[:SPREAD_FANOUT]:
        yield from tell(prober, prober.fleet.member_by_name[name])


def tell(prober: Prober, member: Member) -> Iterator[Envelope]:
    """Ping an instance only to bring it news."""
    prober.sequence += 1
    news = pick_news(prober.news, prober.fleet)
    yield Envelope(
        control_address(member), make_ping(prober, prober.sequence, news)
    )


def make_ping(
    prober: Prober,
    sequence: int,
    news: tuple[Member, ...],
) -> Ping:
    """Return a ping with the versions known here."""
    return Ping(sequence, prober.fleet.digest, prober.config_version, news)


def make_ack(prober: Prober, sequence: int) -> Ack:
    """Return an acknowledgement with news."""
    news = pick_news(prober.news, prober.fleet)
    return Ack(sequence, prober.fleet.digest, prober.config_version, news)


def is_worth_a_ping(prober: Prober, member: Member) -> bool:
    """Tell if an instance may be there, also one only the platform lists."""
    if member.name == prober.fleet.myself.name:
        return False
    if member.state in HOME_STATES:
        return True
    listed = member.name in prober.fleet.listed
    return listed and member.state != MemberState.LEAVING


def shuffled_names(prober: Prober) -> list[str]:
    """Return the instances worth a ping, in random order."""
    names = [
        member.name
        for member in prober.fleet.member_by_name.values()
        if is_worth_a_ping(prober, member)
    ]
    prober.random.shuffle(names)
    return names


def control_address(member: Member) -> Address:
    """Return where an instance takes control messages."""
    return member.address, member.control_port
