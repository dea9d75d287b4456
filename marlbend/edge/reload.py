"""Take changed settings over while the instance goes on serving.

The file may change with or without a signal.  Settings that are wrong are
refused whole, and the earlier ones stay in force.
"""

import asyncio
import logging
import os
from collections.abc import Iterable, Iterator
from typing import Final, final

import msgspec

from marlbend.edge.follow import Feed
from marlbend.edge.peers import Peers
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.options import (
    CookieSettings,
    Settings,
    load_settings,
    split_endpoint,
)
from marlbend.platform.client import parse_url
from marlbend.steering.gossip import Topic

__all__ = ('Reloading', 'follow_settings', 'patience_of')

# A change without a signal is seen this much later at most.
POLL_SECONDS: Final = 2.0
# An instance reads for itself at this share of the time in which a change has
# to be in force; what is left is for the call.
PATIENCE_SHARE: Final = 0.85
_MILLISECONDS: Final = 1000
# These need sockets or names that last as long as the process.
_FIXED_SETTINGS: Final = ('name', 'address', 'domain')
_FIXED_ENDPOINTS: Final = (
    'fabric',
    'ready',
    'control',
    'advertised',
    'metrics_port',
)


@final
class Reloading:
    """Hold the settings in force and the parts that follow them.

    `asked` is set by a signal.
    """

    __slots__ = ('asked', 'cookie', 'feeds', 'path', 'peers', 'settings')

    def __init__(
        self,
        path: str,
        settings: Settings,
        cookie: CookieSettings,
        peers: Peers,
        feeds: Iterable[Feed],
    ) -> None:
        """Start with the settings that the instance was started with."""
        self.path = path
        self.settings = settings
        self.cookie = cookie
        self.peers = peers
        self.feeds = tuple(feeds)
        self.asked = asyncio.Event()


async def follow_settings(reloading: Reloading) -> None:
    """Reload whenever the file changes or a signal asks, until cancelled."""
    seen = _find_stamp(reloading.path)
    while True:
        try:
            async with asyncio.timeout(POLL_SECONDS):
                await reloading.asked.wait()
        except TimeoutError:
            if _find_stamp(reloading.path) == seen:
                continue
        reloading.asked.clear()
        seen = _find_stamp(reloading.path)
        _reload(reloading)


def patience_of(cookie: CookieSettings) -> dict[Topic, float]:
    """Return the age at which an instance reads each topic for itself."""
    in_force = PATIENCE_SHARE * cookie.apply_milliseconds / _MILLISECONDS
    out = PATIENCE_SHARE * cookie.domain_out_milliseconds / _MILLISECONDS
    return {
        Topic.CONFIGURATION: in_force,
        Topic.UPSTREAMS: in_force,
        Topic.DOMAINS_OUT: out,
    }


def _reload(reloading: Reloading) -> None:
    try:
        settings = load_settings(reloading.path)
    except MarlbendError as error:
        emit(Event.SETTINGS_REFUSED, error=error)
        return
    if settings.cookie is None:
        emit(Event.SETTINGS_REFUSED, error='no cookie section')
        return
    waiting = list(_find_fixed(reloading, settings, settings.cookie))
    _apply(reloading, settings, settings.cookie)
    emit(Event.SETTINGS_IN_FORCE, waiting=' '.join(waiting) or 'nothing')


def _apply(
    reloading: Reloading,
    settings: Settings,
    cookie: CookieSettings,
) -> None:
    reloading.settings = settings
    reloading.cookie = cookie
    reloading.peers.seeds = tuple(map(split_endpoint, cookie.seeds))
    reloading.peers.gossip.staleness_limit_by_topic = patience_of(cookie)
    logging.getLogger().setLevel(settings.log_level)
    store = parse_url(settings.platform)
    for feed in reloading.feeds:
        feed.connection.change_address(store)


def _find_fixed(
    reloading: Reloading,
    settings: Settings,
    cookie: CookieSettings,
) -> Iterator[str]:
    """Yield what changed but only holds after a restart."""
    yield from _find_changed(reloading.settings, settings, _FIXED_SETTINGS)
    yield from _find_changed(reloading.cookie, cookie, _FIXED_ENDPOINTS)


def _find_changed(
    earlier: msgspec.Struct,
    later: msgspec.Struct,
    names: tuple[str, ...],
) -> Iterator[str]:
    for name in names:
        if getattr(earlier, name) != getattr(later, name):
            yield name


def _find_stamp(path: str) -> tuple[int, int]:
    """Return what tells two states of a file apart; zeros if it is gone."""
    try:
        found = os.stat(path)
    except OSError:
        # The settings in force stay; a file that comes back differs.
        return 0, 0
    return found.st_mtime_ns, found.st_size
