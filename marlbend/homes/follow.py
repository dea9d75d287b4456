"""Follow one object of the platform for as long as the daemon runs.

The platform may be down or slow, a watch may stop without notice and a read
may be stale.  So a watch has a time limit of its own, failures are retried
with growing, jittered pauses, and an object with an older version than the
last one is dropped.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, final

from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.platform.client import PlatformClient, VersionedBody

__all__ = ('follow_object',)

FIRST_PAUSE_SECONDS: Final = 0.1
LONGEST_PAUSE_SECONDS: Final = 5.0


@final
class _Progress:
    """Remember the last version seen and the pause after failures."""

    __slots__ = ('pause', 'version')

    def __init__(self) -> None:
        self.version = 0
        self.pause: float = 0


async def follow_object(
    platform: PlatformClient,
    path: tuple[str, str],
    take: Callable[[VersionedBody], None],
    random: Random,
) -> None:
    """Give each new version of the object to `take`, until cancelled."""
    progress = _Progress()
    while True:
        try:
            stored = await platform.watch(*path, after=progress.version)
        except MarlbendError as error:
            await _pause(progress, error, random)
            continue
        if progress.pause:
            emit(Event.PLATFORM_BACK, kind='all')
            progress.pause = 0
        if not _advance(progress, stored, take):
            # An absent object answers at once; do not ask in a tight loop.
            await asyncio.sleep(FIRST_PAUSE_SECONDS)


def _advance(
    progress: _Progress,
    stored: VersionedBody | None,
    take: Callable[[VersionedBody], None],
) -> bool:
    if stored is None:
        return True
    if stored.version <= progress.version:
        return False
    progress.version = stored.version
    take(stored)
    return True


async def _pause(
    progress: _Progress,
    error: MarlbendError,
    random: Random,
) -> None:
    if not progress.pause:
        emit(Event.PLATFORM_LOST, kind='all', error=error)
    progress.pause = min(
        max(progress.pause * 2, FIRST_PAUSE_SECONDS),
        LONGEST_PAUSE_SECONDS,
    )
    await asyncio.sleep(progress.pause * random.uniform(0.5, 1))
