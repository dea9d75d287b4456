"""Inject faults of the store, and make the changes that operators make."""

import asyncio
from random import Random
from typing import Final

from bench.endpoints.upstreams import UpstreamServer, UpstreamState
from bench.store import (
    Faults,
    StoredObject,
    copy_store,
    put_object,
    restore_copy,
    set_faults,
)
from marlbend.clock import steady_seconds
from soak.checker import DOMAIN_OUT_BOUND_SECONDS, STORE, exclude
from soak.participants import FaultInjector, disturbing, list_ready_upstreams
from soak.run_state import (
    DOMAINS,
    SERVICES,
    UPSTREAM_NAME_FORMAT,
    Run,
    publish_next_release,
    write_object,
    write_registration,
)
from soak.schedule import Step
from soak.upstreams import WARMUP_SECONDS

__all__ = (
    'degrade_store',
    'expire_registrations',
    'publish_release',
    'publish_storm',
    'return_from_copy',
    'take_domain_out',
    'write_bad_registration',
)

# Upstreams register again within two seconds after the store is back.
MAX_RETURN_SECONDS: Final = 1.5
MAX_OUTAGE_SECONDS: Final = 1.0
# Writers write again within this time of the store's return from a copy.
MAX_REWRITE_SECONDS: Final = 3.0
# An upstream may serve without a registration for longer than the instances
# wait for it to be written again.
UNREGISTERED_SECONDS: Final = 14.0
STORM_RELEASES: Final = 6
STORM_INTERVAL_SECONDS: Final = 0.15
NAME_COUNT: Final = 1_000_000
_Spec = dict[str, object]
# Specs with a field of the wrong type, without fields, and with an invalid
# address and state.
INVALID_SPECS: Final[tuple[_Spec, ...]] = (
    {'service': 7},
    {},
    {'service': SERVICES[0], 'address': 'nowhere', 'state': 'odd'},
)


def degrade_store(faults: Faults) -> FaultInjector:
    """Return a fault that applies store faults for the time of a step."""

    async def inject(run: Run, step: Step, random: Random) -> None:
        async with disturbing(run, STORE):
            await set_faults(run.store, faults)
            await asyncio.sleep(step.seconds)
            await set_faults(run.store, Faults())

    return inject


async def expire_registrations(run: Run, step: Step, random: Random) -> None:
    """Expire registrations while the store is down, then restore them."""
    async with disturbing(run, STORE):
        await set_faults(run.store, Faults(down=True))
        await asyncio.sleep(step.seconds)
        ready = list_ready_upstreams(run)
        expired = random.sample(ready, len(ready) // 2)
        for upstream in expired:
            await _expire_registration(run, upstream)
        await set_faults(run.store, Faults())
        await asyncio.sleep(random.uniform(0, MAX_RETURN_SECONDS))
        for upstream in expired:
            if upstream.state is UpstreamState.READY:
                await write_registration(run, upstream)


async def return_from_copy(run: Run, step: Step, random: Random) -> None:
    """Let the store come back from a copy that is as old as the step is long.

    Operators and upstreams write again what the copy lacks, each in its time.
    One upstream whose registration is dropped at the return does so much later.
    """
    copy = copy_store(run.store)
    await asyncio.sleep(step.seconds)
    async with disturbing(run, STORE):
        await set_faults(run.store, Faults(down=True))
        await asyncio.sleep(random.uniform(0, MAX_OUTAGE_SECONDS))
        lost = dict(run.store.object_by_path)
        await restore_copy(run.store, copy)
        await set_faults(run.store, Faults())
        paths = lost.keys() | copy.object_by_path.keys()
        async with asyncio.TaskGroup() as group:
            for path in sorted(paths):
                kept = copy.object_by_path.get(path)
                if lost.get(path) != kept:
                    delay = random.uniform(0, MAX_REWRITE_SECONDS)
                    group.create_task(
                        _write_again(run, path, (kept, lost.get(path)), delay)
                    )
    ready = list_ready_upstreams(run)
    if ready:
        task = asyncio.create_task(_write_late(run, random.choice(ready)))
        run.tasks.add(task)
        task.add_done_callback(run.tasks.discard)


async def _write_late(run: Run, upstream: UpstreamServer) -> None:
    """Drop a registration and let the upstream serve on without it."""
    await _expire_registration(run, upstream)
    run.unregistered.add(upstream.name)
    await asyncio.sleep(UNREGISTERED_SECONDS)
    run.unregistered.discard(upstream.name)
    path = ('servers', upstream.name)
    is_absent = path not in run.store.object_by_path
    if is_absent and upstream.state is UpstreamState.READY:
        await write_registration(run, upstream)


async def _write_again(
    run: Run,
    path: tuple[str, str],
    versions: tuple[StoredObject | None, StoredObject | None],
    delay: float,
) -> None:
    """Write the lost version of an object, unless a later one was written.

    `versions` are that of the copy and the lost one, `None` without an object.
    """
    kept, lost = versions
    await asyncio.sleep(delay)
    if run.store.object_by_path.get(path) == kept:
        spec = None if lost is None else bytes(lost.spec)
        await put_object(run.store, path, spec)


async def _expire_registration(run: Run, upstream: UpstreamServer) -> None:
    """Remove a registration as expiry does, even while the store is down."""
    path = ('servers', upstream.name)
    if path in run.store.object_by_path:
        await put_object(run.store, path, None)


async def write_bad_registration(run: Run, step: Step, random: Random) -> None:
    """Write an invalid registration, and remove it after the step."""
    number = random.randrange(NAME_COUNT)
    path = ('servers', UPSTREAM_NAME_FORMAT.format(number))
    await write_object(run, path, random.choice(INVALID_SPECS))
    await asyncio.sleep(step.seconds)
    await write_object(run, path, None)


async def publish_release(run: Run, step: Step, random: Random) -> None:
    """Publish one release."""
    await publish_next_release(run)


async def publish_storm(run: Run, step: Step, random: Random) -> None:
    """Publish releases in quick succession."""
    for _ in range(STORM_RELEASES):
        await publish_next_release(run)
        await asyncio.sleep(STORM_INTERVAL_SECONDS)


async def take_domain_out(run: Run, step: Step, random: Random) -> None:
    """Take a domain out, then bring it back with cold upstreams."""
    domain = random.choice(DOMAINS)
    if domain in run.domains_out:
        return
    run.domains_out.add(domain)
    await write_object(run, ('evacuations', domain), {})
    exclude(run.checker, domain, DOMAIN_OUT_BOUND_SECONDS)
    await asyncio.sleep(step.seconds)
    for upstream in list_ready_upstreams(run):
        if upstream.domain == domain:
            upstream.cold_until = steady_seconds() + WARMUP_SECONDS
            await write_registration(run, upstream)
    run.checker.deadline_by_name.pop(domain, None)
    await write_object(run, ('evacuations', domain), None)
    run.domains_out.discard(domain)
