"""Impair the network between instances, the store, callers and upstreams."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from random import Random
from typing import Final

from soak.links import Impairment
from soak.participants import disturbance_keys, disturbing, pick_instances
from soak.proxies import FaultMode, set_fault_mode
from soak.run_state import DOMAINS, Run
from soak.schedule import Step

__all__ = (
    'impair_heartbeats',
    'impair_packets',
    'impair_store_links',
    'partition_domain',
    'partition_one_way',
)

# Share of datagrams duplicated, and the largest share of packets lost.
HEAVY_SHARE: Final = 0.4
# Heartbeats are sent four times a second, so this delay reorders them.
MAX_HEARTBEAT_DELAY_SECONDS: Final = 1.0
MAX_PACKET_DELAY_SECONDS: Final = 0.2


async def impair_store_links(run: Run, step: Step, random: Random) -> None:
    """Impair the connections of some instances to the store."""
    # `NORMAL` may be drawn: nothing is impaired, but instances are disturbed.
    fault_mode = random.choice(list(FaultMode))
    chosen = pick_instances(run, random)
    async with disturbing(run, *disturbance_keys(*chosen)):
        for instance in chosen:
            set_fault_mode(instance.store_proxy, fault_mode)
        await asyncio.sleep(step.seconds)
        for instance in chosen:
            set_fault_mode(instance.store_proxy, FaultMode.NORMAL)


async def impair_heartbeats(run: Run, step: Step, random: Random) -> None:
    """Lose, duplicate and delay datagrams from some instances to others."""
    chosen = pick_instances(run, random)
    names = run.fleet.by_name
    pairs = [(each.node.name, other) for each in chosen for other in names]
    impairment = Impairment(
        random.random(), HEAVY_SHARE, MAX_HEARTBEAT_DELAY_SECONDS
    )
    async with disturbing(run, *disturbance_keys(*chosen)):
        async with _impaired(run, impairment, *pairs):
            await asyncio.sleep(step.seconds)


async def impair_packets(run: Run, step: Step, random: Random) -> None:
    """Lose, duplicate and reorder packets to some instances."""
    chosen = pick_instances(run, random)
    impairment = Impairment(
        random.uniform(0, HEAVY_SHARE), HEAVY_SHARE, MAX_PACKET_DELAY_SECONDS
    )
    keys = [('', each.node.name) for each in chosen]
    async with disturbing(run, *disturbance_keys(*chosen)):
        async with _impaired(run, impairment, *keys):
            await asyncio.sleep(step.seconds)


async def partition_domain(run: Run, step: Step, random: Random) -> None:
    """Partition one domain from the others in both directions."""
    isolated = random.choice(DOMAINS)
    others = [domain for domain in DOMAINS if domain != isolated]
    keys = [(isolated, other) for other in others]
    keys += [(other, isolated) for other in others]
    async with disturbing(run, *_disturbance_keys_in(run, *DOMAINS)):
        async with _impaired(run, Impairment(1), *keys):
            await asyncio.sleep(step.seconds)


async def partition_one_way(run: Run, step: Step, random: Random) -> None:
    """Drop everything from one domain to another, in that direction only."""
    source, destination = random.sample(DOMAINS, 2)
    async with disturbing(run, *_disturbance_keys_in(run, source, destination)):
        async with _impaired(run, Impairment(1), (source, destination)):
            await asyncio.sleep(step.seconds)


def _disturbance_keys_in(run: Run, *domains: str) -> Iterator[str]:
    """Yield the keys of the instances and upstreams in some domains."""
    for instance in run.fleet.by_name.values():
        if instance.node.domain in domains:
            yield from disturbance_keys(instance)
    for upstream in run.upstream_by_name.values():
        if upstream.domain in domains:
            yield upstream.name


@asynccontextmanager
async def _impaired(
    run: Run, impairment: Impairment, *keys: tuple[str, str]
) -> AsyncIterator[None]:
    """Impair links within the context, except those impaired already."""
    active = run.fleet.links.impairment_by_link
    added = [each for each in keys if each not in active]
    active.update(dict.fromkeys(added, impairment))
    try:
        yield
    finally:
        for each in added:
            active.pop(each, None)
