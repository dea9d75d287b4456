"""Choose whom a fault hits, and tell the judge who is disturbed."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from random import Random

from bench.endpoints.upstreams import HostState, UpstreamHost
from soak.fleet import Instance
from soak.schedule import Step
from soak.world import World

__all__ = (
    'Fault',
    'disturbing',
    'list_parties',
    'pick_hosts',
    'pick_instance',
    'pick_instances',
    'pick_spare',
)

Fault = Callable[[World, Step, Random], Awaitable[None]]


@asynccontextmanager
async def disturbing(world: World, *names: str) -> AsyncIterator[None]:
    """Tell the judge that some parties are disturbed meanwhile."""
    world.judge.peace.disturb(names)
    try:
        yield
    finally:
        world.judge.peace.calm(names)


def list_parties(*instances: Instance) -> Iterator[str]:
    """Yield the names by which instances are undisturbed or not.

    The second one of each tells of disturbances that nobody planned.
    """
    for instance in instances:
        name = instance.place.name
        yield name
        yield f'{name} unplanned'


def pick_instance(world: World, random: Random) -> Instance:
    """Return any instance."""
    return random.choice(list(world.fleet.by_name.values()))


def pick_instances(world: World, random: Random) -> list[Instance]:
    """Return up to half of the instances."""
    everyone = list(world.fleet.by_name.values())
    return random.sample(
        everyone, random.randint(1, max(len(everyone) // 2, 1))
    )


def pick_hosts(world: World) -> list[UpstreamHost]:
    """Return the upstreams that serve, sorted by name."""
    found = [
        host
        for host in world.host_by_name.values()
        if host.state is HostState.READY
    ]
    return sorted(found, key=lambda host: host.name)


def pick_spare(world: World, random: Random) -> UpstreamHost | None:
    """Return an upstream of a service that has two more."""
    serving = pick_hosts(world)
    names = [host.service for host in serving]
    spare = [host for host in serving if names.count(host.service) > 2]
    return random.choice(spare) if spare else None
