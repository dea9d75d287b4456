"""Harm the ways between instances, to the store and to upstreams."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from random import Random
from typing import Final

from soak.links import Trouble
from soak.parties import disturbing, list_parties, pick_instances
from soak.relays import Manner, set_manner
from soak.schedule import Step
from soak.world import DOMAINS, World

__all__ = (
    'cut_domain',
    'cut_one_way',
    'lose_beats',
    'lose_packets',
    'turn_away',
)

HEAVY_LOSS: Final = 0.4
# Beats that are four a second arrive in another order.
BEAT_DELAY_SECONDS: Final = 1.0
PACKET_DELAY_SECONDS: Final = 0.2


async def turn_away(world: World, step: Step, random: Random) -> None:
    """Harm the way of some instances to the store."""
    manner = random.choice(list(Manner))
    chosen = pick_instances(world, random)
    async with disturbing(world, *list_parties(*chosen)):
        for instance in chosen:
            set_manner(instance.store_relay, manner)
        await asyncio.sleep(step.seconds)
        for instance in chosen:
            set_manner(instance.store_relay, Manner.WELL)


async def lose_beats(world: World, step: Step, random: Random) -> None:
    """Lose, repeat and delay what some instances tell the others."""
    chosen = pick_instances(world, random)
    everyone = world.fleet.by_name
    pairs = [(each.place.name, other) for each in chosen for other in everyone]
    trouble = Trouble(random.random(), HEAVY_LOSS, BEAT_DELAY_SECONDS)
    async with disturbing(world, *list_parties(*chosen)):
        async with _troubled(world, trouble, *pairs):
            await asyncio.sleep(step.seconds)


async def lose_packets(world: World, step: Step, random: Random) -> None:
    """Lose, repeat and reorder packets on their way to some instances."""
    chosen = pick_instances(world, random)
    trouble = Trouble(
        random.uniform(0, HEAVY_LOSS), HEAVY_LOSS, PACKET_DELAY_SECONDS
    )
    ends = [('', each.place.name) for each in chosen]
    async with disturbing(world, *list_parties(*chosen)):
        async with _troubled(world, trouble, *ends):
            await asyncio.sleep(step.seconds)


async def cut_domain(world: World, step: Step, random: Random) -> None:
    """Cut a domain off from the others, both ways."""
    lonely = random.choice(DOMAINS)
    others = [domain for domain in DOMAINS if domain != lonely]
    ends = [(lonely, other) for other in others]
    ends += [(other, lonely) for other in others]
    async with disturbing(world, *_list_around(world, *DOMAINS)):
        async with _troubled(world, Trouble(1), *ends):
            await asyncio.sleep(step.seconds)


async def cut_one_way(world: World, step: Step, random: Random) -> None:
    """Let nothing pass from one domain to another; the way back is well."""
    first, second = random.sample(DOMAINS, 2)
    async with disturbing(world, *_list_around(world, first, second)):
        async with _troubled(world, Trouble(1), (first, second)):
            await asyncio.sleep(step.seconds)


def _list_around(world: World, *domains: str) -> Iterator[str]:
    """Yield the parties of some domains."""
    for instance in world.fleet.by_name.values():
        if instance.place.domain in domains:
            yield from list_parties(instance)
    for host in world.host_by_name.values():
        if host.domain in domains:
            yield host.name


@asynccontextmanager
async def _troubled(
    world: World, trouble: Trouble, *ends: tuple[str, str]
) -> AsyncIterator[None]:
    """Put a trouble on links; one that is there already stays."""
    table = world.fleet.links.trouble_by_ends
    fresh = [each for each in ends if each not in table]
    table.update(dict.fromkeys(fresh, trouble))
    try:
        yield
    finally:
        for each in fresh:
            table.pop(each, None)
