"""Crash, restart, pause, drain, add and replace upstreams."""

import asyncio
from random import Random
from typing import Final

from bench.endpoints.upstreams import HostState, UpstreamHost, crash_host
from marlbend.clock import steady_seconds
from soak.checker import DRAIN_BOUND_SECONDS, QUIET_SECONDS, STORE, exclude
from soak.participants import disturbing, pick_spare_host
from soak.run_state import (
    DOMAINS,
    SERVICES,
    Run,
    register_host,
    remove_host,
    write_object,
)
from soak.schedule import Step
from soak.wiring import add_host

__all__ = (
    'WARMUP_SECONDS',
    'add_upstream',
    'crash_upstream',
    'drain_upstream',
    'pause_upstream',
    'restart_unseen',
    'restart_upstream',
    'reuse_address',
)

# The platform removes a registration after three intervals without renewal.
REGISTRATION_EXPIRY_SECONDS: Final = 3.6
WARMUP_SECONDS: Final = 6.0
ADDRESS_REUSE_DELAY_SECONDS: Final = 2.0
POLL_SECONDS: Final = 0.05


async def crash_upstream(run: Run, step: Step, random: Random) -> None:
    """Crash an upstream, and start a new one when its registration expired."""
    host = pick_spare_host(run, random)
    if host is None:
        return
    run.checker.disturbances.begin((host.name,))
    crash_host(host)
    await asyncio.sleep(REGISTRATION_EXPIRY_SECONDS)
    await write_object(run, ('servers', host.name), None)
    await add_host(run, host.service, host.domain, WARMUP_SECONDS)


async def restart_upstream(run: Run, step: Step, random: Random) -> None:
    """Restart an upstream under its name once the store is undisturbed.

    Its flows are lost and it is cold; instances learn this only from the store.
    """
    await _restart(run, random, QUIET_SECONDS)


async def restart_unseen(run: Run, step: Step, random: Random) -> None:
    """Restart an upstream even if the store can't inform the instances."""
    await _restart(run, random, 0)


async def _restart(run: Run, random: Random, quiet_seconds: float) -> None:
    """Restart an upstream once the store was undisturbed for some seconds."""
    host = pick_spare_host(run, random)
    if host is None:
        return
    async with disturbing(run, host.name):
        crash_host(host)
        await asyncio.sleep(1)
        while quiet_seconds and not run.checker.disturbances.is_quiet(
            quiet_seconds, STORE
        ):
            await asyncio.sleep(POLL_SECONDS)
        host.born += 1
        host.state = HostState.READY
        host.cold_until = steady_seconds() + WARMUP_SECONDS
        await register_host(run, host)


async def pause_upstream(run: Run, step: Step, random: Random) -> None:
    """Make an upstream unresponsive for the time of a step."""
    host = pick_spare_host(run, random)
    if host is None:
        return
    async with disturbing(run, host.name):
        host.state = HostState.PAUSED
        await asyncio.sleep(step.seconds)
        if host.state is HostState.PAUSED:
            host.state = HostState.READY


async def drain_upstream(run: Run, step: Step, random: Random) -> None:
    """Drain and remove an upstream, then start a new one."""
    host = pick_spare_host(run, random)
    if host is not None:
        await _drain_host(run, host, max(step.seconds, DRAIN_BOUND_SECONDS + 2))
        await add_host(run, host.service, host.domain, WARMUP_SECONDS)


async def add_upstream(run: Run, step: Step, random: Random) -> None:
    """Start one more upstream, which is cold."""
    service = random.choice(SERVICES)
    await add_host(run, service, random.choice(DOMAINS), WARMUP_SECONDS)


async def reuse_address(run: Run, step: Step, random: Random) -> None:
    """Give the address of a removed upstream to one of another service."""
    host = pick_spare_host(run, random)
    if host is None:
        return
    await _drain_host(run, host, DRAIN_BOUND_SECONDS + 1)
    await asyncio.sleep(ADDRESS_REUSE_DELAY_SECONDS)
    other = next(each for each in SERVICES if each != host.service)
    run.host_by_name.pop(host.name)
    await add_host(run, other, host.domain, WARMUP_SECONDS, replaced=host)


async def _drain_host(run: Run, host: UpstreamHost, seconds: float) -> None:
    """Drain an upstream, wait for its flows to end, and remove it."""
    host.state = HostState.DRAINING
    await register_host(run, host)
    exclude(run.checker, host.name, DRAIN_BOUND_SECONDS)
    await asyncio.sleep(seconds)
    run.checker.disturbances.begin((host.name,))
    await remove_host(run, host)
