"""Measure the processor time of a task.

The task is resumed step by step, and the time of each step is added up; what
happens between two steps belongs to others.
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
    """Await a coroutine and count its processor time as control."""
    await _resume_steps(coroutine, metrics)


@types.coroutine
def _resume_steps(
    coroutine: Coroutine[Any, Any, None],
    metrics: Metrics,
) -> Generator[Any, Any, None]:
    """Resume the coroutine as `await` would, timing each step."""
    advance = coroutine.send
    argument: Any = None
    while True:
        started = time.thread_time()
        try:
            waited_for = advance(argument)
        except StopIteration:
            return
        finally:
            metrics.control_seconds += time.thread_time() - started
        try:
            argument = yield waited_for
        except BaseException as error:
            advance = coroutine.throw
            argument = error
        else:
            advance = coroutine.send
