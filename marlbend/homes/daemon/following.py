"""Learn the configuration and the instances, from platform and peers.

A waiting watch counts as a call to the platform, so only two instances of each
failure domain watch: the owner and the heir of the domain's first slot.  All
others learn from the version numbers that travel on pings, and fetch what is
newer from the instance that has it.  Whoever puts a new configuration in force
pings a few others at once, so that it spreads as fast as pings travel.
"""

import asyncio
import time
from typing import Final

from marlbend.config import Configuration
from marlbend.config.publish import CONFIG_PATH, decode_configuration
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.homes.active import apply_configuration
from marlbend.homes.daemon.state import Address, Instance
from marlbend.homes.daemon.views import enter_view
from marlbend.homes.follow import follow_object
from marlbend.homes.instances import INSTANCES_PATH, decode_instances
from marlbend.homes.members import Fleet, note_listed
from marlbend.homes.members.prober import announce, spread_config
from marlbend.homes.wire.messages import Snapshot
from marlbend.homes.wire.rpc import call_snapshot
from marlbend.platform.client import VersionedBody

__all__ = (
    'follow_peers',
    'follow_platform',
    'make_snapshot',
    'put_in_force',
    'take_config',
    'take_instances',
)

POLL_SECONDS: Final = 0.1
ROLE_SECONDS: Final = 0.5
# Views may differ for this long before one instance asks another for all.
DIFFERENCE_SECONDS: Final = 3.0


async def follow_platform(instance: Instance) -> None:
    """Watch the platform while this instance is a reader, until cancelled."""
    while True:
        if is_reader(instance.path.fleet):
            await _watch_while_reader(instance)
        await asyncio.sleep(ROLE_SECONDS)


async def follow_peers(instance: Instance) -> None:
    """Fetch from others what they have newer, until cancelled."""
    while True:
        await asyncio.sleep(POLL_SECONDS)
        prober = instance.prober
        newer = prober.newer
        prober.newer = None
        if newer is not None:
            await _fetch(instance, newer)
        elif prober.differing is not None:
            await _settle_difference(instance, prober.differing)


def is_reader(fleet: Fleet) -> bool:
    """Tell whether this instance watches the platform for its domain."""
    table = fleet.slots_by_domain.get(fleet.myself.domain)
    if table is None:
        return False
    readers = (table.owners[0], table.heirs[0])
    return fleet.myself in readers


def take_config(instance: Instance, stored: VersionedBody) -> None:
    """Put a configuration of the platform in force if it is newer."""
    try:
        document = decode_configuration(stored)
    except MarlbendError as error:
        emit(Event.CONFIG_REFUSED, error=error)
        return
    if stored.version:
        put_in_force(instance, stored.version, document)


def take_instances(instance: Instance, stored: VersionedBody) -> None:
    """Take the platform's list of instances."""
    try:
        listed = decode_instances(stored)
    except MarlbendError as error:
        emit(Event.CONFIG_REFUSED, error=error)
        return
    note_listed(instance.path.fleet, listed, time.monotonic())


def put_in_force(
    instance: Instance,
    version: int,
    document: Configuration,
) -> None:
    """Put a configuration in force unless it is old, and spread it."""
    now = time.monotonic()
    active = instance.path.active
    if apply_configuration(active, version, document, now):
        instance.config_since = now
        instance.path.fleet.config_version = version
        emit(Event.CONFIG_IN_FORCE, version=version)
        instance.outbox.send_letters(spread_config(instance.prober, version))


def make_snapshot(instance: Instance) -> Snapshot:
    """Return what a joining instance needs to know."""
    active = instance.path.active
    return Snapshot(
        tuple(instance.path.fleet.member_by_name.values()),
        active.version,
        active.document,
    )


async def fetch_snapshot(
    instance: Instance,
    address: str,
    admin_port: int,
) -> bool:
    """Take all that another instance knows; tell if it answered."""
    try:
        snapshot = await call_snapshot(address, admin_port, address)
    except MarlbendError:
        return False
    now = time.monotonic()
    for member in snapshot.members:
        if member.name != instance.path.fleet.myself.name:
            announce(instance.prober, member, now)
    enter_view(instance)
    if snapshot.config_version:
        put_in_force(instance, snapshot.config_version, snapshot.configuration)
    return True


async def _fetch(instance: Instance, control: Address) -> None:
    """Fetch from the instance behind a control address."""
    member = instance.path.fleet.member_by_control.get(control)
    if member is not None:
        await fetch_snapshot(instance, member.address, member.admin_port)


async def _settle_difference(instance: Instance, control: Address) -> None:
    prober = instance.prober
    now = time.monotonic()
    if now - prober.agreed_at > DIFFERENCE_SECONDS:
        prober.differing = None
        prober.agreed_at = now
        await _fetch(instance, control)


async def _watch_while_reader(instance: Instance) -> None:
    def on_config(stored: VersionedBody) -> None:
        take_config(instance, stored)

    def on_instances(stored: VersionedBody) -> None:
        take_instances(instance, stored)

    takers = {CONFIG_PATH: on_config, INSTANCES_PATH: on_instances}
    async with asyncio.TaskGroup() as group:
        watches = [
            group.create_task(
                follow_object(
                    instance.platform, path, take, instance.prober.random
                )
            )
            for path, take in takers.items()
        ]
        while is_reader(instance.path.fleet):
            await asyncio.sleep(ROLE_SECONDS)
        for watch in watches:
            watch.cancel()
