"""Watch one object of the platform for as long as the daemon runs.

The platform may be down or slow, a watch may stop without notice and a read
may be stale.  The store may come back from a copy that lacks the last changes.
Therefore a watch has its own timeout, failures are retried with
exponential backoff and jitter, and an object is ignored unless its version is
newer than the last one.  The first one of an era may be older than the last one
of the era before; `on_change` decides on it.
"""

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final, final

from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.platform.client import PlatformClient, VersionedBody

__all__ = ('watch_object',)

INITIAL_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 5.0


@final
class _WatchState:
    """Hold the last version seen and the current retry delay.

    `is_behind` is set while versions come faster than they are read.  A watch
    returns each of them in full; a read returns only the last one.
    """

    __slots__ = ('backoff_seconds', 'is_behind', 'seen')

    def __init__(self) -> None:
        self.seen = VersionedBody(0)
        self.is_behind = False
        self.backoff_seconds: float = 0


async def watch_object(
    platform: PlatformClient,
    path: tuple[str, str],
    on_change: Callable[[VersionedBody], None],
    random: Random,
) -> None:
    """Pass each new version of the object to `on_change`, until cancelled."""
    state = _WatchState()
    while True:
        try:
            stored = await _read_or_watch(platform, path, state)
        except MarlbendError as error:
            await _back_off(state, error, random)
            continue
        if state.backoff_seconds:
            emit(Event.PLATFORM_RECOVERED, kind='all')
            state.backoff_seconds = 0
        if not _handle_response(state, stored, on_change):
            # A watch of an absent object returns at once; avoid a busy loop.
            await asyncio.sleep(INITIAL_BACKOFF_SECONDS)


async def _read_or_watch(
    platform: PlatformClient,
    path: tuple[str, str],
    state: _WatchState,
) -> VersionedBody | None:
    if not state.is_behind:
        stored = await platform.watch(
            *path, after=state.seen.revision, era=state.seen.era
        )
        state.is_behind = stored is not None and stored.superseded > 0
        return stored
    current = await platform.read(*path)
    state.is_behind = current.version > state.seen.version
    # Without a later version, the next watch waits for one.
    return current if state.is_behind else None


def _handle_response(
    state: _WatchState,
    stored: VersionedBody | None,
    on_change: Callable[[VersionedBody], None],
) -> bool:
    if stored is None:
        return True
    if stored.version <= state.seen.version:
        return False
    if stored.era > state.seen.era and state.seen.revision > 0:
        emit(
            Event.STORE_RETURNED,
            era=stored.era,
            kind='object',
            revision=stored.revision,
            known=state.seen.revision,
        )
    state.seen = stored
    on_change(stored)
    return True


async def _back_off(
    state: _WatchState,
    error: MarlbendError,
    random: Random,
) -> None:
    if not state.backoff_seconds:
        emit(Event.PLATFORM_UNAVAILABLE, kind='all', error=error)
    state.backoff_seconds = min(
        max(state.backoff_seconds * 2, INITIAL_BACKOFF_SECONDS),
        MAX_BACKOFF_SECONDS,
    )
    await asyncio.sleep(state.backoff_seconds * random.uniform(0.5, 1))
