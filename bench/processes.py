"""Start and end the processes of a measurement.

Each is ended by its own process handle; nothing is ended by name.
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
    'end_process',
    'kill_process',
    'start_instance',
    'start_module',
)

END_SECONDS: Final = 30


@final
class Processes:
    """Hold the running processes by name and a folder for their files."""

    __slots__ = ('folder', 'process_by_name')

    def __init__(self) -> None:
        """Make the folder; nothing runs yet."""
        self.folder = tempfile.TemporaryDirectory(prefix='marlbend-')
        self.process_by_name: dict[str, asyncio.subprocess.Process] = {}

    def write_file(self, name: str, document: bytes) -> str:
        """Write a file into the folder and return its path."""
        path = pathlib.Path(self.folder.name, name)
        path.write_bytes(document)
        return str(path)

    def log_path(self, name: str) -> pathlib.Path:
        """Return where a process writes its log."""
        return pathlib.Path(self.folder.name, f'{name}.log')


async def start_module(
    processes: Processes,
    name: str,
    module: str,
    arguments: Sequence[str],
    *,
    logs: bool = False,
) -> None:
    """Run a module of this project as a process.

    With `logs` it writes its log to standard output, which goes to a file;
    else what it prints is returned at its end.
    """
    with processes.log_path(name).open('ab') as log:
        processes.process_by_name[name] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'bench.child',
            module,
            *arguments,
            stdout=log if logs else asyncio.subprocess.PIPE,
            stderr=log,
        )


async def start_instance(
    processes: Processes,
    settings: Mapping[str, object],
) -> None:
    """Run one instance with the settings given."""
    name = str(settings['name'])
    path = processes.write_file(f'{name}.json', json.dumps(settings).encode())
    options = ['--settings', path]
    await start_module(processes, name, 'marlbend.main', options, logs=True)


async def end_process(processes: Processes, name: str) -> bytes:
    """Ask a process to stop and return what it printed."""
    process = processes.process_by_name.pop(name)
    if process.returncode is None:
        process.send_signal(signal.SIGTERM)
    async with asyncio.timeout(END_SECONDS):
        printed, _ = await process.communicate()
    return printed


async def kill_process(processes: Processes, name: str) -> None:
    """End a process at once."""
    process = processes.process_by_name.pop(name)
    if process.returncode is None:
        process.kill()
    await process.wait()


async def kill_all(processes: Processes) -> None:
    """End whatever still runs and remove the files."""
    for name in tuple(processes.process_by_name):
        await kill_process(processes, name)
    processes.folder.cleanup()
