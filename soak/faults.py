"""Play a schedule: each kind of fault at its time."""

import asyncio
from collections.abc import Mapping
from random import Random
from types import MappingProxyType
from typing import Final

from bench.store import Faults
from marlbend.clock import steady_seconds
from soak import arrivals, network, platform, processes, upstreams
from soak.parties import Fault
from soak.schedule import Schedule, Step
from soak.world import World

__all__ = ('play_schedule',)

SLOW_SECONDS: Final = 1.0


async def play_schedule(world: World, schedule: Schedule) -> None:
    """Play every step at its time."""
    started = world.judge.started_at
    async with asyncio.TaskGroup() as group:
        for step in schedule.steps:
            wait = started + step.at - steady_seconds()
            await asyncio.sleep(max(wait, 0))
            play = _FAULT_BY_KIND[step.kind]
            group.create_task(_play(play, world, step))


async def _play(play: Fault, world: World, step: Step) -> None:
    await play(world, step, Random(step.luck))


_FAULT_BY_KIND: Final[Mapping[str, Fault]] = MappingProxyType(
    {
        'kill': processes.kill_instance,
        'kill_many': processes.kill_many,
        'stop': processes.stop_instance,
        'pause': processes.pause_instance,
        'reload': processes.reload_settings,
        'move_clock': processes.move_clock,
        'store_down': platform.harm_store(Faults(down=True)),
        'store_busy': platform.harm_store(Faults(busy=True)),
        'store_slow': platform.harm_store(Faults(delay_seconds=SLOW_SECONDS)),
        'store_mute': platform.harm_store(Faults(silent_watches=True)),
        'store_forgets': platform.harm_store(Faults(forget=True)),
        'store_lapses': platform.lapse_entries,
        'store_away': network.turn_away,
        'beats_lost': network.lose_beats,
        'packets_lost': network.lose_packets,
        'cut_domain': network.cut_domain,
        'cut_one_way': network.cut_one_way,
        'crash_upstream': upstreams.crash_upstream,
        'restart_upstream': upstreams.restart_upstream,
        'restart_unseen': upstreams.restart_unseen,
        'pause_upstream': upstreams.pause_upstream,
        'drain_upstream': upstreams.drain_upstream,
        'add_upstream': upstreams.add_upstream,
        'reuse_address': upstreams.reuse_address,
        'spoil_entry': platform.spoil_entry,
        'crowd': arrivals.send_crowd,
        'publish': platform.publish_release,
        'publish_storm': platform.publish_storm,
        'take_domain_out': platform.take_domain_out,
    }
)
