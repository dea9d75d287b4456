"""Run a fault schedule against instances under load, and report findings."""

import asyncio
import json
import pathlib
from collections import Counter
from collections.abc import Iterator
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from soak.calls import watch_calls
from soak.checker import Finding, report
from soak.faults import inject_faults
from soak.load_generator import (
    send_idle_load,
    send_load,
    send_route_probes,
)
from soak.run_state import Run
from soak.schedule import RECOVERY_MEASURED_SECONDS, Schedule
from soak.starvation import watch_cpu_starvation
from soak.wiring import open_run

__all__ = ('Report', 'run_schedule')

START_TIMEOUT_SECONDS: Final = 20.0
START_POLL_SECONDS: Final = 0.1
# The platform's rules on recovery, see docs/soak.md, require that a quarter of
# the requests is served.
MIN_RECOVERED_SHARE: Final = 0.25
LOG_PATTERN: Final = '*.log'
SHOWN_CHARACTERS: Final = 200


class Report(msgspec.Struct, frozen=True):
    """Report the findings of a run, and how callers' requests ended.

    `muted_share` is the total length of the CPU samples in which this machine
    starved the processes, divided by the length of the run.  The invariants
    that this mutes stay muted for `QUIET_SECONDS` more, which isn't included.
    `recovered_share` is the share of the finished requests that were served, in
    the last seconds of the run.
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
    async with open_run(schedule, folder) as run:
        await _wait_ready(run)
        share = await _inject_under_load(run, schedule)
        for path in sorted(folder.glob(LOG_PATTERN)):
            _check_log(run, path)
        return Report(
            schedule.seed,
            schedule.instances,
            len(schedule.steps),
            tuple(run.checker.findings),
            dict(_sum_counts(run)),
            round(share, 3),
            round(run.starved_seconds / schedule.seconds, 3),
        )


async def _inject_under_load(run: Run, schedule: Schedule) -> float:
    """Inject faults under load; return the share of requests served after."""
    run.checker.started_at = steady_seconds()
    faults = asyncio.create_task(inject_faults(run, schedule))
    background = [
        asyncio.create_task(job)
        for job in (
            watch_cpu_starvation(run),
            send_route_probes(run),
            send_load(run),
            send_idle_load(run),
            watch_calls(run),
        )
    ]
    end = run.checker.started_at + schedule.seconds
    await asyncio.sleep(end - RECOVERY_MEASURED_SECONDS - steady_seconds())
    counts_before = _sum_counts(run)
    await asyncio.sleep(end - steady_seconds())
    share = _served_share(_sum_counts(run) - counts_before)
    if share < MIN_RECOVERED_SHARE:
        report(run.checker, 'recovery', f'{share} of requests served at end')
    for instance in run.fleet.by_name.values():
        if instance.failed_polls > 1:
            name = instance.node.name
            report(run.checker, 'recovery', f'{name} is not ready at the end')
    for task in (*background, *run.tasks):
        task.cancel()
    await faults
    return share


async def _wait_ready(run: Run) -> None:
    """Wait until the first processes of all instances are ready."""
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while any(each.failed_polls for each in run.fleet.by_name.values()):
            await asyncio.sleep(START_POLL_SECONDS)


def _sum_counts(run: Run) -> Counter[str]:
    counts: Counter[str] = Counter()
    for caller in run.caller_by_domain.values():
        counts.update(caller.counts)
    return counts


def _served_share(counts: Counter[str]) -> float:
    finished = counts['served'] + counts['failed']
    return counts['served'] / finished if finished else 0


def _check_log(run: Run, path: pathlib.Path) -> None:
    """Record output of a process that isn't a line of its JSON log."""
    invalid = list(_find_invalid_lines(path))
    if invalid:
        shown = invalid[-1][:SHOWN_CHARACTERS]
        report(run.checker, 'log', f'{path.stem}: {shown}')


def _find_invalid_lines(path: pathlib.Path) -> Iterator[str]:
    for line in path.read_text(errors='replace').splitlines():
        try:
            json.loads(line)
        except ValueError:
            # For example, a traceback or a message of the interpreter.
            yield line
