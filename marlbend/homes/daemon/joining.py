"""Join the fleet: learn first, then take part.

A joining instance needs a configuration and the other instances before it may
be home to a flow.  It asks the platform, and its peers for what they know, by
the platform's list or, when the platform is out, by the addresses in its
settings.  Only then it announces itself, so its slots know their predecessors.
"""

import asyncio
import time
from collections.abc import Iterator
from typing import Final

from marlbend import VERSION
from marlbend.config.publish import CONFIG_PATH
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.homes.daemon.following import (
    fetch_snapshot,
    take_config,
    take_instances,
)
from marlbend.homes.daemon.state import Instance
from marlbend.homes.daemon.views import enter_view
from marlbend.homes.instances import INSTANCES_PATH
from marlbend.homes.members.prober import announce

__all__ = ('join_fleet',)

RETRY_SECONDS: Final = 0.2
PEERS_ASKED: Final = 3

Contact = tuple[str, int]


async def join_fleet(instance: Instance, seeds: tuple[Contact, ...]) -> None:
    """Learn what is needed, then announce this instance.

    `seeds` are admin endpoints of peers to ask when the platform is out.
    """
    lost = False
    while True:
        try:
            await _ask_platform(instance)
        except MarlbendError as error:
            if not lost:
                emit(Event.PLATFORM_UNAVAILABLE, kind='all', error=error)
            lost = True
        await _ask_peers(instance, seeds)
        if instance.path.active.version:
            break
        await asyncio.sleep(RETRY_SECONDS)
    myself = instance.path.fleet.myself
    announce(instance.prober, myself, time.monotonic())
    enter_view(instance)
    instance.lifecycle.trigger('serve')
    emit(Event.JOINED, name=myself.name, version=VERSION)


async def _ask_platform(instance: Instance) -> None:
    platform = instance.platform
    take_instances(instance, await platform.read(*INSTANCES_PATH))
    take_config(instance, await platform.read(*CONFIG_PATH))


async def _ask_peers(instance: Instance, seeds: tuple[Contact, ...]) -> None:
    answered = 0
    for contact in _contacts(instance, seeds):
        answered += await fetch_snapshot(instance, *contact)
        if answered == PEERS_ASKED:
            return


def _contacts(
    instance: Instance,
    seeds: tuple[Contact, ...],
) -> Iterator[Contact]:
    fleet = instance.path.fleet
    others = [
        (member.address, member.admin_port)
        for member in fleet.member_by_name.values()
        if member.name != fleet.myself.name
    ]
    instance.prober.random.shuffle(others)
    yield from others[: PEERS_ASKED * 2]
    yield from seeds
