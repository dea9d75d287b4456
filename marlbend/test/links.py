"""Forward TCP connections over links of limited bandwidth."""

import asyncio

from marlbend.clock import steady_seconds

__all__ = ('Link', 'start_link')

CHUNK_BYTES = 4_096

Address = tuple[str, int]


class Link:
    """Hold the bandwidth of a link and when its queue will be empty.

    Each direction of a link is a link of its own.
    """

    __slots__ = ('bytes_per_second', 'free_at')

    def __init__(self, bytes_per_second: float) -> None:
        """Start with an empty queue."""
        self.bytes_per_second = bytes_per_second
        self.free_at: float = 0


async def start_link(
    link: Link, endpoint: Address, target: Address
) -> asyncio.Server:
    """Forward connections; the link limits the bytes that the target sends."""

    async def handle_client(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await _forward(link, target, reader, writer)
        except asyncio.CancelledError:
            # The test ends.  Without this, asyncio logs a traceback.
            writer.transport.abort()

    return await asyncio.start_server(handle_client, *endpoint)


async def _forward(
    link: Link,
    target: Address,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    try:
        target_reader, target_writer = await asyncio.open_connection(*target)
    except OSError:
        writer.transport.abort()
        return
    await asyncio.gather(
        _pump(None, reader, target_writer),
        _pump(link, target_reader, writer),
    )


async def _pump(
    link: Link | None,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    """Copy bytes until one end closes, then close the other one."""
    try:
        while chunk := await reader.read(CHUNK_BYTES):
            if link is not None:
                await _pass(link, len(chunk))
            writer.write(chunk)
            await writer.drain()
    except OSError:
        # One of the ends was reset.
        return
    finally:
        writer.transport.abort()


async def _pass(link: Link, size: int) -> None:
    """Wait until the link has sent all bytes before these, and these."""
    now = steady_seconds()
    link.free_at = max(link.free_at, now) + size / link.bytes_per_second
    await asyncio.sleep(link.free_at - now)
