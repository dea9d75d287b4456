"""Check that reactions to trouble do not cause more of it.

The load is that of a large release: hundreds of upstreams are replaced a few
at a time, so that heartbeats are long, while a third of the others do not
respond for two seconds.
"""

from typing import Final

import pytest

from marlbend.observe.control_traffic import Cause
from marlbend.test.simulation import FleetSimulation

LINK_BYTES_PER_SECOND: Final = 1_250_000
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
