"""Kill, stop, pause and reload processes, and shift their wall clock."""

import asyncio
import signal
from contextlib import suppress
from random import Random
from typing import Final

from soak.fleet import STOP_GRACE_SECONDS, Instance, send_signal, write_settings
from soak.participants import disturbance_keys, disturbing, pick_instance
from soak.run_state import Run
from soak.schedule import Step

__all__ = (
    'kill_instance',
    'kill_many',
    'pause_instance',
    'reload_settings',
    'restart_after_lost_handshakes',
    'shift_clock',
    'stop_instance',
)

RESTART_TIMEOUT_SECONDS: Final = 15.0
RESTART_POLL_SECONDS: Final = 0.05
KILLED_SHARE: Final = 0.6
MAX_CLOCK_SHIFT_SECONDS: Final = 40.0
MAX_LOST_HANDSHAKE_SHARE: Final = 0.3


async def kill_instance(run: Run, step: Step, random: Random) -> None:
    """Kill one process with SIGKILL."""
    instance = pick_instance(run, random)
    await _terminate(run, instance, planned=False)


async def kill_many(run: Run, step: Step, random: Random) -> None:
    """Kill about 60 % of the processes at once, rounded down, at least one."""
    choices = list(run.fleet.by_name.values())
    count = max(int(len(choices) * KILLED_SHARE), 1)
    await asyncio.gather(
        *(
            _terminate(run, instance, planned=False)
            for instance in random.sample(choices, count)
        )
    )


async def stop_instance(run: Run, step: Step, random: Random) -> None:
    """Stop one process with SIGTERM, as an operator does."""
    instance = pick_instance(run, random)
    await _terminate(run, instance, planned=True)


async def restart_after_lost_handshakes(
    run: Run, step: Step, random: Random
) -> None:
    """Lose SYN+ACKs, so that SYNs go to several upstreams; stop an instance.

    The upstreams whose SYN+ACK was lost send it again for some seconds.
    """
    run.lost_handshake_share = random.uniform(0, MAX_LOST_HANDSHAKE_SHARE)
    await asyncio.sleep(step.seconds)
    run.lost_handshake_share = 0
    await stop_instance(run, step, random)


async def pause_instance(run: Run, step: Step, random: Random) -> None:
    """Suspend one process with SIGSTOP, and resume it."""
    instance = pick_instance(run, random)
    if instance.exit_expected:
        return
    async with disturbing(run, *disturbance_keys(instance)):
        send_signal(instance, signal.SIGSTOP)
        await asyncio.sleep(step.seconds)
        send_signal(instance, signal.SIGCONT)


async def reload_settings(run: Run, step: Step, random: Random) -> None:
    """Reload settings with a valid or an unknown log level."""
    instance = pick_instance(run, random)
    if instance.failed_polls:
        return
    level = random.choice(('DEBUG', 'INFO', 'NONSENSE'))
    write_settings(run.fleet, instance, level)
    send_signal(instance, signal.SIGHUP)
    await asyncio.sleep(1)
    write_settings(run.fleet, instance, 'INFO')


async def shift_clock(run: Run, step: Step, random: Random) -> None:
    """Step the wall clock of one process, and step it back."""
    instance = pick_instance(run, random)
    name = instance.node.name
    path = run.fleet.folder / f'{name}.shift'
    path.write_text(
        str(random.uniform(-MAX_CLOCK_SHIFT_SECONDS, MAX_CLOCK_SHIFT_SECONDS))
    )
    async with disturbing(run, name):
        await asyncio.sleep(step.seconds)
        path.write_text('0')


async def _terminate(run: Run, instance: Instance, *, planned: bool) -> None:
    """End a process, with SIGTERM if planned; wait for the next to be ready."""
    if instance.exit_expected:
        return
    instance.exit_expected = True
    name = instance.node.name
    names = (name,) if planned else tuple(disturbance_keys(instance))
    async with disturbing(run, *names):
        # Makes `_wait_ready` wait for the next successful poll.  It is less
        # than `UNREADY_POLLS`, so routers keep sending until a poll fails.
        instance.failed_polls = 1
        if planned:
            send_signal(instance, signal.SIGTERM)
            asyncio.get_running_loop().call_later(
                STOP_GRACE_SECONDS,
                _kill_if_running,
                instance,
                instance.process_number,
            )
        else:
            send_signal(instance, signal.SIGKILL)
        await _wait_ready(instance)


def _kill_if_running(instance: Instance, process_number: int) -> None:
    if instance.process_number == process_number and instance.is_running:
        send_signal(instance, signal.SIGKILL)


async def _wait_ready(instance: Instance) -> None:
    """Wait until the restarted process is ready, or until the timeout.

    It may be late because the store is unavailable.  The end of the run checks
    that it is ready.
    """
    with suppress(TimeoutError):
        async with asyncio.timeout(RESTART_TIMEOUT_SECONDS):
            while instance.exit_expected or instance.failed_polls:
                await asyncio.sleep(RESTART_POLL_SECONDS)
