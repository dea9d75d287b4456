"""See instances come, go, pause and return, with clocks moved by hand."""

from collections import deque
from collections.abc import Iterable
from random import Random

import pytest

from marlbend.homes.members import Fleet, Member, MemberState, live_members
from marlbend.homes.members.fleet import merge_listed_members
from marlbend.homes.members.incoming import receive_message
from marlbend.homes.members.probe import step
from marlbend.homes.members.prober import (
    Address,
    Envelope,
    Prober,
    announce_config,
    announce_departure,
    merge_and_gossip,
)

STEP_SECONDS = 0.05
SLOTS = 32


class Group:
    """Hold probers that exchange letters at once, or not at all."""

    def __init__(self, count: int, seed: int) -> None:
        self.now = 100.0
        self.prober_by_address: dict[tuple[str, int], Prober] = {}
        self.silent: set[tuple[str, int]] = set()
        self.letters = 0
        self.random = Random(seed)
        for _ in range(count):
            self.add()

    def add(self) -> Prober:
        """Start an instance that the platform lists to all."""
        number = len(self.prober_by_address) + 1
        member = Member(
            f'i{number}', f'10.0.0.{number}', 'a', 1, 2, 3, 4, incarnation=1
        )
        prober = Prober(Fleet(member, SLOTS), Random(number))
        self.prober_by_address[member.address, 3] = prober
        listed = [
            Member(
                each.fleet.myself.name,
                each.fleet.myself.address,
                'a',
                1,
                2,
                3,
                4,
                state=MemberState.LISTED,
            )
            for each in self.prober_by_address.values()
        ]
        for each in self.prober_by_address.values():
            merge_listed_members(each.fleet, listed, self.now)
        merge_and_gossip(prober, member, self.now)
        return prober

    def run(self, seconds: float) -> None:
        """Move the clock in small steps and deliver every letter."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for address, prober in self.prober_by_address.items():
                if address not in self.silent:
                    self.deliver(address, step(prober, self.now))

    def deliver(
        self, sender: tuple[str, int], letters: Iterable[Envelope]
    ) -> None:
        """Deliver letters and the answers to them."""
        on_way: deque[tuple[Address, Envelope]] = deque()
        on_way.extend((sender, letter) for letter in letters)
        while on_way:
            origin, letter = on_way.popleft()
            self.letters += 1
            target = self.prober_by_address.get(letter.address)
            if target is None or letter.address in self.silent:
                continue
            answers = receive_message(target, letter.message, origin, self.now)
            on_way.extend((letter.address, answer) for answer in answers)

    def views(self) -> set[tuple[str, ...]]:
        """Return the different views of those that are not silent."""
        return {
            tuple(member.name for member in live_members(prober.fleet))
            for address, prober in self.prober_by_address.items()
            if address not in self.silent
        }


def names(*numbers: int) -> set[tuple[str, ...]]:
    """Return the one view that holds these instances."""
    return {tuple(sorted(f'i{number}' for number in numbers))}


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_all_see_all_and_then_the_lost_one_go(seed: int) -> None:
    group = Group(8, seed)
    group.run(5)
    assert group.views() == names(*range(1, 9))
    digests = {
        prober.fleet.digest for prober in group.prober_by_address.values()
    }
    assert len(digests) == 1
    group.silent.add(('10.0.0.3', 3))
    group.run(5)
    assert group.views() == names(1, 2, 4, 5, 6, 7, 8)


def test_paused_instance_returns_with_another_incarnation() -> None:
    """Trap 7: it gives nobody up for its own silence."""
    group = Group(5, 1)
    group.run(5)
    paused = ('10.0.0.2', 3)
    group.silent.add(paused)
    group.run(10)
    assert group.views() == names(1, 3, 4, 5)
    group.silent.clear()
    before = group.now
    group.run(6)
    assert group.views() == names(1, 2, 3, 4, 5)
    prober = group.prober_by_address[paused]
    assert prober.fleet.myself.incarnation > 1
    assert prober.caught_up_at > before


def test_restarted_instance_without_state_is_seen_again() -> None:
    """Trap 7: the same address, a new incarnation, no memory."""
    group = Group(4, 1)
    group.run(5)
    restarted = Member('i2', '10.0.0.2', 'a', 1, 2, 3, 4, incarnation=2)
    fresh = Prober(Fleet(restarted, SLOTS), Random(9))
    old = group.prober_by_address['10.0.0.2', 3]
    for member in old.fleet.member_by_name.values():
        merge_and_gossip(fresh, member, group.now)
    merge_and_gossip(fresh, restarted, group.now)
    group.prober_by_address['10.0.0.2', 3] = fresh
    group.run(5)
    assert group.views() == names(1, 2, 3, 4)
    for prober in group.prober_by_address.values():
        assert prober.fleet.member_by_name['i2'].incarnation == 2


def test_leaving_instance_is_heard_of_and_says_farewell() -> None:
    group = Group(6, 1)
    group.run(5)
    address = ('10.0.0.4', 3)
    prober = group.prober_by_address[address]
    group.deliver(address, announce_departure(prober, group.now))
    group.silent.add(address)
    group.run(3)
    assert group.views() == names(1, 2, 3, 5, 6)


def test_new_configuration_is_known_by_its_version() -> None:
    group = Group(8, 1)
    group.run(5)
    address = ('10.0.0.1', 3)
    prober = group.prober_by_address[address]
    group.deliver(address, announce_config(prober, 7))
    group.run(3)
    others = [
        each for each in group.prober_by_address.values() if each is not prober
    ]
    assert all(each.newer_config_peer is not None for each in others)


def test_messages_of_an_instance_do_not_grow_with_the_fleet() -> None:
    rates = []
    for count in (4, 16, 48):
        group = Group(count, 1)
        group.run(5)
        before = group.letters
        group.run(5)
        rates.append((group.letters - before) / count)
    assert max(rates) <= 1.1 * min(rates)


def test_start_is_no_pause() -> None:
    """A new instance dropped unknown flows for its first second."""
    group = Group(1, 1)
    group.run(1)
    for prober in group.prober_by_address.values():
        assert not prober.caught_up_at
