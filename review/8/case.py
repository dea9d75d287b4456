"""Put an entry of another writer among those of the upstreams.

`run.sh` exits with 1 if no request is served, with 0 if requests are served,
and with 2 if the case could not run.
"""

import asyncio
import pathlib
import sys
from typing import Final

from bench.endpoints.callers import Caller, Route, send_requests
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
from review.stand_ins_2.store_server import put
from review.stand_ins_2.traffic import add_caller

RECORD: Final = pathlib.Path(__file__).with_name('record.txt')
SERVICE: Final = 'catalog'
ROUTE: Final = Route(('198.18.0.3', 443), at_most_once=True, requests=1)
# Too large for any integer or floating-point type of a machine.
DIGITS: Final = 310
SLOTS: Final = 10 ** (DIGITS - 1)
# Each change is in force after 3 s.
APPLY_SECONDS: Final = 3.0
REQUESTS: Final = 600
REQUEST_INTERVAL_SECONDS: Final = 0.025


async def play(scenario: Scenario) -> None:
    """Write the entry, and send requests later than changes are in force."""
    await publish(scenario, ROUTE.endpoint, SERVICE, 'unsafe')
    if scenario.has_trouble and scenario.served is not None:
        prefix = scenario.fleet.prefix
        scenario.note('another writer writes an entry')
        await put(
            scenario.served, 'servers', 'other-writer-0b', _make_entry(prefix)
        )
    await asyncio.sleep(APPLY_SECONDS)
    callers = [
        add_caller(scenario.traffic, number, zone)
        for number, zone in enumerate(INSTANCES_BY_ZONE, start=1)
    ]
    async with asyncio.TaskGroup() as group:
        for number in range(REQUESTS):
            caller = callers[number % len(callers)]
            group.create_task(_send(scenario, caller, f'r{number}'))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)


def judge(scenario: Scenario) -> int:
    """Return whether no request was served."""
    counts = [dict(each.counts) for each in scenario.traffic.callers.values()]
    scenario.note(f'callers: {counts}')
    if not counts:
        return NOT_RUN
    served = sum(each.get('served', 0) for each in counts)
    return HELD if served else BROKEN


def _make_entry(prefix: str) -> dict[str, object]:
    return {
        'service': SERVICE,
        'address': f'{prefix}.7.1:8080',
        'zone': 'bole',
        'version': 'v1',
        'slots': SLOTS,
        'state': 'ready',
        'warmup_left_ms': 0,
        'seq': 1,
        'born': 1,
    }


async def _send(scenario: Scenario, caller: Caller, name: str) -> None:
    scenario.note(f'request {name} is sent')
    await send_requests(caller, ROUTE, name)


if __name__ == '__main__':
    with temporary_folder() as folder:
        played = Scenario(folder)
        sys.exit(play_scenario(played, RECORD, play, judge))
