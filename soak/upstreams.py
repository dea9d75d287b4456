"""Crash, restart, pause, drain, add and replace upstreams."""

import asyncio
from random import Random
from typing import Final

from bench.ends.hosts import Host, State, crash_host
from marlbend.clock import steady_seconds
from soak.checker import (
    DRAIN_BOUND_SECONDS,
    QUIET_SECONDS,
    STORE,
    record_exclusion,
)
from soak.participants import disturbing, pick_spare_host
from soak.schedule import Step
from soak.testbed import (
    DOMAINS,
    SERVICES,
    Testbed,
    register_host,
    remove_host,
    write_object,
)
from soak.wiring import add_host

__all__ = (
    'WARMUP_SECONDS',
    'add_upstream',
    'crash_upstream',
    'drain_upstream',
    'pause_upstream',
    'restart_unannounced',
    'restart_upstream',
    'reuse_address',
)

# The platform removes a registration after three intervals without renewal.
REGISTRATION_EXPIRY_SECONDS: Final = 3.6
WARMUP_SECONDS: Final = 6.0
ADDRESS_REUSE_DELAY_SECONDS: Final = 2.0
POLL_SECONDS: Final = 0.05


async def crash_upstream(testbed: Testbed, step: Step, random: Random) -> None:
    """Crash an upstream, and start a new one when its registration expired."""
    host = pick_spare_host(testbed, random)
    if host is None:
        return
    testbed.checker.disturbances.begin((host.name,))
    crash_host(host)
    await asyncio.sleep(REGISTRATION_EXPIRY_SECONDS)
    await write_object(testbed, ('servers', host.name), None)
    await add_host(testbed, host.service, host.domain, WARMUP_SECONDS)


async def restart_upstream(
    testbed: Testbed, step: Step, random: Random
) -> None:
    """Restart an upstream under its name once the store is undisturbed.

    Its flows are lost and it is cold.  Instances learn this only from the
    store.
    """
    await _restart(testbed, random, QUIET_SECONDS)


async def restart_unannounced(
    testbed: Testbed, step: Step, random: Random
) -> None:
    """Restart an upstream even if the store can't inform the instances."""
    await _restart(testbed, random, 0)


async def _restart(
    testbed: Testbed, random: Random, quiet_seconds: float
) -> None:
    """Restart an upstream once the store was undisturbed for some seconds."""
    host = pick_spare_host(testbed, random)
    if host is None:
        return
    async with disturbing(testbed, host.name):
        crash_host(host)
        await asyncio.sleep(1)
        while quiet_seconds and not testbed.checker.disturbances.is_quiet(
            quiet_seconds, STORE
        ):
            await asyncio.sleep(POLL_SECONDS)
        host.born += 1
        host.state = State.READY
        host.cold_until = steady_seconds() + WARMUP_SECONDS
        await register_host(testbed, host)


async def pause_upstream(testbed: Testbed, step: Step, random: Random) -> None:
    """Make an upstream unresponsive for the time of a step."""
    host = pick_spare_host(testbed, random)
    if host is None:
        return
    async with disturbing(testbed, host.name):
        host.state = State.PAUSED
        await asyncio.sleep(step.seconds)
        if host.state is State.PAUSED:
            host.state = State.READY


async def drain_upstream(testbed: Testbed, step: Step, random: Random) -> None:
    """Drain and remove an upstream, then start a new one."""
    host = pick_spare_host(testbed, random)
    if host is not None:
        await _drain_and_remove(
            testbed, host, max(step.seconds, DRAIN_BOUND_SECONDS + 2)
        )
        await add_host(testbed, host.service, host.domain, WARMUP_SECONDS)


async def add_upstream(testbed: Testbed, step: Step, random: Random) -> None:
    """Start one more upstream, which is cold."""
    service = random.choice(SERVICES)
    await add_host(testbed, service, random.choice(DOMAINS), WARMUP_SECONDS)


async def reuse_address(testbed: Testbed, step: Step, random: Random) -> None:
    """Give the address of a removed upstream to one of another service."""
    host = pick_spare_host(testbed, random)
    if host is None:
        return
    await _drain_and_remove(testbed, host, DRAIN_BOUND_SECONDS + 1)
    await asyncio.sleep(ADDRESS_REUSE_DELAY_SECONDS)
    other = next(each for each in SERVICES if each != host.service)
    testbed.host_by_name.pop(host.name)
    await add_host(testbed, other, host.domain, WARMUP_SECONDS, replaced=host)


async def _drain_and_remove(
    testbed: Testbed, host: Host, seconds: float
) -> None:
    """Drain an upstream, wait for its flows to end, and remove it."""
    host.state = State.DRAINING
    await register_host(testbed, host)
    record_exclusion(testbed.checker, host.name, DRAIN_BOUND_SECONDS)
    await asyncio.sleep(seconds)
    testbed.checker.disturbances.begin((host.name,))
    await remove_host(testbed, host)
