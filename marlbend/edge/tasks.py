"""Keep the tasks of an instance running after unexpected errors."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final

from marlbend.events import Event, emit

__all__ = ('run_forever',)

# A task that fails again and again takes little processor time from the others.
RESTART_SECONDS: Final = 1.0


async def run_forever(
    name: str,
    start: Callable[[], Awaitable[None]],
    restart_seconds: float = RESTART_SECONDS,
) -> None:
    """Run a task, and start it again if it raises, until cancelled.

    One malformed message must not take the whole instance, with its open
    flows, down.
    """
    while True:
        try:
            await start()
        except Exception as error:
            reason = f'{type(error).__name__}: {error}'
            emit(Event.TASK_FAILED, name=name, error=reason)
        await asyncio.sleep(restart_seconds)
