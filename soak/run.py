"""Play a schedule against instances under load, and sum up what was found."""

import asyncio
import json
import pathlib
from collections import Counter
from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from soak.arrivals import send_load, send_probes
from soak.faults import play_schedule
from soak.judge import Finding, report
from soak.machine import watch_machine
from soak.schedule import LAST_SECONDS, Schedule
from soak.wiring import open_world
from soak.world import World

__all__ = ('Report', 'run_schedule')

READY_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.1
# The rule of recovery: a quarter of the requests is served.
RECOVERED_SHARE: Final = 0.25
LOGS: Final = '*.log'
SHOWN_LETTERS: Final = 200


class Report(msgspec.Struct, frozen=True):
    """Report a run: what was broken, and what callers got.

    `muted_share` is the share of the time in which this machine had none for
    the run, so that promises with a bound were not judged.
    `recovered_share` is the share served in the last seconds.
    """

    seed: int
    instances: int
    steps: int
    findings: tuple[Finding, ...]
    counts: dict[str, int]
    recovered_share: float
    muted_share: float


async def run_schedule(schedule: Schedule, folder: pathlib.Path) -> Report:
    """Play a schedule; logs go to the folder."""
    async with open_world(schedule, folder) as world:
        await _wait_ready(world)
        share = await _play(world, schedule)
        for path in sorted(folder.glob(LOGS)):
            _read_log(world, path)
        return Report(
            schedule.seed,
            schedule.instances,
            len(schedule.steps),
            tuple(world.judge.findings),
            dict(_count(world)),
            round(share, 3),
            round(world.muted_seconds / schedule.seconds, 3),
        )


async def _play(world: World, schedule: Schedule) -> float:
    """Play faults under load; return the share served at the end."""
    world.judge.started_at = steady_seconds()
    faults = asyncio.create_task(play_schedule(world, schedule))
    background = [
        asyncio.create_task(work)
        for work in (watch_machine(world), send_probes(world), send_load(world))
    ]
    end = world.judge.started_at + schedule.seconds
    await asyncio.sleep(end - LAST_SECONDS - steady_seconds())
    before = _count(world)
    await asyncio.sleep(end - steady_seconds())
    share = _share_served(_count(world) - before)
    if share < RECOVERED_SHARE:
        report(world.judge, 'recovery', f'{share} served at the end')
    for instance in world.fleet.by_name.values():
        if instance.misses > 1:
            name = instance.place.name
            report(world.judge, 'recovery', f'{name} is not ready at the end')
    for task in (*background, *world.tasks):
        task.cancel()
    await faults
    return share


async def _wait_ready(world: World) -> None:
    async with asyncio.timeout(READY_SECONDS):
        while any(each.misses for each in world.fleet.by_name.values()):
            await asyncio.sleep(POLL_SECONDS)


def _count(world: World) -> Counter[str]:
    counts: Counter[str] = Counter()
    for caller in world.caller_by_domain.values():
        counts.update(caller.counts)
    return counts


def _share_served(counts: Counter[str]) -> float:
    asked = counts['served'] + counts['failed']
    return counts['served'] / asked if asked else 0


def _read_log(world: World, path: pathlib.Path) -> None:
    """Report what a process wrote that is no line of its log."""
    odd = list(_find_odd(path))
    if odd:
        shown = odd[-1][:SHOWN_LETTERS]
        report(world.judge, 'log', f'{path.stem}: {shown}')


def _find_odd(path: pathlib.Path) -> Iterator[str]:
    for line in path.read_text(errors='replace').splitlines():
        try:
            json.loads(line)
        except ValueError:
            # Only a traceback or a message of the interpreter is no JSON.
            yield line
