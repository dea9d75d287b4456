"""Inject the faults of a schedule at their times."""

import asyncio
from collections.abc import Mapping
from random import Random
from types import MappingProxyType
from typing import Final

from bench.store import Faults
from marlbend.clock import steady_seconds
from soak import load_generator, network, platform, processes, upstreams
from soak.participants import FaultInjector
from soak.run_state import Run
from soak.schedule import Schedule, Step

__all__ = ('inject_faults',)

SLOW_STORE_DELAY_SECONDS: Final = 1.0


async def inject_faults(run: Run, schedule: Schedule) -> None:
    """Start every step of a schedule at its time, and wait for all to end."""
    run_started_at = run.checker.started_at
    async with asyncio.TaskGroup() as group:
        for step in schedule.steps:
            wait = run_started_at + step.at - steady_seconds()
            await asyncio.sleep(max(wait, 0))
            fault = _FAULT_BY_KIND[step.kind]
            group.create_task(_inject(fault, run, step))


async def _inject(fault: FaultInjector, run: Run, step: Step) -> None:
    await fault(run, step, Random(step.luck))


_FAULT_BY_KIND: Final[Mapping[str, FaultInjector]] = MappingProxyType(
    {
        'kill': processes.kill_instance,
        'kill_many': processes.kill_many,
        'stop': processes.stop_instance,
        'pause': processes.pause_instance,
        'reload': processes.reload_settings,
        'move_clock': processes.shift_clock,
        'store_down': platform.degrade_store(Faults(down=True)),
        'store_busy': platform.degrade_store(Faults(busy=True)),
        'store_slow': platform.degrade_store(
            Faults(delay_seconds=SLOW_STORE_DELAY_SECONDS)
        ),
        'store_mute': platform.degrade_store(Faults(silent_watches=True)),
        'store_forgets': platform.degrade_store(Faults(forget=True)),
        'store_lapses': platform.expire_registrations,
        'store_returns': platform.return_from_copy,
        'handshakes_lost': processes.restart_after_lost_handshakes,
        'store_away': network.impair_store_links,
        'beats_lost': network.impair_heartbeats,
        'packets_lost': network.impair_packets,
        'cut_domain': network.partition_domain,
        'cut_one_way': network.partition_one_way,
        'crash_upstream': upstreams.crash_upstream,
        'restart_upstream': upstreams.restart_upstream,
        'restart_unseen': upstreams.restart_unseen,
        'pause_upstream': upstreams.pause_upstream,
        'slow_upstream': upstreams.slow_upstream,
        'drain_upstream': upstreams.drain_upstream,
        'add_upstream': upstreams.add_upstream,
        'reuse_address': upstreams.reuse_address,
        'spoil_entry': platform.write_bad_registration,
        'crowd': load_generator.send_burst,
        'publish': platform.publish_release,
        'publish_storm': platform.publish_storm,
        'take_domain_out': platform.take_domain_out,
    }
)
