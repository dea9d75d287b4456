"""Kill all processes while callers have idle flows open.

Some datagrams of the callers are lost, as on any day.  `run.sh` exits with 1 if
the packets of an open flow reached other upstreams than its own, or it got a
reset that its upstream did not send, with 0 if not, and with 2 if the case
could not run.
"""

import asyncio
import pathlib
import sys
from typing import Final

from bench.endpoints.callers import Route, send_requests
from review.stand_ins_2.scenario import (
    BROKEN,
    HELD,
    INSTANCES_BY_ZONE,
    NOT_RUN,
    Scenario,
    play_scenario,
    publish,
    temporary_folder,
)
from review.stand_ins_2.traffic import add_caller, find_strayed_flows

RECORD: Final = pathlib.Path(__file__).with_name('record.txt')
SERVICE: Final = 'catalog'
# Shorter than `idle_timeout_ms` (15,000).
ROUTE: Final = Route(
    ('198.18.0.2', 443),
    at_most_once=False,
    requests=2,
    pause_seconds=(10, 12),
)
LOST_SHARE: Final = 0.01
FLOWS: Final = 720
FLOW_INTERVAL_SECONDS: Final = 0.0083


async def play(scenario: Scenario) -> None:
    """Open flows, kill all instances, and go on with the flows."""
    await publish(scenario, ROUTE.endpoint, SERVICE, 'safe')
    traffic = scenario.traffic
    traffic.lost_share = LOST_SHARE
    callers = [
        add_caller(traffic, number, zone)
        for number, zone in enumerate(INSTANCES_BY_ZONE, start=1)
    ]
    async with asyncio.TaskGroup() as group:
        for number in range(FLOWS):
            caller = callers[number % len(callers)]
            group.create_task(send_requests(caller, ROUTE, f'r{number}'))
            await asyncio.sleep(FLOW_INTERVAL_SECONDS)
        if scenario.has_trouble:
            _kill_all(scenario)
    counts = [dict(each.counts) for each in callers]
    scenario.note(f'callers: {counts}')


def judge(scenario: Scenario) -> int:
    """Return whether an open flow was reset, or its packets went astray."""
    traffic = scenario.traffic
    strayed = find_strayed_flows(traffic)
    for text in strayed:
        scenario.note(f'packets reached other upstreams only: {text}')
    opened = len(traffic.openings)
    scenario.note(f'{opened} flows opened, {len(traffic.resets)} resets')
    if not opened:
        return NOT_RUN
    return BROKEN if traffic.resets or strayed else HELD


def _kill_all(scenario: Scenario) -> None:
    scenario.note('all processes are killed')
    for instance in scenario.fleet.instances:
        if instance.process is not None:
            instance.process.kill()


if __name__ == '__main__':
    with temporary_folder() as folder:
        played = Scenario(folder)
        sys.exit(play_scenario(played, RECORD, play, judge))
