"""Join the fleet: fetch the current state first, then become an owner.

A joining instance needs a configuration and the other members before it may
own flows.  It reads both from the platform, and fetches snapshots from its
peers.  It finds the peers in the platform's list or, while the platform is
unreachable, by the addresses in its settings.  It announces itself only
afterwards, so that the previous owners of its hash slots are known.
"""

import asyncio
import time
from collections.abc import Iterator
from typing import Final

from marlbend import VERSION
from marlbend.config.publish import CONFIG_PATH
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.ownership.daemon.state import Instance
from marlbend.ownership.daemon.sync import (
    apply_stored_configuration,
    apply_stored_instances,
    fetch_snapshot,
)
from marlbend.ownership.daemon.views import apply_view_change
from marlbend.ownership.instances import INSTANCES_PATH
from marlbend.ownership.members.failure_detector import merge_and_gossip

__all__ = ('join_fleet',)

RETRY_SECONDS: Final = 0.2
SNAPSHOT_COUNT: Final = 3

AdminEndpoint = tuple[str, int]


async def join_fleet(
    instance: Instance,
    seeds: tuple[AdminEndpoint, ...],
) -> None:
    """Fetch configuration and members, then announce this instance.

    `seeds` are admin endpoints of peers that are tried last, so that joining
    works while the platform is unreachable.
    """
    platform_unreachable = False
    while True:
        try:
            await _read_platform(instance)
        except MarlbendError as error:
            if not platform_unreachable:
                emit(Event.PLATFORM_UNAVAILABLE, kind='all', error=error)
            platform_unreachable = True
        await _fetch_snapshots(instance, seeds)
        if instance.path.active.version:
            break
        await asyncio.sleep(RETRY_SECONDS)
    myself = instance.path.view.myself
    merge_and_gossip(instance.detector, myself, time.monotonic())
    apply_view_change(instance)
    instance.lifecycle.trigger('serve')
    emit(Event.JOINED, name=myself.name, version=VERSION)


async def _read_platform(instance: Instance) -> None:
    platform = instance.platform
    apply_stored_instances(instance, await platform.read(*INSTANCES_PATH))
    apply_stored_configuration(instance, await platform.read(*CONFIG_PATH))


async def _fetch_snapshots(
    instance: Instance,
    seeds: tuple[AdminEndpoint, ...],
) -> None:
    """Fetch snapshots from peers until enough of them have responded."""
    responded = 0
    for endpoint in _peer_endpoints(instance, seeds):
        responded += await fetch_snapshot(instance, *endpoint)
        if responded == SNAPSHOT_COUNT:
            return


def _peer_endpoints(
    instance: Instance,
    seeds: tuple[AdminEndpoint, ...],
) -> Iterator[AdminEndpoint]:
    """Yield admin endpoints of some random members, then the seeds."""
    view = instance.path.view
    others = [
        (member.address, member.admin_port)
        for member in view.member_by_name.values()
        if member.name != view.myself.name
    ]
    instance.detector.random.shuffle(others)
    yield from others[: SNAPSHOT_COUNT * 2]
    yield from seeds
