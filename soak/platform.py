"""Harm the store, and do what operators do there."""

import asyncio
from random import Random
from typing import Final

from bench.endpoints.upstreams import HostState, UpstreamHost
from bench.store import Faults, put_object, set_faults
from marlbend.clock import steady_seconds
from soak.judge import CORE, DOMAIN_SECONDS, take_out
from soak.parties import Fault, disturbing, pick_hosts
from soak.schedule import Step
from soak.upstreams import COLD_SECONDS
from soak.world import DOMAINS, NAME, SERVICES, World, publish, put, write_entry

__all__ = (
    'harm_store',
    'lapse_entries',
    'publish_release',
    'publish_storm',
    'spoil_entry',
    'take_domain_out',
)

# Entries are back within two seconds of the store's return.
RETURN_SECONDS: Final = 1.5
RELEASES_IN_STORM: Final = 6
STORM_PAUSE_SECONDS: Final = 0.15
NAMES: Final = 1_000_000
# Of a wrong type, empty, and of no service, address and state.
_Spec = dict[str, object]
SPOILED: Final[tuple[_Spec, ...]] = (
    {'service': 7},
    {},
    {'service': SERVICES[0], 'address': 'nowhere', 'state': 'odd'},
)


def harm_store(faults: Faults) -> Fault:
    """Return a fault that keeps the store unwell."""

    async def play(world: World, step: Step, random: Random) -> None:
        async with disturbing(world, CORE):
            await set_faults(world.store, faults)
            await asyncio.sleep(step.seconds)
            await set_faults(world.store, Faults())

    return play


async def lapse_entries(world: World, step: Step, random: Random) -> None:
    """Let registrations lapse while the store is away; they come back."""
    async with disturbing(world, CORE):
        await set_faults(world.store, Faults(down=True))
        await asyncio.sleep(step.seconds)
        serving = pick_hosts(world)
        lapsed = random.sample(serving, len(serving) // 2)
        for host in lapsed:
            await _expire(world, host)
        await set_faults(world.store, Faults())
        await asyncio.sleep(random.uniform(0, RETURN_SECONDS))
        for host in lapsed:
            if host.state is HostState.READY:
                await write_entry(world, host)


async def _expire(world: World, host: UpstreamHost) -> None:
    """Remove a registration as the store does by itself."""
    path = ('servers', host.name)
    if path in world.store.object_by_path:
        await put_object(world.store, path, None)


async def spoil_entry(world: World, step: Step, random: Random) -> None:
    """Let another writer leave what is no registration."""
    number = random.randrange(NAMES)
    path = ('servers', NAME.format(number))
    await put(world, path, random.choice(SPOILED))
    await asyncio.sleep(step.seconds)
    await put(world, path, None)


async def publish_release(world: World, step: Step, random: Random) -> None:
    """Publish one release."""
    await publish(world)


async def publish_storm(world: World, step: Step, random: Random) -> None:
    """Publish releases in quick succession."""
    for _ in range(RELEASES_IN_STORM):
        await publish(world)
        await asyncio.sleep(STORM_PAUSE_SECONDS)


async def take_domain_out(world: World, step: Step, random: Random) -> None:
    """Take a domain out, and back with upstreams that are cold."""
    domain = random.choice(DOMAINS)
    if domain in world.domains_out:
        return
    world.domains_out.add(domain)
    await put(world, ('evacuations', domain), {})
    take_out(world.judge, domain, DOMAIN_SECONDS)
    await asyncio.sleep(step.seconds)
    for host in pick_hosts(world):
        if host.domain == domain:
            host.cold_until = steady_seconds() + COLD_SECONDS
            await write_entry(world, host)
    world.judge.out_by_name.pop(domain, None)
    await put(world, ('evacuations', domain), None)
    world.domains_out.discard(domain)
