"""Check what instances tell each other of an upstream that is gone.

The load is a crash of upstreams while links are congested, so that heartbeats
arrive late, and each instance sees few packets of each upstream.
"""

from collections import deque

from marlbend.edge.upstream_updates import (
    merge_upstream_updates,
    updates_for_local_domain,
)
from marlbend.steering.placement.choice import list_usable
from marlbend.test.steering import START, SteeringDriver
from marlbend.wire.heartbeats import Heartbeat, MemberUpdate

INSTANCES = 12
HEARTBEAT_SECONDS = 0.06
DELAY_SECONDS = 0.1
RUN_SECONDS = 4.0
UPSTREAM = 'a1'

Message = tuple[float, int, MemberUpdate, Heartbeat]


def make_instances() -> list[SteeringDriver]:
    drivers = [SteeringDriver() for _ in range(INSTANCES)]
    for driver in drivers:
        driver.route('web', 'catalog')
        driver.publish()
        driver.upstream(UPSTREAM, 'catalog', 'a')
    return drivers


def describe(
    driver: SteeringDriver, number: int
) -> tuple[MemberUpdate, Heartbeat]:
    member = MemberUpdate(
        f'n{number}', ('127.9.2.2', 6071), 'a', 0, can_read=True
    )
    updates = tuple(updates_for_local_domain(driver.steering, driver.now))
    return member, Heartbeat((member,), (), updates)


def gossip(drivers: list[SteeringDriver], seconds: float) -> None:
    """Let every instance send to one other in turn, with a delay."""
    messages: deque[Message] = deque()
    for beat in range(1, round(seconds / HEARTBEAT_SECONDS) + 1):
        now = START + beat * HEARTBEAT_SECONDS
        while messages and messages[0][0] <= now:
            arrives_at, target, member, heartbeat = messages.popleft()
            merge_upstream_updates(
                drivers[target].steering, member, heartbeat, arrives_at
            )
        for number, driver in enumerate(drivers):
            driver.now = now
            target = (number + beat) % INSTANCES
            if target != number:
                told = describe(driver, number)
                messages.append((now + DELAY_SECONDS, target, *told))


def test_delays_of_heartbeats_do_not_add_up_to_proof_of_liveness() -> None:
    """An upstream that is gone seemed to have answered a moment ago."""
    drivers = make_instances()
    for driver in drivers:
        # A request in progress, so that each heartbeat tells of the upstream.
        driver.steering.pool.by_name[UPSTREAM].busy = 1
    drivers[0].open('f', 'web')
    drivers[0].establish('f')
    gossip(drivers, RUN_SECONDS)
    alive_at = [
        driver.steering.pool.by_name[UPSTREAM].liveness.last_alive_at
        for driver in drivers
    ]
    assert max(alive_at) <= START + DELAY_SECONDS + 0.001


def test_ejections_leave_an_upstream_that_responds() -> None:
    """Half of a service is gone, and the other half sheds and is ejected."""
    driver = make_instances()[0]
    for name in ('a2', 'a3', 'a4'):
        driver.upstream(name, 'catalog', 'a')
    pool = driver.steering.pool.by_name
    for name in (UPSTREAM, 'a2'):
        driver.report_unanswered('n1', name, '2')
    for name in ('a3', 'a4'):
        pool[name].outlier_state.ejected_until = driver.now + 1
    usable = list_usable(driver.steering, 'catalog')
    assert {each.name for each in usable} >= {'a3', 'a4'}
    driver.open('f', 'web')
    assert driver.sent[-1] in {'a3', 'a4'}
