"""Check that reactions to trouble do not cause more of it.

The load is that of a large release: hundreds of upstreams are replaced a few
at a time, so that heartbeats are long, while a third of the others do not
respond for two seconds.
"""

from typing import Final

import pytest

from marlbend.clock import steady_seconds
from marlbend.http import Connection
from marlbend.observe.control_traffic import Cause
from marlbend.steering.members import merge_member
from marlbend.test.simulation import FleetSimulation
from marlbend.topics.knowledge import Topic
from marlbend.topics.watcher import (
    FLEET_RETRIES_PER_SECOND,
    TopicWatcher,
    find_retry_delay,
)
from marlbend.wire.heartbeats import MemberUpdate

LINK_BYTES_PER_SECOND: Final = 1_250_000
SERVICE_SECONDS: Final = 0.04
UPSTREAM_NAMES: Final = tuple(f'h-{number:04x}' for number in range(300))


@pytest.fixture(scope='module', name='outage')
def simulate_outage() -> FleetSimulation:
    """Return a simulation of 9 s in which upstreams fail from 3 to 5 s."""
    simulation = FleetSimulation(1, {'a': 28})
    simulation.start(len(UPSTREAM_NAMES), LINK_BYTES_PER_SECOND)
    simulation.open_flows(25, until=9)
    released, failing = UPSTREAM_NAMES[:200], UPSTREAM_NAMES[200:]
    simulation.schedule(
        1, lambda: simulation.replace_upstreams(list(released), 8)
    )
    simulation.schedule(3, lambda: simulation.dark.update(failing))
    simulation.schedule(5, lambda: simulation.dark.difference_update(failing))
    simulation.run(until=10.4)
    return simulation


def test_links_recover_after_upstreams_that_did_not_respond(
    outage: FleetSimulation,
) -> None:
    before = outage.answered_share(1, 3)
    assert outage.answered_share(7, 9) >= before - 0.01


def test_urgent_heartbeats_leave_the_link_to_callers(
    outage: FleetSimulation,
) -> None:
    outage_seconds = 2
    for instance in outage.instances:
        urgent_bytes = instance.node.traffic.bytes_by_cause[Cause.URGENT]
        assert urgent_bytes < 0.05 * LINK_BYTES_PER_SECOND * outage_seconds


def test_overload_does_not_leave_ejected_upstreams_without_flows() -> None:
    """Half of the upstreams were ejected, since they shed load before."""
    simulation = FleetSimulation(1, {'a': 14})
    simulation.slots = 2
    simulation.service_seconds = SERVICE_SECONDS
    simulation.start(20, LINK_BYTES_PER_SECOND)
    simulation.open_flows(20, until=3)
    simulation.schedule(3, lambda: eject(simulation, 10))
    simulation.schedule(3, lambda: simulation.open_flows(100, until=4))
    simulation.run(until=9)
    capacity = 20 * simulation.slots / SERVICE_SECONDS
    served = [simulation.served_by_second[second] for second in (4, 5, 6)]
    assert min(served) > 0.9 * capacity


def eject(simulation: FleetSimulation, count: int) -> None:
    """Eject some upstreams at all instances, for longer than the test."""
    for instance in simulation.instances:
        names = sorted(instance.steering.pool.by_name)[:count]
        for name in names:
            upstream = instance.steering.pool.by_name[name]
            upstream.outlier_state.ejected_until = simulation.now + 60


@pytest.mark.parametrize('count', (8, 60, 300, 1000))
def test_retries_at_the_store_do_not_grow_with_the_fleet(count: int) -> None:
    simulation = FleetSimulation(1, {'a': 1})
    simulation.start(1, LINK_BYTES_PER_SECOND)
    node = simulation.instances[0].node
    now = steady_seconds()
    for number in range(1, count):
        endpoint = ('10.1.0.1', number)
        update = MemberUpdate(f'm-{number}', endpoint, 'a', 0, can_read=False)
        merge_member(node.gossip.members, update, now)
    watcher = TopicWatcher(
        Topic.UPSTREAMS,
        Connection(('127.0.0.1', 9)),
        node.steering,
        node.gossip,
        lambda changes: None,
    )
    watcher.retry_delay = 1
    # Delays are drawn between half of it and all of it.
    shortest_delay = find_retry_delay(watcher) / 2
    assert count / shortest_delay <= 2 * FLEET_RETRIES_PER_SECOND
