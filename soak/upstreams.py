"""Crash, restart, pause, drain, add and replace upstreams."""

import asyncio
from random import Random
from typing import Final

from bench.endpoints.upstreams import (
    UpstreamServer,
    UpstreamState,
    simulate_crash,
)
from marlbend.clock import steady_seconds
from soak.checker import DRAIN_BOUND_SECONDS, QUIET_SECONDS, STORE, exclude
from soak.participants import disturbing, pick_spare_upstream
from soak.run_state import (
    DOMAINS,
    SERVICES,
    Run,
    remove_upstream,
    write_object,
    write_registration,
)
from soak.schedule import Step
from soak.wiring import start_upstream

__all__ = (
    'WARMUP_SECONDS',
    'add_upstream',
    'crash_upstream',
    'drain_upstream',
    'pause_upstream',
    'restart_unseen',
    'restart_upstream',
    'reuse_address',
    'slow_upstream',
)

# The platform removes a registration after three intervals without renewal.
REGISTRATION_EXPIRY_SECONDS: Final = 3.6
WARMUP_SECONDS: Final = 6.0
ADDRESS_REUSE_DELAY_SECONDS: Final = 2.0
STORE_POLL_SECONDS: Final = 0.05
MAX_SLOWDOWN: Final = 20.0


async def crash_upstream(run: Run, step: Step, random: Random) -> None:
    """Crash an upstream; start a new one after its registration expires."""
    upstream = pick_spare_upstream(run, random)
    if upstream is None:
        return
    # This upstream doesn't come back, so its disturbance never ends.
    run.checker.disturbances.begin((upstream.name,))
    simulate_crash(upstream)
    await asyncio.sleep(REGISTRATION_EXPIRY_SECONDS)
    await write_object(run, ('servers', upstream.name), None)
    await start_upstream(run, upstream.service, upstream.domain, WARMUP_SECONDS)


async def restart_upstream(run: Run, step: Step, random: Random) -> None:
    """Restart an upstream under its name once the store is undisturbed.

    Its flows are lost and it is cold; instances learn this only from the store.
    """
    await _restart(run, random, QUIET_SECONDS)


async def restart_unseen(run: Run, step: Step, random: Random) -> None:
    """Restart an upstream even if the store can't inform the instances."""
    await _restart(run, random, 0)


async def _restart(run: Run, random: Random, quiet_seconds: float) -> None:
    """Restart once the store was undisturbed for some seconds, 0: at once."""
    upstream = pick_spare_upstream(run, random)
    if upstream is None:
        return
    async with disturbing(run, upstream.name):
        simulate_crash(upstream)
        await asyncio.sleep(1)
        while quiet_seconds and not run.checker.disturbances.is_quiet(
            quiet_seconds, STORE
        ):
            await asyncio.sleep(STORE_POLL_SECONDS)
        upstream.born += 1
        upstream.state = UpstreamState.READY
        upstream.cold_until = steady_seconds() + WARMUP_SECONDS
        await write_registration(run, upstream)


async def pause_upstream(run: Run, step: Step, random: Random) -> None:
    """Make an upstream unresponsive for the time of a step."""
    upstream = pick_spare_upstream(run, random)
    if upstream is None:
        return
    async with disturbing(run, upstream.name):
        upstream.state = UpstreamState.PAUSED
        await asyncio.sleep(step.seconds)
        if upstream.state is UpstreamState.PAUSED:
            upstream.state = UpstreamState.READY


async def slow_upstream(run: Run, step: Step, random: Random) -> None:
    """Let an upstream take many times as long for each request for a while."""
    upstream = pick_spare_upstream(run, random)
    if upstream is not None:
        upstream.slowdown = random.uniform(2, MAX_SLOWDOWN)
        await asyncio.sleep(step.seconds)
        upstream.slowdown = 1


async def drain_upstream(run: Run, step: Step, random: Random) -> None:
    """Drain and remove an upstream, then start a new one."""
    upstream = pick_spare_upstream(run, random)
    if upstream is not None:
        await _drain_and_remove(
            run, upstream, max(step.seconds, DRAIN_BOUND_SECONDS + 2)
        )
        await start_upstream(
            run, upstream.service, upstream.domain, WARMUP_SECONDS
        )


async def add_upstream(run: Run, step: Step, random: Random) -> None:
    """Start one more upstream, which is cold."""
    service = random.choice(SERVICES)
    await start_upstream(run, service, random.choice(DOMAINS), WARMUP_SECONDS)


async def reuse_address(run: Run, step: Step, random: Random) -> None:
    """Give the address of a removed upstream to one of another service."""
    upstream = pick_spare_upstream(run, random)
    if upstream is None:
        return
    await _drain_and_remove(run, upstream, DRAIN_BOUND_SECONDS + 1)
    await asyncio.sleep(ADDRESS_REUSE_DELAY_SECONDS)
    other = next(each for each in SERVICES if each != upstream.service)
    run.upstream_by_name.pop(upstream.name)
    await start_upstream(
        run, other, upstream.domain, WARMUP_SECONDS, replaced=upstream
    )


async def _drain_and_remove(
    run: Run, upstream: UpstreamServer, seconds: float
) -> None:
    """Drain an upstream for some seconds, then remove it."""
    upstream.state = UpstreamState.DRAINING
    await write_registration(run, upstream)
    exclude(run.checker, upstream.name, DRAIN_BOUND_SECONDS)
    await asyncio.sleep(seconds)
    # This upstream doesn't come back, so its disturbance never ends.
    run.checker.disturbances.begin((upstream.name,))
    await remove_upstream(run, upstream)
