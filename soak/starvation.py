"""Detect when this machine starves the processes of a run of CPU time."""

import asyncio
import pathlib
from typing import Final

from marlbend.clock import steady_seconds
from soak.checker import MACHINE
from soak.run_state import Run

__all__ = ('watch_cpu_starvation',)

# If a process waits longer than the threshold for a CPU within one sample, or
# the sample itself is late by more, this machine counts as disturbed.
SAMPLE_SECONDS: Final = 0.25
STARVATION_THRESHOLD_SECONDS: Final = 0.1
_NANOSECONDS_PER_SECOND: Final = 1_000_000_000


async def watch_cpu_starvation(run: Run) -> None:
    """Record a disturbance of this machine whenever processes starve."""
    wait_by_pid: dict[int, float] = {}
    disturbances = run.checker.disturbances
    while not run.fleet.stopping:
        started_at = steady_seconds()
        await asyncio.sleep(SAMPLE_SECONDS)
        delay = steady_seconds() - started_at - SAMPLE_SECONDS
        pids = [
            each.process.pid
            for each in run.fleet.by_name.values()
            if each.process is not None and each.is_running
        ]
        for pid in pids:
            wait = _read_run_queue_wait(pid)
            delay = max(delay, wait - wait_by_pid.get(pid, wait))
            wait_by_pid[pid] = wait
        if delay > STARVATION_THRESHOLD_SECONDS:
            run.starved_seconds += SAMPLE_SECONDS
            # The sample is over.  This starts the quiet period anew.
            disturbances.begin((MACHINE,))
            disturbances.end((MACHINE,))


def _read_run_queue_wait(pid: int) -> float:
    """Return the seconds that a process has waited on a run queue."""
    try:
        fields = pathlib.Path(f'/proc/{pid}/schedstat').read_text().split()
    except OSError:
        # The process has just ended.
        return 0
    return int(fields[1]) / _NANOSECONDS_PER_SECOND
