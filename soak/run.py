"""Run a fault schedule against instances under load, and report findings."""

import asyncio
import json
import pathlib
from collections import Counter
from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from soak.checker import Finding, record_finding
from soak.faults import inject_faults
from soak.load_generator import send_load, send_probes
from soak.schedule import RECOVERY_MEASURED_SECONDS, Schedule
from soak.starvation import watch_cpu_starvation
from soak.testbed import Testbed
from soak.wiring import open_testbed

__all__ = ('Report', 'run_schedule')

READY_TIMEOUT_SECONDS: Final = 20.0
POLL_SECONDS: Final = 0.1
# The platform's rules require that a quarter of the requests is served after
# the time to recover.
MIN_RECOVERED_SHARE: Final = 0.25
LOG_PATTERN: Final = '*.log'
MAX_SHOWN_CHARACTERS: Final = 200


class Report(msgspec.Struct, frozen=True):
    """Report the findings of a run, and how callers' requests ended.

    `muted_share` is the share of the run in which this machine starved its
    processes of CPU time, so that invariants with a time bound weren't checked.
    `recovered_share` is the share of requests served in the last seconds.
    """

    seed: int
    instances: int
    steps: int
    findings: tuple[Finding, ...]
    counts: dict[str, int]
    recovered_share: float
    muted_share: float


async def run_schedule(schedule: Schedule, folder: pathlib.Path) -> Report:
    """Run a schedule; the instances' logs go to the folder."""
    async with open_testbed(schedule, folder) as testbed:
        await _wait_ready(testbed)
        share = await _inject_under_load(testbed, schedule)
        for path in sorted(folder.glob(LOG_PATTERN)):
            _check_log(testbed, path)
        return Report(
            schedule.seed,
            schedule.instances,
            len(schedule.steps),
            tuple(testbed.checker.findings),
            dict(_sum_counts(testbed)),
            round(share, 3),
            round(testbed.starved_seconds / schedule.seconds, 3),
        )


async def _inject_under_load(testbed: Testbed, schedule: Schedule) -> float:
    """Inject faults under load; return the share served at the end."""
    testbed.checker.started_at = steady_seconds()
    faults = asyncio.create_task(inject_faults(testbed, schedule))
    background = [
        asyncio.create_task(job)
        for job in (
            watch_cpu_starvation(testbed),
            send_probes(testbed),
            send_load(testbed),
        )
    ]
    end = testbed.checker.started_at + schedule.seconds
    await asyncio.sleep(end - RECOVERY_MEASURED_SECONDS - steady_seconds())
    counts_before = _sum_counts(testbed)
    await asyncio.sleep(end - steady_seconds())
    share = _served_share(_sum_counts(testbed) - counts_before)
    if share < MIN_RECOVERED_SHARE:
        record_finding(
            testbed.checker,
            'recovery',
            f'{share} of requests served at the end',
        )
    for instance in testbed.fleet.instance_by_name.values():
        if instance.failed_polls > 1:
            name = instance.node.name
            record_finding(
                testbed.checker, 'recovery', f'{name} is not ready at the end'
            )
    for task in (*background, *testbed.tasks):
        task.cancel()
    await faults
    return share


async def _wait_ready(testbed: Testbed) -> None:
    async with asyncio.timeout(READY_TIMEOUT_SECONDS):
        while any(
            each.failed_polls
            for each in testbed.fleet.instance_by_name.values()
        ):
            await asyncio.sleep(POLL_SECONDS)


def _sum_counts(testbed: Testbed) -> Counter[str]:
    counts: Counter[str] = Counter()
    for caller in testbed.caller_by_domain.values():
        counts.update(caller.counts)
    return counts


def _served_share(counts: Counter[str]) -> float:
    finished = counts['served'] + counts['failed']
    return counts['served'] / finished if finished else 0


def _check_log(testbed: Testbed, path: pathlib.Path) -> None:
    """Record output of a process that isn't a line of its JSON log."""
    invalid = list(_find_invalid_lines(path))
    if invalid:
        shown = invalid[-1][:MAX_SHOWN_CHARACTERS]
        record_finding(testbed.checker, 'log', f'{path.stem}: {shown}')


def _find_invalid_lines(path: pathlib.Path) -> Iterator[str]:
    for line in path.read_text(errors='replace').splitlines():
        try:
            json.loads(line)
        except ValueError:
            # It is a traceback or a message of the interpreter.
            yield line
