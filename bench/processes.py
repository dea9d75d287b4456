"""Start and stop the processes of a measurement.

Each process is signaled through its own handle, never looked up by its command.
"""

import asyncio
import json
import pathlib
import signal
import sys
import tempfile
from collections.abc import Mapping, Sequence
from typing import Final, final

__all__ = (
    'Processes',
    'kill_process',
    'start_instance',
    'start_module',
    'stop_process',
)

STOP_TIMEOUT_SECONDS: Final = 30


@final
class Processes:
    """Hold the running processes and a directory for their files."""

    __slots__ = ('directory', 'process_by_name')

    def __init__(self) -> None:
        """Create the directory without starting a process."""
        self.directory = tempfile.TemporaryDirectory(prefix='marlbend-')
        self.process_by_name: dict[str, asyncio.subprocess.Process] = {}

    def write_file(self, name: str, document: bytes) -> str:
        """Write a file into the directory and return its path."""
        path = pathlib.Path(self.directory.name, name)
        path.write_bytes(document)
        return str(path)

    def log_path(self, name: str) -> pathlib.Path:
        """Return the path of the log file of a process."""
        return pathlib.Path(self.directory.name, f'{name}.log')


async def start_module(
    processes: Processes,
    name: str,
    module: str,
    arguments: Sequence[str],
    *,
    log_stdout: bool = False,
) -> None:
    """Start a module of this project as a process.

    Its standard error goes to its log file, and so does its standard output if
    `log_stdout` is set.  Otherwise `stop_process` returns the standard output.
    """
    with processes.log_path(name).open('ab') as log:
        processes.process_by_name[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.child',
            module,
            *arguments,
            stdout=log if log_stdout else asyncio.subprocess.PIPE,
            stderr=log,
        )


async def start_instance(
    processes: Processes,
    settings: Mapping[str, object],
) -> None:
    """Start an instance with the given settings."""
    name = str(settings['name'])
    path = processes.write_file(f'{name}.json', json.dumps(settings).encode())
    options = ['--settings', path]
    await start_module(
        processes, name, 'marlbend.main', options, log_stdout=True
    )


async def stop_process(processes: Processes, name: str) -> bytes:
    """Send SIGTERM to a process, wait for its end, return its output."""
    process = processes.process_by_name.pop(name)
    if process.returncode is None:
        process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(STOP_TIMEOUT_SECONDS):
        output, _ = await process.communicate()
    return output


async def kill_process(processes: Processes, name: str) -> None:
    """Kill a process and wait for its end."""
    process = processes.process_by_name.pop(name)
    if process.returncode is None:
        process.kill()
    await process.wait()


async def kill_all(processes: Processes) -> None:
    """Kill the processes that still run and remove their files."""
    for name in tuple(processes.process_by_name):
        await kill_process(processes, name)
    processes.directory.cleanup()
