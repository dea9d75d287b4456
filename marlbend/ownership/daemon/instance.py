"""Run the background tasks of an instance, from startup to shutdown.

The components are created in `marlbend.ownership.daemon.wiring`.  The event
loop reads packets and control messages.  One task each joins the fleet, syncs
with the platform, syncs with the peers, does periodic housekeeping, probes the
others, hands flows over, replicates overrides and reports loads.
"""

import asyncio
import time
from collections.abc import Coroutine, Iterator
from typing import Final

import msgspec

from marlbend import VERSION
from marlbend.events import Event, emit
from marlbend.observe.meter import measure_control_time
from marlbend.ownership.daemon.joining import AdminEndpoint, join_fleet
from marlbend.ownership.daemon.loads import report_loads
from marlbend.ownership.daemon.replication import replicate_overrides
from marlbend.ownership.daemon.state import Instance
from marlbend.ownership.daemon.sync import sync_with_peers, sync_with_platform
from marlbend.ownership.daemon.transfer import transfer_flows
from marlbend.ownership.daemon.views import apply_view_change
from marlbend.ownership.flows.table import SHARD_COUNT, sweep_shard
from marlbend.ownership.members import MemberState
from marlbend.ownership.members.failure_detector import (
    announce_departure,
    merge_and_gossip,
)
from marlbend.ownership.members.swim import run_probes
from marlbend.ownership.members.view import remove_departed_members
from marlbend.ownership.packets.state import update_clock
from marlbend.ownership.upstreams.load import update_arrival_rates

__all__ = ('run_instance',)

HOUSEKEEPING_INTERVAL_SECONDS: Final = 1.0
PROBE_INTERVAL_SECONDS: Final = 0.05
SHARDS_PER_SWEEP: Final = 8
# A leaving instance counts as drained after this long without a packet and with
# an empty flow table.
QUIET_PERIOD_SECONDS: Final = 1.5
DRAIN_CHECK_INTERVAL_SECONDS: Final = 0.1


async def run_instance(
    instance: Instance,
    seeds: tuple[AdminEndpoint, ...],
) -> None:
    """Run until a graceful shutdown has been requested and is complete."""
    myself = instance.path.view.myself
    emit(Event.STARTED, name=myself.name, version=VERSION)
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(measure_control_time(coroutine, instance.metrics))
            for coroutine in _background_coroutines(instance, seeds)
        ]
        await instance.stop_requested.wait()
        await _shut_down(instance)
        for task in tasks:
            task.cancel()
    instance.lifecycle.trigger('stop')
    emit(Event.STOPPED, flows=len(instance.path.table))


def _background_coroutines(
    instance: Instance,
    seeds: tuple[AdminEndpoint, ...],
) -> Iterator[Coroutine[None, None, None]]:
    yield join_fleet(instance, seeds)
    yield sync_with_platform(instance)
    yield sync_with_peers(instance)
    yield _run_housekeeping(instance)
    yield _run_probes(instance)
    yield transfer_flows(instance)
    yield replicate_overrides(instance)
    yield report_loads(instance)


async def _run_housekeeping(instance: Instance) -> None:
    """Update the clock and rates and expire state, once a second."""
    shard = 0
    while True:
        path = instance.path
        update_clock(path, time.monotonic())
        update_arrival_rates(path.loads)
        remove_departed_members(path.view, path.now)
        for _ in range(SHARDS_PER_SWEEP):
            sweep_shard(path.table, shard, path.tick, instance.timeouts)
            shard = (shard + 1) % SHARD_COUNT
            await asyncio.sleep(0)
        await asyncio.sleep(HOUSEKEEPING_INTERVAL_SECONDS)


async def _run_probes(instance: Instance) -> None:
    while True:
        now = time.monotonic()
        instance.outbox.send_all(run_probes(instance.detector, now))
        apply_view_change(instance)
        instance.path.catching_up = now < instance.detector.catch_up_until
        await asyncio.sleep(PROBE_INTERVAL_SECONDS)


async def _shut_down(instance: Instance) -> None:
    """Give up ownership, wait until drained, then announce being gone."""
    emit(Event.STOP_REQUESTED)
    instance.lifecycle.trigger('leave')
    started = time.monotonic()
    leaving = msgspec.structs.replace(
        instance.path.view.myself, state=MemberState.LEAVING
    )
    merge_and_gossip(instance.detector, leaving, started)
    apply_view_change(instance)
    await _wait_until_drained(instance, started + instance.stop_seconds)
    instance.outbox.send_all(
        announce_departure(instance.detector, time.monotonic())
    )


async def _wait_until_drained(instance: Instance, deadline: float) -> None:
    """Wait for an empty flow table and a quiet period, up to a deadline."""
    quiet_until = time.monotonic() + QUIET_PERIOD_SECONDS
    last_handled = 0
    while time.monotonic() < min(deadline, quiet_until):
        await asyncio.sleep(DRAIN_CHECK_INTERVAL_SECONDS)
        handled = sum(instance.path.counts)
        if handled != last_handled or len(instance.path.table):
            quiet_until = time.monotonic() + QUIET_PERIOD_SECONDS
            last_handled = handled
