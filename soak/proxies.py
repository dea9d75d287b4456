"""Proxy TCP connections of instances, and inject faults into them."""

import asyncio
import enum
from collections.abc import Callable
from typing import Final, final

import msgspec

from bench.endpoints.packets import Endpoint

__all__ = ('FaultMode', 'Proxy', 'set_fault_mode', 'start_proxy')

CHUNK_BYTES: Final = 65_536
SLOW_DELAY_SECONDS: Final = 0.7
_UNAVAILABLE_RESPONSE: Final = (
    b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n'
)

_Write = Callable[[bytes], None]


@enum.unique
@final
class FaultMode(enum.Enum):
    """Name how a proxy handles connections and the bytes on them."""

    NORMAL = 'normal'
    SLOW = 'slow'
    # Requests reach the target, but responses are dropped.
    NO_RESPONSES = 'no responses'
    BLACKHOLE = 'blackhole'
    RESET = 'reset'
    UNAVAILABLE = 'unavailable'


class Proxy(msgspec.Struct):
    """Hold a TCP proxy; `writers` are those of its open client connections."""

    target: Endpoint
    fault_mode: FaultMode = FaultMode.NORMAL
    writers: set[asyncio.StreamWriter] = set()
    server: asyncio.Server | None = None


async def start_proxy(proxy: Proxy, endpoint: Endpoint) -> None:
    """Listen on an endpoint, and forward connections to the target."""

    async def handle_client(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        proxy.writers.add(writer)
        await _forward_connection(proxy, reader, writer)
        proxy.writers.discard(writer)
        writer.transport.abort()

    proxy.server = await asyncio.start_server(handle_client, *endpoint)


def set_fault_mode(proxy: Proxy, fault_mode: FaultMode) -> None:
    """Set the fault mode; `RESET` also aborts open connections."""
    proxy.fault_mode = fault_mode
    if fault_mode is FaultMode.RESET:
        for writer in tuple(proxy.writers):
            writer.transport.abort()


async def _forward_connection(
    proxy: Proxy, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    if proxy.fault_mode is FaultMode.RESET:
        return
    try:
        target_reader, target_writer = await asyncio.open_connection(
            *proxy.target
        )
    except OSError:
        # The target isn't listening; the client gets a reset.
        return
    await asyncio.gather(
        _pump(proxy, reader, target_writer, writer.write),
        _pump(proxy, target_reader, writer, None),
    )


async def _pump(
    proxy: Proxy,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    respond: _Write | None,
) -> None:
    """Copy bytes until the reader ends, then abort the writer.

    For requests, `respond` sends bytes to the client in place of the target;
    for responses it is None.  After dropped bytes, the rest is dropped too,
    because the stream would have a gap.
    """
    dropping_modes = {FaultMode.BLACKHOLE}
    if respond is None:
        dropping_modes.add(FaultMode.NO_RESPONSES)
    has_dropped = False
    chunk = await _read_chunk(reader)
    while chunk:
        has_dropped = has_dropped or proxy.fault_mode in dropping_modes
        if proxy.fault_mode is FaultMode.SLOW:
            await asyncio.sleep(SLOW_DELAY_SECONDS)
        if proxy.fault_mode is FaultMode.UNAVAILABLE and respond is not None:
            respond(_UNAVAILABLE_RESPONSE)
        elif not has_dropped:
            writer.write(chunk)
        chunk = await _read_chunk(reader)
    writer.transport.abort()


async def _read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next bytes, empty at the end of the connection."""
    try:
        return await reader.read(CHUNK_BYTES)
    except OSError:
        # The connection was reset.
        return b''
