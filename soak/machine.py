"""Notice when this machine has no time for the processes of a run."""

import asyncio
import pathlib
from typing import Final

from marlbend.clock import steady_seconds
from soak.judge import MACHINE
from soak.world import World

__all__ = ('watch_machine',)

# A machine that keeps a process waiting so long in a quarter of a second has
# no time for this run; the promises with a bound are not judged then.
SAMPLE_SECONDS: Final = 0.25
STARVED_SECONDS: Final = 0.1
_NANOSECONDS: Final = 1_000_000_000


async def watch_machine(world: World) -> None:
    """Notice when this machine has no time for the processes of the run."""
    waited_by_pid: dict[int, float] = {}
    peace = world.judge.peace
    while not world.fleet.stopping:
        before = steady_seconds()
        await asyncio.sleep(SAMPLE_SECONDS)
        late = steady_seconds() - before - SAMPLE_SECONDS
        pids = [
            each.process.pid
            for each in world.fleet.by_name.values()
            if each.process is not None and each.running
        ]
        for pid in pids:
            waited = _read_waited(pid)
            late = max(late, waited - waited_by_pid.get(pid, waited))
            waited_by_pid[pid] = waited
        if late > STARVED_SECONDS:
            world.muted_seconds += SAMPLE_SECONDS
            peace.disturb((MACHINE,))
            peace.calm((MACHINE,))


def _read_waited(pid: int) -> float:
    """Return the seconds that a process was ready and did not run."""
    try:
        fields = pathlib.Path(f'/proc/{pid}/schedstat').read_text().split()
    except OSError:
        # The process has just ended.
        return 0
    return int(fields[1]) / _NANOSECONDS
