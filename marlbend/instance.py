"""Run one instance: its tasks, from the first socket to the last flow.

The parts are wired in `marlbend.main`.  Here they are set in motion: packets
and probes are read by the event loop, and one task each follows the
configuration, follows the list of instances, keeps time, probes the others
and hands flows over.
"""

import asyncio
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import Final, final

import msgspec
from transitions import Machine

from marlbend import VERSION
from marlbend.config import apply_configuration
from marlbend.config.publish import CONFIG_PATH, decode_configuration
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.flows.handover import take_groups
from marlbend.flows.table import SHARD_COUNT, Timeouts, sweep_shard
from marlbend.members import MemberState, apply_members
from marlbend.members.fleet import CHASE_SECONDS
from marlbend.members.probe import Letter, Prober, announce, step
from marlbend.packets import PacketPath
from marlbend.platform import Platform, StoredObject, follow_object
from marlbend.platform.instances import INSTANCES_PATH, decode_instances
from marlbend.transfer import Transfer, transfer_flows
from marlbend.wire.messages import HandOver, HandOverReply

__all__ = ('Instance', 'run_instance', 'take_hand_over')

TICK_SECONDS: Final = 1.0
STEP_SECONDS: Final = 0.05
SHARDS_A_TICK: Final = 8
# Others may go on sending for this long after an instance began to leave.
QUIET_SECONDS: Final = 2.0
POLL_SECONDS: Final = 0.1


@final
class Instance:
    """Hold the wired parts of one instance.

    `config_since` is the monotonic time at which the configuration in force
    was put in force; `stop_asked` starts the graceful shutdown.
    """

    __slots__ = (
        'config_since',
        'lifecycle',
        'path',
        'platform',
        'prober',
        'send_letters',
        'stop_asked',
        'stop_seconds',
        'timeouts',
    )

    def __init__(
        self,
        path: PacketPath,
        prober: Prober,
        platform: Platform,
        lifecycle: Machine,
        send_letters: Callable[[Iterable[Letter]], None],
    ) -> None:
        """Wire the parts."""
        self.path = path
        self.prober = prober
        self.platform = platform
        self.lifecycle = lifecycle
        self.send_letters = send_letters
        self.stop_asked = asyncio.Event()
        self.stop_seconds: float = 0
        self.timeouts = Timeouts(0, 0, 0)
        self.config_since: float = 0


async def run_instance(instance: Instance) -> None:
    """Work until a graceful shutdown has been asked for and is complete."""
    _enter_fleet(instance)
    random = instance.prober.random
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(_follow_config(instance, random)),
            group.create_task(_follow_instances(instance, random)),
            group.create_task(_tick(instance)),
            group.create_task(_probe(instance)),
            group.create_task(transfer_flows(Transfer(instance.path))),
        ]
        await instance.stop_asked.wait()
        await _leave(instance)
        for task in tasks:
            task.cancel()
    await instance.platform.aclose()
    instance.lifecycle.trigger('stop')
    emit(Event.STOPPED, flows=len(instance.path.table))


def _enter_fleet(instance: Instance) -> None:
    keep_time(instance.path)
    myself = instance.path.fleet.myself
    announce(instance.prober, myself, instance.path.now)
    emit(Event.STARTED, name=myself.name, version=VERSION)


def keep_time(path: PacketPath) -> None:
    """Move the coarse clock of the packet path."""
    path.now = time.monotonic()
    path.tick = int(path.now)


def take_hand_over(path: PacketPath, message: HandOver) -> HandOverReply:
    """Take the flows that another instance gives."""
    taken = take_groups(path.active, path.table, message.groups, path.tick)
    emit(Event.HANDOVER_TAKEN, flows=taken, name=message.sender.name)
    return HandOverReply(taken)


async def _follow_config(instance: Instance, random: Random) -> None:
    def take(stored: StoredObject) -> None:
        try:
            document = decode_configuration(stored)
        except MarlbendError as error:
            emit(Event.CONFIG_REFUSED, error=error)
            return
        now = time.monotonic()
        active = instance.path.active
        if apply_configuration(
            active, stored.version, document, now + CHASE_SECONDS
        ):
            instance.config_since = now
            emit(Event.CONFIG_IN_FORCE, version=stored.version)
            _start_serving(instance)
        else:
            emit(
                Event.CONFIG_STALE,
                version=stored.version,
                current=active.version,
            )

    await follow_object(instance.platform, CONFIG_PATH, take, random)


def _start_serving(instance: Instance) -> None:
    if instance.lifecycle.is_state('joining', instance.lifecycle):
        instance.lifecycle.trigger('serve')


async def _follow_instances(instance: Instance, random: Random) -> None:
    def take(stored: StoredObject) -> None:
        try:
            listed = decode_instances(stored)
        except MarlbendError as error:
            emit(Event.CONFIG_REFUSED, error=error)
            return
        apply_members(instance.path.fleet, listed, time.monotonic())

    await follow_object(instance.platform, INSTANCES_PATH, take, random)


async def _tick(instance: Instance) -> None:
    shard = 0
    while True:
        await asyncio.sleep(TICK_SECONDS)
        path = instance.path
        keep_time(path)
        for _ in range(SHARDS_A_TICK):
            sweep_shard(path.table, shard, path.tick, instance.timeouts)
            shard = (shard + 1) % SHARD_COUNT
            await asyncio.sleep(0)


async def _probe(instance: Instance) -> None:
    while True:
        instance.send_letters(step(instance.prober, time.monotonic()))
        await asyncio.sleep(STEP_SECONDS)


async def _leave(instance: Instance) -> None:
    """Stop being a home, hand every flow over, wait for silence."""
    emit(Event.STOP_ASKED)
    instance.lifecycle.trigger('leave')
    myself = instance.path.fleet.myself
    started = time.monotonic()
    leaving = msgspec.structs.replace(myself, state=MemberState.LEAVING)
    announce(instance.prober, leaving, started)
    deadline = started + instance.stop_seconds
    quiet_since = started
    seen = 0
    while time.monotonic() < deadline:
        await asyncio.sleep(POLL_SECONDS)
        handled = sum(instance.path.counts)
        if handled != seen or len(instance.path.table):
            quiet_since = time.monotonic()
            seen = handled
        if time.monotonic() - quiet_since >= QUIET_SECONDS:
            return
