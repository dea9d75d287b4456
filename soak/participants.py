"""Choose the targets of a fault, and record them as disturbed."""

from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager
from random import Random

from bench.endpoints.upstreams import HostState, UpstreamHost
from soak.fleet import Instance
from soak.run_state import Run
from soak.schedule import Step

__all__ = (
    'Fault',
    'disturbing',
    'list_participants',
    'list_ready_hosts',
    'pick_instance',
    'pick_instances',
    'pick_spare_host',
)

Fault = Callable[[Run, Step, Random], Awaitable[None]]


@asynccontextmanager
async def disturbing(run: Run, *names: str) -> AsyncIterator[None]:
    """Record some participants as disturbed meanwhile."""
    run.checker.disturbances.begin(names)
    try:
        yield
    finally:
        run.checker.disturbances.end(names)


def list_participants(*instances: Instance) -> Iterator[str]:
    """Yield the names under which disturbances of instances are tracked.

    Each instance has two: its own name for all disturbances, and a second one
    for unplanned disturbances only.
    """
    for instance in instances:
        name = instance.node.name
        yield name
        yield f'{name} unplanned'


def pick_instance(run: Run, random: Random) -> Instance:
    """Return a random instance."""
    return random.choice(list(run.fleet.by_name.values()))


def pick_instances(run: Run, random: Random) -> list[Instance]:
    """Return random instances, at least one and at most half of them."""
    all_instances = list(run.fleet.by_name.values())
    return random.sample(
        all_instances, random.randint(1, max(len(all_instances) // 2, 1))
    )


def list_ready_hosts(run: Run) -> list[UpstreamHost]:
    """Return the ready upstreams, sorted by name."""
    ready_hosts = [
        host
        for host in run.host_by_name.values()
        if host.state is HostState.READY
    ]
    return sorted(ready_hosts, key=lambda host: host.name)


def pick_spare_host(run: Run, random: Random) -> UpstreamHost | None:
    """Return an upstream whose service has at least two others, if any."""
    ready = list_ready_hosts(run)
    services = [host.service for host in ready]
    spare = [host for host in ready if services.count(host.service) > 2]
    return random.choice(spare) if spare else None
