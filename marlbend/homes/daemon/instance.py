"""Run one instance: its tasks, from the first socket to the last flow.

The parts are wired in `marlbend.main`.  Here they are set in motion: packets
and control messages are read by the event loop, and one task each joins the
fleet, follows the platform, follows the peers, keeps time, probes the others,
hands flows over, copies departures and reports loads.
"""

import asyncio
import time
from collections.abc import Coroutine, Iterator
from typing import Final

import msgspec

from marlbend import VERSION
from marlbend.events import Event, emit
from marlbend.homes.daemon.following import follow_peers, follow_platform
from marlbend.homes.daemon.joining import Contact, join_fleet
from marlbend.homes.daemon.loads import report_loads
from marlbend.homes.daemon.replication import replicate_departures
from marlbend.homes.daemon.state import Instance
from marlbend.homes.daemon.transfer import transfer_flows
from marlbend.homes.daemon.views import enter_view
from marlbend.homes.flows.table import SHARD_COUNT, sweep_shard
from marlbend.homes.members import MemberState
from marlbend.homes.members.fleet import forget_departed
from marlbend.homes.members.probe import step
from marlbend.homes.members.prober import announce, farewell
from marlbend.homes.packets.state import update_clock
from marlbend.homes.upstreams.load import update_arrival_rates
from marlbend.observe.meter import measure_control_time

__all__ = ('run_instance',)

TICK_SECONDS: Final = 1.0
STEP_SECONDS: Final = 0.05
SHARDS_A_TICK: Final = 8
# Others may go on sending for this long after an instance began to leave.
QUIET_SECONDS: Final = 1.5
POLL_SECONDS: Final = 0.1


async def run_instance(
    instance: Instance,
    seeds: tuple[Contact, ...],
) -> None:
    """Work until a graceful shutdown has been asked for and is complete."""
    myself = instance.path.fleet.myself
    emit(Event.STARTED, name=myself.name, version=VERSION)
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(measure_control_time(work, instance.metrics))
            for work in _list_work(instance, seeds)
        ]
        await instance.stop_asked.wait()
        await _leave(instance)
        for task in tasks:
            task.cancel()
    instance.lifecycle.trigger('stop')
    emit(Event.STOPPED, flows=len(instance.path.table))


def _list_work(
    instance: Instance,
    seeds: tuple[Contact, ...],
) -> Iterator[Coroutine[None, None, None]]:
    yield join_fleet(instance, seeds)
    yield follow_platform(instance)
    yield follow_peers(instance)
    yield _tick(instance)
    yield _probe(instance)
    yield transfer_flows(instance)
    yield replicate_departures(instance)
    yield report_loads(instance)


async def _tick(instance: Instance) -> None:
    shard = 0
    while True:
        path = instance.path
        update_clock(path, time.monotonic())
        update_arrival_rates(path.loads)
        forget_departed(path.fleet, path.now)
        for _ in range(SHARDS_A_TICK):
            sweep_shard(path.table, shard, path.tick, instance.timeouts)
            shard = (shard + 1) % SHARD_COUNT
            await asyncio.sleep(0)
        await asyncio.sleep(TICK_SECONDS)


async def _probe(instance: Instance) -> None:
    while True:
        now = time.monotonic()
        instance.outbox.send_letters(step(instance.prober, now))
        enter_view(instance)
        instance.path.catching_up = now < instance.prober.caught_up_at
        await asyncio.sleep(STEP_SECONDS)


async def _leave(instance: Instance) -> None:
    """Stop being a home, hand every flow over, wait for silence."""
    emit(Event.STOP_ASKED)
    instance.lifecycle.trigger('leave')
    started = time.monotonic()
    leaving = msgspec.structs.replace(
        instance.path.fleet.myself, state=MemberState.LEAVING
    )
    announce(instance.prober, leaving, started)
    enter_view(instance)
    await _wait_for_silence(instance, started + instance.stop_seconds)
    instance.outbox.send_letters(farewell(instance.prober, time.monotonic()))


async def _wait_for_silence(instance: Instance, deadline: float) -> None:
    quiet_until = time.monotonic() + QUIET_SECONDS
    seen = 0
    while time.monotonic() < min(deadline, quiet_until):
        await asyncio.sleep(POLL_SECONDS)
        handled = sum(instance.path.counts)
        if handled != seen or len(instance.path.table):
            quiet_until = time.monotonic() + QUIET_SECONDS
            seen = handled
