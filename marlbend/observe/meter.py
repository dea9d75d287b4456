"""Measure the CPU time of an asyncio task.

The CPU time of each step of the task, from its resumption to the next time it
waits, is added up.  Time between two steps belongs to other tasks.
"""

import time
import types
from collections.abc import Coroutine, Generator
from typing import Any

from marlbend.observe.metrics import Metrics

__all__ = ('measure_control_time',)


async def measure_control_time(
    coroutine: Coroutine[Any, Any, None],
    metrics: Metrics,
) -> None:
    """Await a coroutine and add its CPU time to `control_seconds`."""
    await _time_steps(coroutine, metrics)


@types.coroutine
def _time_steps(
    coroutine: Coroutine[Any, Any, None],
    metrics: Metrics,
) -> Generator[Any, Any, None]:
    """Drive the coroutine as `await` would, and time each step."""
    resume = coroutine.send
    argument: Any = None
    while True:
        started = time.thread_time()
        try:
            awaited = resume(argument)
        except StopIteration:
            return
        finally:
            metrics.control_seconds += time.thread_time() - started
        try:
            argument = yield awaited
        except BaseException as error:
            resume = coroutine.throw
            argument = error
        else:
            resume = coroutine.send
