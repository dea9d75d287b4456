"""Tell an outage of the platform from an instance that cannot reach it.

Registrations lapse in an outage, so upstreams without one get more time.  They
get none if the platform answered others: new flows would reach an upstream
that is gone for too long.
"""

import asyncio
from collections.abc import Iterator

import pytest

from bench.store import Faults, set_faults
from marlbend.clock import steady_seconds
from marlbend.steering.gossip import GossipState
from marlbend.steering.members import Member
from marlbend.test.edge import Fleet, Instance, run_with_fleet, wait_until
from marlbend.topics.knowledge import (
    OUTAGE_SECONDS,
    Topic,
    confirm_revision,
    merge_topic_revision,
    record_recovery,
)
from marlbend.wire.heartbeats import MemberUpdate, TopicRevision

NEVER = float('-inf')
START = 1000.0
REVISION = 7
UNREACHABLE_STORE = ('127.0.0.1', 9)


def make_knowledge(heard_at: float = START) -> GossipState:
    """Return an instance that heard the platform at a time."""
    update = MemberUpdate('n1', ('127.9.2.1', 1), 'a', 0, can_read=True)
    known = GossipState(Member(update, START), dict.fromkeys(Topic, 2.25))
    confirm_revision(known, Topic.UPSTREAMS, REVISION, heard_at)
    return known


def report(known: GossipState, now: float, recovery_age: float) -> float:
    """Merge the report of an instance that recovered; return what is known."""
    reported = TopicRevision(
        Topic.UPSTREAMS, REVISION, 0, int(recovery_age * 1000)
    )
    merge_topic_revision(known, reported, 0, now)
    return known.recovered_at_by_topic[Topic.UPSTREAMS]


@pytest.mark.parametrize('seconds', [0.1, 1.4, OUTAGE_SECONDS - 0.1])
def test_recovery_of_one_instance_is_no_outage_for_others(
    seconds: float,
) -> None:
    """Each failed call of any instance delayed the end of all upstreams."""
    known = make_knowledge()
    assert report(known, START + seconds, 0) == NEVER


@pytest.mark.parametrize('delay', [0, 0.2, 1.5])
def test_outage_is_known_from_a_report(delay: float) -> None:
    known = make_knowledge()
    recovered_at = START + OUTAGE_SECONDS + 0.1
    assert report(known, recovered_at + delay, delay) == pytest.approx(
        recovered_at, abs=0.001
    )


def test_outage_is_known_if_the_platform_was_heard_before_the_report() -> None:
    """An instance whose calls never failed may be the first to hear it."""
    known = make_knowledge()
    ended_at = START + OUTAGE_SECONDS + 0.5
    confirm_revision(known, Topic.UPSTREAMS, REVISION, ended_at)
    assert report(known, ended_at + 0.4, 0.3) == pytest.approx(ended_at + 0.1)


def test_later_failure_does_not_prolong_an_outage() -> None:
    known = make_knowledge()
    ended_at = START + OUTAGE_SECONDS + 0.5
    record_recovery(known, Topic.UPSTREAMS, ended_at)
    confirm_revision(known, Topic.UPSTREAMS, REVISION, ended_at)
    for later in (ended_at + 1.5, ended_at + 3):
        confirm_revision(known, Topic.UPSTREAMS, REVISION, later)
    assert report(known, later + 0.1, 0) == ended_at


def test_instance_without_knowledge_knows_of_no_outage() -> None:
    """Its first call fails; it has no registration that could have lapsed."""
    known = make_knowledge(NEVER)
    assert report(known, START, 0) == NEVER


def test_first_call_that_fails_is_no_outage() -> None:
    """All instances took it for one, and waited for 10 s after the start."""

    async def scenario(fleet: Fleet) -> None:
        await set_faults(fleet.store, Faults(down=True))
        instances = [await fleet.add('n1'), await fleet.add('n2', '127.9.2.1')]
        await asyncio.sleep(0.3)
        await set_faults(fleet.store, Faults())
        await wait_until(lambda: all(each.upstreams for each in instances))
        await asyncio.sleep(0.5)
        assert set(list_all_recoveries(instances)) == {NEVER}

    run_with_fleet(scenario)


def test_failed_call_is_no_outage_once_another_reader_is_lost() -> None:
    """The instance does not call again before, and then took it for one."""

    async def scenario(fleet: Fleet) -> None:
        instances = [await fleet.add('n1'), await fleet.add('n2', '127.9.2.1')]
        await wait_until(lambda: all(each.upstreams for each in instances))
        await asyncio.sleep(0.5)
        failing, other = sorted(
            instances, key=lambda each: each.gossip.myself.rank
        )
        for connection in failing.connections.values():
            connection.change_endpoint(UNREACHABLE_STORE)
        await wait_until(lambda: not failing.gossip.myself.can_read)
        await asyncio.sleep(OUTAGE_SECONDS + 0.5)
        for connection in failing.connections.values():
            connection.change_endpoint(fleet.address)
        await other.stop()
        await wait_until(lambda: failing.gossip.myself.can_read)
        assert set(list_all_recoveries(instances)) == {NEVER}

    run_with_fleet(scenario)


def test_outage_of_the_store_is_known_to_all() -> None:
    async def scenario(fleet: Fleet) -> None:
        instances = [await fleet.add('n1')]
        for name in ('n2', 'n3'):
            instances.append(await fleet.add(name, '127.9.2.1'))
        await wait_until(lambda: all(each.upstreams for each in instances))
        await set_faults(fleet.store, Faults(down=True))
        await asyncio.sleep(OUTAGE_SECONDS + 1)
        returned_at = steady_seconds()
        await set_faults(fleet.store, Faults())
        await wait_until(
            lambda: all(
                each > returned_at for each in list_recoveries(instances)
            )
        )

    run_with_fleet(scenario)


def list_recoveries(instances: list[Instance]) -> Iterator[float]:
    """Yield when each instance takes the last outage to have ended."""
    for each in instances:
        yield each.gossip.recovered_at_by_topic[Topic.UPSTREAMS]


def list_all_recoveries(instances: list[Instance]) -> Iterator[float]:
    """Yield the same for every topic: calls for any of them may have failed."""
    for each in instances:
        yield from each.gossip.recovered_at_by_topic.values()
