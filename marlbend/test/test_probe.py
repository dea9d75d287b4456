"""Test failure detection of joins, crashes and pauses, with a manual clock."""

from collections import deque
from collections.abc import Iterable
from random import Random

import pytest

from marlbend.ownership.members import (
    Member,
    MembershipView,
    MemberState,
    owner_members,
)
from marlbend.ownership.members.failure_detector import (
    Address,
    Envelope,
    FailureDetector,
    announce_config,
    announce_departure,
    merge_and_gossip,
)
from marlbend.ownership.members.incoming import receive_message
from marlbend.ownership.members.swim import run_probes
from marlbend.ownership.members.view import merge_listed_members

STEP_SECONDS = 0.05
HASH_SLOT_COUNT = 32


class Cluster:
    """Hold failure detectors whose messages are delivered immediately.

    An unreachable detector does not run and receives no messages.
    """

    def __init__(self, count: int, seed: int) -> None:
        self.now = 100.0
        self.detector_by_address: dict[tuple[str, int], FailureDetector] = {}
        self.unreachable: set[tuple[str, int]] = set()
        self.sent = 0
        self.random = Random(seed)
        for _ in range(count):
            self.add()

    def add(self) -> FailureDetector:
        """Start an instance and put it on the platform's list."""
        number = len(self.detector_by_address) + 1
        member = Member(
            f'i{number}', f'10.0.0.{number}', 'a', 1, 2, 3, 4, incarnation=1
        )
        detector = FailureDetector(
            MembershipView(member, HASH_SLOT_COUNT), Random(number)
        )
        self.detector_by_address[member.address, 3] = detector
        listed = [
            Member(
                each.view.myself.name,
                each.view.myself.address,
                'a',
                1,
                2,
                3,
                4,
                state=MemberState.LISTED,
            )
            for each in self.detector_by_address.values()
        ]
        for each in self.detector_by_address.values():
            merge_listed_members(each.view, listed, self.now)
        merge_and_gossip(detector, member, self.now)
        return detector

    def run(self, seconds: float) -> None:
        """Advance the clock in small steps and deliver all envelopes."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.now += STEP_SECONDS
            for address, detector in self.detector_by_address.items():
                if address not in self.unreachable:
                    self.deliver(address, run_probes(detector, self.now))

    def deliver(
        self, sender: tuple[str, int], envelopes: Iterable[Envelope]
    ) -> None:
        """Deliver envelopes and the replies to them."""
        in_flight: deque[tuple[Address, Envelope]] = deque()
        in_flight.extend((sender, envelope) for envelope in envelopes)
        while in_flight:
            origin, envelope = in_flight.popleft()
            self.sent += 1
            target = self.detector_by_address.get(envelope.address)
            if target is None or envelope.address in self.unreachable:
                continue
            replies = receive_message(
                target, envelope.message, origin, self.now
            )
            in_flight.extend((envelope.address, reply) for reply in replies)

    def views(self) -> set[tuple[str, ...]]:
        """Return the distinct views of the reachable instances."""
        return {
            tuple(member.name for member in owner_members(detector.view))
            for address, detector in self.detector_by_address.items()
            if address not in self.unreachable
        }


def single_view(*numbers: int) -> set[tuple[str, ...]]:
    """Return the set with the single view of these instances."""
    return {tuple(sorted(f'i{number}' for number in numbers))}


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_views_converge_and_drop_a_crashed_instance(seed: int) -> None:
    cluster = Cluster(8, seed)
    cluster.run(5)
    assert cluster.views() == single_view(*range(1, 9))
    digests = {
        detector.view.membership_digest
        for detector in cluster.detector_by_address.values()
    }
    assert len(digests) == 1
    cluster.unreachable.add(('10.0.0.3', 3))
    cluster.run(5)
    assert cluster.views() == single_view(1, 2, 4, 5, 6, 7, 8)


def test_paused_instance_rejoins_with_a_higher_incarnation() -> None:
    """A paused instance declares no peer gone because of its pause."""
    cluster = Cluster(5, 1)
    cluster.run(5)
    paused = ('10.0.0.2', 3)
    cluster.unreachable.add(paused)
    cluster.run(10)
    assert cluster.views() == single_view(1, 3, 4, 5)
    cluster.unreachable.clear()
    before = cluster.now
    cluster.run(6)
    assert cluster.views() == single_view(1, 2, 3, 4, 5)
    detector = cluster.detector_by_address[paused]
    assert detector.view.myself.incarnation > 1
    assert detector.catch_up_until > before


def test_restarted_instance_without_state_rejoins() -> None:
    """It has the same address, a new incarnation and no state from before."""
    cluster = Cluster(4, 1)
    cluster.run(5)
    restarted = Member('i2', '10.0.0.2', 'a', 1, 2, 3, 4, incarnation=2)
    fresh = FailureDetector(
        MembershipView(restarted, HASH_SLOT_COUNT), Random(9)
    )
    old = cluster.detector_by_address['10.0.0.2', 3]
    for member in old.view.member_by_name.values():
        merge_and_gossip(fresh, member, cluster.now)
    merge_and_gossip(fresh, restarted, cluster.now)
    cluster.detector_by_address['10.0.0.2', 3] = fresh
    cluster.run(5)
    assert cluster.views() == single_view(1, 2, 3, 4)
    for detector in cluster.detector_by_address.values():
        assert detector.view.member_by_name['i2'].incarnation == 2


def test_announced_departure_removes_the_instance() -> None:
    cluster = Cluster(6, 1)
    cluster.run(5)
    address = ('10.0.0.4', 3)
    detector = cluster.detector_by_address[address]
    cluster.deliver(address, announce_departure(detector, cluster.now))
    cluster.unreachable.add(address)
    cluster.run(3)
    assert cluster.views() == single_view(1, 2, 3, 5, 6)


def test_new_configuration_version_reaches_all_instances() -> None:
    cluster = Cluster(8, 1)
    cluster.run(5)
    address = ('10.0.0.1', 3)
    detector = cluster.detector_by_address[address]
    cluster.deliver(address, announce_config(detector, 7))
    cluster.run(3)
    others = [
        each
        for each in cluster.detector_by_address.values()
        if each is not detector
    ]
    assert all(each.newer_config_peer is not None for each in others)


def test_message_rate_per_instance_is_independent_of_fleet_size() -> None:
    rates = []
    for count in (4, 16, 48):
        cluster = Cluster(count, 1)
        cluster.run(5)
        before = cluster.sent
        cluster.run(5)
        rates.append((cluster.sent - before) / count)
    assert max(rates) <= 1.1 * min(rates)


def test_start_is_not_treated_as_a_pause() -> None:
    """Otherwise a new instance drops unknown flows for its first second."""
    cluster = Cluster(1, 1)
    cluster.run(1)
    for detector in cluster.detector_by_address.values():
        assert not detector.catch_up_until
