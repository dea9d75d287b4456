"""Check how often the instances call the store."""

import asyncio
from typing import Final

from marlbend.topics.knowledge import Topic
from marlbend.topics.watcher import CALLS_AT_ONCE, CALLS_PER_SECOND
from soak.checker import report
from soak.run_state import Run

__all__ = ('watch_calls',)

SAMPLE_SECONDS: Final = 1.0


async def watch_calls(run: Run) -> None:
    """Report each second with more calls than all instances may make.

    A process that starts has its whole burst, so it counts twice.
    """
    while True:
        calls_before = run.store.request_count
        await asyncio.sleep(SAMPLE_SECONDS)
        calls = run.store.request_count - calls_before
        topics = 2 * len(run.fleet.by_name) * len(Topic)
        if calls > topics * (CALLS_AT_ONCE + CALLS_PER_SECOND * SAMPLE_SECONDS):
            report(run.checker, 'calls', f'{calls} calls of the store in 1 s')
