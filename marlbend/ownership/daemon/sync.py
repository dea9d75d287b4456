"""Keep configuration and members in sync with the platform and the peers.

A pending watch counts as a call to the platform, so only two instances of each
failure domain watch it: the owner and the successor of the domain's first hash
slot.  All others compare the version numbers carried on pings, and fetch
anything newer from the instance that has it.  An instance that applies a new
configuration pings a few others at once, so that the version spreads as fast
as pings travel.
"""

import asyncio
import time
from typing import Final

from marlbend.config import Configuration
from marlbend.config.publish import CONFIG_PATH, decode_configuration
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.ownership.active import apply_configuration
from marlbend.ownership.daemon.state import Address, Instance
from marlbend.ownership.daemon.views import apply_view_change
from marlbend.ownership.instances import INSTANCES_PATH, decode_instances
from marlbend.ownership.members import MembershipView, merge_listed_members
from marlbend.ownership.members.failure_detector import (
    announce_config,
    merge_and_gossip,
)
from marlbend.ownership.watch import watch_object
from marlbend.ownership.wire.messages import Snapshot
from marlbend.ownership.wire.rpc import call_snapshot
from marlbend.platform.client import VersionedBody

__all__ = (
    'activate_configuration',
    'apply_stored_configuration',
    'apply_stored_instances',
    'make_snapshot',
    'sync_with_peers',
    'sync_with_platform',
)

CHECK_INTERVAL_SECONDS: Final = 0.1
READER_CHECK_INTERVAL_SECONDS: Final = 0.5
# Membership views may differ for this long before an instance fetches a
# snapshot.
VIEW_MISMATCH_TIMEOUT_SECONDS: Final = 3.0


async def sync_with_platform(instance: Instance) -> None:
    """Watch the platform while this instance is a reader, until cancelled."""
    while True:
        if is_reader(instance.path.view):
            await _watch_while_reader(instance)
        await asyncio.sleep(READER_CHECK_INTERVAL_SECONDS)


async def sync_with_peers(instance: Instance) -> None:
    """Fetch newer state from peers, until cancelled."""
    while True:
        await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        detector = instance.detector
        newer_config_peer = detector.newer_config_peer
        detector.newer_config_peer = None
        if newer_config_peer is not None:
            await _fetch_from(instance, newer_config_peer)
        elif detector.differing_peer is not None:
            await _resolve_view_mismatch(instance, detector.differing_peer)


def is_reader(view: MembershipView) -> bool:
    """Return whether this instance watches the platform for its domain."""
    table = view.hash_slots_by_domain.get(view.myself.domain)
    if table is None:
        return False
    readers = (table.owners[0], table.successors[0])
    return view.myself in readers


def apply_stored_configuration(
    instance: Instance, stored: VersionedBody
) -> None:
    """Apply a configuration read from the platform if it is newer."""
    try:
        document = decode_configuration(stored)
    except MarlbendError as error:
        emit(Event.CONFIG_REJECTED, error=error)
        return
    if stored.revision:
        activate_configuration(instance, stored.version, document)


def apply_stored_instances(instance: Instance, stored: VersionedBody) -> None:
    """Merge the platform's list of instances.

    An invalid list is logged as CONFIG_REJECTED, like an invalid configuration.
    """
    try:
        listed = decode_instances(stored)
    except MarlbendError as error:
        emit(Event.CONFIG_REJECTED, error=error)
        return
    merge_listed_members(instance.path.view, listed, time.monotonic())


def activate_configuration(
    instance: Instance,
    version: int,
    document: Configuration,
) -> None:
    """Apply a newer configuration and propagate its version to peers."""
    now = time.monotonic()
    active = instance.path.active
    if apply_configuration(active, version, document, now):
        instance.config_applied_at = now
        instance.path.view.config_version = active.version
        emit(Event.CONFIG_APPLIED, version=active.version)
        instance.outbox.send_all(
            announce_config(instance.detector, active.version)
        )


def make_snapshot(instance: Instance) -> Snapshot:
    """Return all members and the active configuration, for a peer."""
    active = instance.path.active
    return Snapshot(
        tuple(instance.path.view.member_by_name.values()),
        active.version,
        active.document,
    )


async def fetch_snapshot(
    instance: Instance,
    address: str,
    admin_port: int,
) -> bool:
    """Fetch and apply a peer's snapshot; return whether it responded."""
    try:
        snapshot = await call_snapshot(address, admin_port, address)
    except MarlbendError:
        return False
    now = time.monotonic()
    for member in snapshot.members:
        if member.name != instance.path.view.myself.name:
            merge_and_gossip(instance.detector, member, now)
    apply_view_change(instance)
    if snapshot.config_version:
        activate_configuration(
            instance, snapshot.config_version, snapshot.configuration
        )
    return True


async def _fetch_from(instance: Instance, control: Address) -> None:
    """Fetch a snapshot from the instance with this control address."""
    member = instance.path.view.member_by_control.get(control)
    if member is not None:
        await fetch_snapshot(instance, member.address, member.admin_port)


async def _resolve_view_mismatch(instance: Instance, control: Address) -> None:
    """Fetch a snapshot after too long without a peer that has the same view."""
    detector = instance.detector
    now = time.monotonic()
    if now - detector.last_agreed_at > VIEW_MISMATCH_TIMEOUT_SECONDS:
        detector.differing_peer = None
        detector.last_agreed_at = now
        await _fetch_from(instance, control)


async def _watch_while_reader(instance: Instance) -> None:
    def on_configuration(stored: VersionedBody) -> None:
        apply_stored_configuration(instance, stored)

    def on_instances(stored: VersionedBody) -> None:
        apply_stored_instances(instance, stored)

    callbacks = {CONFIG_PATH: on_configuration, INSTANCES_PATH: on_instances}
    async with asyncio.TaskGroup() as group:
        watches = [
            group.create_task(
                watch_object(
                    instance.platform, path, callback, instance.detector.random
                )
            )
            for path, callback in callbacks.items()
        ]
        while is_reader(instance.path.view):
            await asyncio.sleep(READER_CHECK_INTERVAL_SECONDS)
        for watch in watches:
            watch.cancel()
