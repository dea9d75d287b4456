"""Kill, stop, pause and reload processes, and move their time of day."""

import asyncio
import signal
from contextlib import suppress
from random import Random
from typing import Final

from soak.fleet import GRACE_SECONDS, Instance, send_signal, write_settings
from soak.parties import disturbing, list_parties, pick_instance
from soak.schedule import Step
from soak.world import World

__all__ = (
    'kill_instance',
    'kill_many',
    'move_clock',
    'pause_instance',
    'reload_settings',
    'stop_instance',
)

READY_SECONDS: Final = 15.0
POLL_SECONDS: Final = 0.05
KILLED_SHARE: Final = 0.6
CLOCK_SECONDS: Final = 40.0


async def kill_instance(world: World, step: Step, random: Random) -> None:
    """Kill one process."""
    instance = pick_instance(world, random)
    await _end(world, instance, planned=False)


async def kill_many(world: World, step: Step, random: Random) -> None:
    """Kill most processes at once."""
    everyone = list(world.fleet.by_name.values())
    count = max(int(len(everyone) * KILLED_SHARE), 1)
    await asyncio.gather(
        *(
            _end(world, instance, planned=False)
            for instance in random.sample(everyone, count)
        )
    )


async def stop_instance(world: World, step: Step, random: Random) -> None:
    """Ask one process to stop, as an operator does."""
    instance = pick_instance(world, random)
    await _end(world, instance, planned=True)


async def pause_instance(world: World, step: Step, random: Random) -> None:
    """Freeze one process and wake it again."""
    instance = pick_instance(world, random)
    if instance.expected:
        return
    async with disturbing(world, *list_parties(instance)):
        send_signal(instance, signal.SIGSTOP)
        await asyncio.sleep(step.seconds)
        send_signal(instance, signal.SIGCONT)


async def reload_settings(world: World, step: Step, random: Random) -> None:
    """Change the settings file, at times for the worse, and say so."""
    instance = pick_instance(world, random)
    if instance.misses:
        return
    level = random.choice(('DEBUG', 'INFO', 'NONSENSE'))
    write_settings(world.fleet, instance, level)
    send_signal(instance, signal.SIGHUP)
    await asyncio.sleep(1)
    write_settings(world.fleet, instance, 'INFO')


async def move_clock(world: World, step: Step, random: Random) -> None:
    """Let the time of day jump, and jump back."""
    instance = pick_instance(world, random)
    name = instance.place.name
    path = world.fleet.folder / f'{name}.shift'
    path.write_text(str(random.uniform(-CLOCK_SECONDS, CLOCK_SECONDS)))
    async with disturbing(world, name):
        await asyncio.sleep(step.seconds)
        path.write_text('0')


async def _end(world: World, instance: Instance, *, planned: bool) -> None:
    if instance.expected:
        return
    instance.expected = True
    name = instance.place.name
    names = (name,) if planned else tuple(list_parties(instance))
    async with disturbing(world, *names):
        instance.misses = 1
        if planned:
            send_signal(instance, signal.SIGTERM)
            asyncio.get_running_loop().call_later(
                GRACE_SECONDS, _kill_late, instance, instance.incarnation
            )
        else:
            send_signal(instance, signal.SIGKILL)
        await _wait_ready(instance)


def _kill_late(instance: Instance, incarnation: int) -> None:
    if instance.incarnation == incarnation and instance.running:
        send_signal(instance, signal.SIGKILL)


async def _wait_ready(instance: Instance) -> None:
    """Wait until a process that was ended serves again.

    One that takes longer may have no store; the end of the run judges it.
    """
    with suppress(TimeoutError):
        async with asyncio.timeout(READY_SECONDS):
            while instance.expected or instance.misses:
                await asyncio.sleep(POLL_SECONDS)
