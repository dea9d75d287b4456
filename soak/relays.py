"""Stand between an instance and what it calls, and harm the connections."""

import asyncio
import enum
from collections.abc import Callable
from typing import Final, final

import msgspec

from bench.endpoints.packets import Endpoint

__all__ = ('Manner', 'Relay', 'set_manner', 'start_relay')

CHUNK_BYTES: Final = 65_536
SLOW_SECONDS: Final = 0.7
_TURNED_AWAY: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'
)

_Write = Callable[[bytes], None]


@enum.unique
@final
class Manner(enum.Enum):
    """Name what a relay does with connections."""

    WELL = 'well'
    SLOW = 'slow'
    # What is sent arrives, and nothing comes back.
    ONE_WAY = 'one way'
    SILENT = 'silent'
    RESET = 'reset'
    TURNED_AWAY = 'turned away'


class Relay(msgspec.Struct):
    """Hold a relay in front of a target, and its open connections."""

    target: Endpoint
    manner: Manner = Manner.WELL
    writers: set[asyncio.StreamWriter] = set()
    server: asyncio.Server | None = None


async def start_relay(relay: Relay, endpoint: Endpoint) -> None:
    """Listen on an endpoint for the target."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        relay.writers.add(writer)
        await _join(relay, reader, writer)
        relay.writers.discard(writer)
        writer.transport.abort()

    relay.server = await asyncio.start_server(serve, *endpoint)


def set_manner(relay: Relay, manner: Manner) -> None:
    """Change what the relay does; a reset ends what is open."""
    relay.manner = manner
    if manner is Manner.RESET:
        for writer in tuple(relay.writers):
            writer.transport.abort()


async def _join(
    relay: Relay, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    if relay.manner is Manner.RESET:
        return
    try:
        far_reader, far_writer = await asyncio.open_connection(*relay.target)
    except OSError:
        # Nobody listens there now; the caller sees a reset.
        return
    await asyncio.gather(
        _pump(relay, reader, far_writer, writer.write),
        _pump(relay, far_reader, writer, None),
    )


async def _pump(
    relay: Relay,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    refuse: _Write | None,
) -> None:
    """Copy bytes until one side ends, which ends the other one.

    Requests are copied where `refuse` can answer in the target's place.  A
    connection that lost bytes carries no more that way.
    """
    swallowed_in = {Manner.SILENT}
    if refuse is None:
        swallowed_in.add(Manner.ONE_WAY)
    lost = False
    chunk = await _read(reader)
    while chunk:
        lost = lost or relay.manner in swallowed_in
        if relay.manner is Manner.SLOW:
            await asyncio.sleep(SLOW_SECONDS)
        if relay.manner is Manner.TURNED_AWAY and refuse is not None:
            refuse(_TURNED_AWAY)
        elif not lost:
            writer.write(chunk)
        chunk = await _read(reader)
    writer.transport.abort()


async def _read(reader: asyncio.StreamReader) -> bytes:
    """Return the next bytes, none at the end of the connection."""
    try:
        return await reader.read(CHUNK_BYTES)
    except OSError:
        # A reset ends it too.
        return b''
