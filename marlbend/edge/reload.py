"""Apply changed settings without interrupting service.

A change is noticed with or without a signal.  If the new settings are invalid,
all of them are rejected and the previous ones stay in force.
"""

import asyncio
import logging
import os
from collections.abc import Iterable, Iterator
from typing import Final, final

import msgspec

from marlbend.edge.node import GossipNode
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.options import (
    CookieSettings,
    Settings,
    load_settings,
    split_endpoint,
)
from marlbend.platform.client import parse_url
from marlbend.steering.budgets import make_budgets
from marlbend.steering.placement.method import PlacementMethod
from marlbend.steering.state import Steering
from marlbend.topics.knowledge import Topic
from marlbend.topics.reader import TopicWatcher

__all__ = (
    'RunningInstance',
    'apply_cookie_settings',
    'staleness_limits',
    'watch_settings',
)

# Limits the delay in noticing a change without a signal.
POLL_SECONDS: Final = 2.0
# The staleness limit as a share of the time in which a change has to be in
# force.  The rest is left for reading the platform directly: a large
# configuration takes a second on a slow link.
STALENESS_SHARE: Final = 0.75
_MILLISECONDS_PER_SECOND: Final = 1000
# These need a restart, since their sockets and names last as long as the
# process.
_RESTART_SETTINGS: Final = ('name', 'address', 'domain')
_RESTART_COOKIE_SETTINGS: Final = (
    'fabric',
    'ready',
    'control',
    'advertised',
    'metrics_port',
)


@final
class RunningInstance:
    """Hold a running instance: the settings in force and what they apply to.

    `requested` is set by a signal to reload the settings in the file `path`.
    """

    __slots__ = (
        'cookie_settings',
        'node',
        'path',
        'requested',
        'settings',
        'watchers',
    )

    def __init__(
        self,
        path: str,
        settings: Settings,
        cookie_settings: CookieSettings,
        node: GossipNode,
        watchers: Iterable[TopicWatcher],
    ) -> None:
        """Start with the settings that the instance was started with."""
        self.path = path
        self.settings = settings
        self.cookie_settings = cookie_settings
        self.node = node
        self.watchers = tuple(watchers)
        self.requested = asyncio.Event()


async def watch_settings(instance: RunningInstance) -> None:
    """Reload when the file changes or a signal arrives, until cancelled."""
    last_stamp = _read_stamp(instance.path)
    while True:
        try:
            async with asyncio.timeout(POLL_SECONDS):
                await instance.requested.wait()
        except TimeoutError:
            if _read_stamp(instance.path) == last_stamp:
                continue
        instance.requested.clear()
        last_stamp = _read_stamp(instance.path)
        _reload(instance)


def staleness_limits(cookie_settings: CookieSettings) -> dict[Topic, float]:
    """Return the staleness limit of each topic in seconds."""
    change_limit = (
        STALENESS_SHARE
        * cookie_settings.apply_milliseconds
        / _MILLISECONDS_PER_SECOND
    )
    domains_out_limit = (
        STALENESS_SHARE
        * cookie_settings.domain_out_milliseconds
        / _MILLISECONDS_PER_SECOND
    )
    return {
        Topic.CONFIGURATION: change_limit,
        Topic.UPSTREAMS: change_limit,
        Topic.DOMAINS_OUT: domains_out_limit,
    }


def apply_cookie_settings(
    steering: Steering, cookie_settings: CookieSettings
) -> None:
    """Limit reactions to trouble, and place flows, as the settings require."""
    steering.local_instance.placement = PlacementMethod(
        cookie_settings.placement
    )
    steering.local_instance.budgets = make_budgets(
        cookie_settings.link_megabits, cookie_settings.processor_share
    )


def _reload(instance: RunningInstance) -> None:
    try:
        settings = load_settings(instance.path)
    except MarlbendError as error:
        emit(Event.SETTINGS_REJECTED, error=error)
        return
    if settings.cookie is None:
        emit(Event.SETTINGS_REJECTED, error='no cookie section')
        return
    pending = list(_list_pending(instance, settings, settings.cookie))
    _apply(instance, settings, settings.cookie)
    emit(Event.SETTINGS_RELOADED, waiting=' '.join(pending) or 'nothing')


def _apply(
    instance: RunningInstance,
    settings: Settings,
    cookie_settings: CookieSettings,
) -> None:
    instance.settings = settings
    instance.cookie_settings = cookie_settings
    instance.node.seeds = tuple(map(split_endpoint, cookie_settings.seeds))
    instance.node.gossip.staleness_limit_by_topic = staleness_limits(
        cookie_settings
    )
    apply_cookie_settings(instance.node.steering, cookie_settings)
    logging.getLogger().setLevel(settings.log_level)
    platform_address = parse_url(settings.platform)
    for watcher in instance.watchers:
        watcher.connection.change_endpoint(platform_address)


def _list_pending(
    instance: RunningInstance,
    settings: Settings,
    cookie_settings: CookieSettings,
) -> Iterator[str]:
    """Yield the changed settings that take effect only after a restart."""
    yield from _list_changed(instance.settings, settings, _RESTART_SETTINGS)
    yield from _list_changed(
        instance.cookie_settings, cookie_settings, _RESTART_COOKIE_SETTINGS
    )


def _list_changed(
    previous: msgspec.Struct,
    updated: msgspec.Struct,
    names: tuple[str, ...],
) -> Iterator[str]:
    for name in names:
        if getattr(previous, name) != getattr(updated, name):
            yield name


def _read_stamp(path: str) -> tuple[int, int]:
    """Return the modification time and size of a file, zeros if it is gone."""
    try:
        file_status = os.stat(path)
    except OSError:
        # The settings in force stay; when the file is back, its stamp differs.
        return 0, 0
    return file_status.st_mtime_ns, file_status.st_size
