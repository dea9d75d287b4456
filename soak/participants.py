"""Choose the targets of a fault, and record them as disturbed."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from random import Random

from bench.endpoints.upstreams import UpstreamServer, UpstreamState
from soak.fleet import Instance
from soak.links import unplanned_key
from soak.run_state import Run
from soak.schedule import Step

__all__ = (
    'FaultInjector',
    'disturbance_keys',
    'disturbing',
    'list_ready_upstreams',
    'pick_instance',
    'pick_instances',
    'pick_spare_upstream',
)

FaultInjector = Callable[[Run, Step, Random], Awaitable[None]]


@asynccontextmanager
async def disturbing(run: Run, *names: str) -> AsyncIterator[None]:
    """Record participants as disturbed within the context."""
    run.checker.disturbances.begin(names)
    try:
        yield
    finally:
        run.checker.disturbances.end(names)


def disturbance_keys(*instances: Instance) -> Iterator[str]:
    """Yield the keys that track unplanned disturbances of instances.

    Each instance has two: its name, which tracks planned disturbances too, and
    a key for unplanned ones only.
    """
    for instance in instances:
        name = instance.node.name
        yield name
        yield unplanned_key(name)


def pick_instance(run: Run, random: Random) -> Instance:
    """Return a random instance."""
    return random.choice(list(run.fleet.by_name.values()))


def pick_instances(run: Run, random: Random) -> list[Instance]:
    """Return random instances, at least one and at most half of them."""
    all_instances = list(run.fleet.by_name.values())
    return random.sample(
        all_instances, random.randint(1, max(len(all_instances) // 2, 1))
    )


def list_ready_upstreams(run: Run) -> list[UpstreamServer]:
    """Return the ready upstreams, sorted by name."""
    ready = [
        each
        for each in run.upstream_by_name.values()
        if each.state is UpstreamState.READY
    ]
    return sorted(ready, key=lambda each: each.name)


def pick_spare_upstream(run: Run, random: Random) -> UpstreamServer | None:
    """Return an upstream whose service has at least two others, if any."""
    ready = list_ready_upstreams(run)
    services = [each.service for each in ready]
    spare = [each for each in ready if services.count(each.service) > 2]
    return random.choice(spare) if spare else None
