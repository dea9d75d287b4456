"""Call the platform or another instance over HTTP.

A connection carries one call at a time and is kept for the next.  After a
time-out or a broken answer it is closed, since nothing further comes on it.
"""

import asyncio
from typing import Final, final

import httptools
import msgspec

from marlbend import messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError

__all__ = ('ClientResponse', 'Connection')

CONNECT_SECONDS: Final = 1.0
_CHUNK_BYTES: Final = 65_536
_HEAD: Final = (
    '{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
    'Content-Type: application/json\r\nContent-Length: {size}\r\n\r\n'
)


class ClientResponse(msgspec.Struct, frozen=True):
    """Hold the status and body of an answer."""

    status: int
    body: bytes


@final
class _Collector:
    """Take what the parser finds in the bytes of one answer."""

    __slots__ = ('body', 'complete')

    def __init__(self) -> None:
        self.body = bytearray()
        self.complete = False

    def on_body(self, body: bytes) -> None:
        self.body.extend(body)

    def on_message_complete(self) -> None:
        self.complete = True


@final
class _Stream:
    """Hold both directions of an open connection."""

    __slots__ = ('reader', 'writer')

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.reader = reader
        self.writer = writer


@final
class Connection:
    """Keep one connection to a server, opened when first needed."""

    __slots__ = ('_address', '_stream')

    def __init__(self, address: tuple[str, int]) -> None:
        """Prepare for calls to an address and port."""
        self._address = address
        self._stream: _Stream | None = None

    async def request(
        self,
        method: str,
        path: str,
        seconds: float,
        body: bytes = b'',
    ) -> ClientResponse:
        """Return the answer; raise SERVER_UNREACHABLE if none comes."""
        try:
            async with asyncio.timeout(seconds):
                return await self._exchange(method, path, body)
        except (OSError, EOFError, httptools.HttpParserError) as error:
            self.close()
            raise _unreachable(self._address, error) from None
        except BaseException:
            self.close()
            raise

    def change_address(self, address: tuple[str, int]) -> None:
        """Send the next call elsewhere."""
        if address != self._address:
            self._address = address
            self.close()

    def close(self) -> None:
        """Close the connection; the next call opens another."""
        if self._stream is not None:
            self._stream.writer.transport.abort()
        self._stream = None

    async def _exchange(
        self,
        method: str,
        path: str,
        body: bytes,
    ) -> ClientResponse:
        stream = await self._connect()
        head = _HEAD.format(
            method=method, path=path, host=self._address[0], size=len(body)
        )
        stream.writer.write(head.encode() + body)
        collector = _Collector()
        parser = httptools.HttpResponseParser(collector)
        while not collector.complete:
            chunk = await stream.reader.read(_CHUNK_BYTES)
            if not chunk:
                raise EOFError
            parser.feed_data(chunk)
        if not parser.should_keep_alive():
            self.close()
        return ClientResponse(parser.get_status_code(), bytes(collector.body))

    async def _connect(self) -> '_Stream':
        if self._stream is None:
            async with asyncio.timeout(CONNECT_SECONDS):
                ends = await asyncio.open_connection(*self._address)
            self._stream = _Stream(*ends)
        return self._stream


def _unreachable(address: tuple[str, int], error: Exception) -> MarlbendError:
    reason = str(error) or type(error).__name__
    url = f'{address[0]}:{address[1]}'
    return MarlbendError(
        ErrorKind.SERVER_UNREACHABLE,
        messages.SERVER_UNREACHABLE.format(url=url, reason=reason),
    )
