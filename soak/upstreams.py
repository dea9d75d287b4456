"""Crash, restart, pause, drain, add and replace upstreams."""

import asyncio
from random import Random
from typing import Final

from bench.endpoints.upstreams import HostState, UpstreamHost, crash_host
from marlbend.clock import steady_seconds
from soak.judge import CONTACT_SECONDS, CORE, LEAVE_SECONDS, take_out
from soak.parties import disturbing, pick_spare
from soak.schedule import Step
from soak.wiring import add_host
from soak.world import DOMAINS, SERVICES, World, put, remove_host, write_entry

__all__ = (
    'COLD_SECONDS',
    'add_upstream',
    'crash_upstream',
    'drain_upstream',
    'pause_upstream',
    'restart_unseen',
    'restart_upstream',
    'reuse_address',
)

# The platform removes an entry after three intervals of silence.
EXPIRY_SECONDS: Final = 3.6
COLD_SECONDS: Final = 6.0
REUSE_SECONDS: Final = 2.0
POLL_SECONDS: Final = 0.05


async def crash_upstream(world: World, step: Step, random: Random) -> None:
    """End an upstream without a word; a new one follows."""
    host = pick_spare(world, random)
    if host is None:
        return
    world.judge.peace.disturb((host.name,))
    crash_host(host)
    await asyncio.sleep(EXPIRY_SECONDS)
    await put(world, ('servers', host.name), None)
    await add_host(world, host.service, host.domain, COLD_SECONDS)


async def restart_upstream(world: World, step: Step, random: Random) -> None:
    """Start an upstream again under its name, once the store can say so.

    Its flows are gone and it is cold, which nothing else tells.
    """
    await _restart(world, random, CONTACT_SECONDS)


async def restart_unseen(world: World, step: Step, random: Random) -> None:
    """Start an upstream again, whether the store is well or not."""
    await _restart(world, random, 0)


async def _restart(world: World, random: Random, calm_seconds: float) -> None:
    """Start an upstream again when the store has been well for so long."""
    host = pick_spare(world, random)
    if host is None:
        return
    async with disturbing(world, host.name):
        crash_host(host)
        await asyncio.sleep(1)
        while calm_seconds and not world.judge.peace.holds(calm_seconds, CORE):
            await asyncio.sleep(POLL_SECONDS)
        host.born += 1
        host.state = HostState.READY
        host.cold_until = steady_seconds() + COLD_SECONDS
        await write_entry(world, host)


async def pause_upstream(world: World, step: Step, random: Random) -> None:
    """Let an upstream fall silent for a while."""
    host = pick_spare(world, random)
    if host is None:
        return
    async with disturbing(world, host.name):
        host.state = HostState.PAUSED
        await asyncio.sleep(step.seconds)
        if host.state is HostState.PAUSED:
            host.state = HostState.READY


async def drain_upstream(world: World, step: Step, random: Random) -> None:
    """Take an upstream out in good order; a new one follows."""
    host = pick_spare(world, random)
    if host is not None:
        await _leave(world, host, max(step.seconds, LEAVE_SECONDS + 2))
        await add_host(world, host.service, host.domain, COLD_SECONDS)


async def add_upstream(world: World, step: Step, random: Random) -> None:
    """Start one more upstream, which is cold."""
    service = random.choice(SERVICES)
    await add_host(world, service, random.choice(DOMAINS), COLD_SECONDS)


async def reuse_address(world: World, step: Step, random: Random) -> None:
    """Give the address of an upstream that left to another service."""
    host = pick_spare(world, random)
    if host is None:
        return
    await _leave(world, host, LEAVE_SECONDS + 1)
    await asyncio.sleep(REUSE_SECONDS)
    other = next(each for each in SERVICES if each != host.service)
    world.host_by_name.pop(host.name)
    await add_host(world, other, host.domain, COLD_SECONDS, reused=host)


async def _leave(world: World, host: UpstreamHost, seconds: float) -> None:
    """Drain an upstream, wait for its flows, and end it."""
    host.state = HostState.DRAINING
    await write_entry(world, host)
    take_out(world.judge, host.name, LEAVE_SECONDS)
    await asyncio.sleep(seconds)
    world.judge.peace.disturb((host.name,))
    await remove_host(world, host)
