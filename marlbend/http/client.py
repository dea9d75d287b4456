"""Send HTTP requests to the platform or to an instance.

Each request has a connection of its own.  On a connection that is kept, a late
copy of a response would be taken for the response to the next request.
"""

import asyncio
from typing import Final, final

import httptools
import msgspec

from marlbend import error_messages
from marlbend.clock import steady_seconds
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError

__all__ = ('ClientResponse', 'Connection')

CONNECT_TIMEOUT_SECONDS: Final = 1.0
# Between two parts of a response, whose length is not known beforehand.
PROGRESS_TIMEOUT_SECONDS: Final = 1.0
_CHUNK_BYTES: Final = 65_536
_REQUEST_HEAD: Final = (
    '{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
    'Content-Type: application/json\r\nContent-Length: {size}\r\n\r\n'
)


class ClientResponse(msgspec.Struct, frozen=True):
    """Hold the status and body of a response.

    `receive_seconds` is the time from its first to its last byte.  `headers`
    maps names in lower case to values.
    """

    status: int
    body: bytes
    receive_seconds: float = 0
    headers: dict[str, str] = {}


@final
class _ResponseCollector:
    """Collect the headers and body of one response from parser callbacks."""

    __slots__ = ('body', 'has_extra', 'headers', 'is_complete')

    def __init__(self) -> None:
        self.body = bytearray()
        self.headers: dict[str, str] = {}
        self.is_complete = False
        self.has_extra = False

    def on_message_begin(self) -> None:
        self.has_extra = self.is_complete

    def on_header(self, name: bytes, header: bytes) -> None:
        if not self.has_extra:
            key = name.decode('latin-1').lower()
            self.headers[key] = header.decode('latin-1')

    def on_body(self, body: bytes) -> None:
        if not self.has_extra:
            self.body.extend(body)

    def on_message_complete(self) -> None:
        self.is_complete = True


@final
class _Stream:
    """Hold the reader and the writer of an open connection."""

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
    """Send one request at a time to a server."""

    __slots__ = ('_endpoint', '_stream')

    def __init__(self, endpoint: tuple[str, int]) -> None:
        """Set the address and port of the server; do not connect yet."""
        self._endpoint = endpoint
        self._stream: _Stream | None = None

    async def request(
        self,
        method: str,
        path: str,
        timeout_seconds: float,
        body: bytes = b'',
    ) -> ClientResponse:
        """Return the response, which must begin within the timeout.

        Raise SERVER_UNREACHABLE if there is none, if no further part of it
        arrives for `PROGRESS_TIMEOUT_SECONDS`, or if it is malformed.
        """
        try:
            return await self._exchange(method, path, timeout_seconds, body)
        except (OSError, EOFError, httptools.HttpParserError) as error:
            self.close()
            raise _unreachable(self._endpoint, error) from None
        except BaseException:
            self.close()
            raise

    def change_endpoint(self, endpoint: tuple[str, int]) -> None:
        """Send further requests to another address and port."""
        if endpoint != self._endpoint:
            self._endpoint = endpoint
            self.close()

    def close(self) -> None:
        """Close the connection of a request, if there is one."""
        if self._stream is not None:
            self._stream.writer.transport.abort()
        self._stream = None

    async def _exchange(
        self,
        method: str,
        path: str,
        timeout_seconds: float,
        body: bytes,
    ) -> ClientResponse:
        head = _REQUEST_HEAD.format(
            method=method, path=path, host=self._endpoint[0], size=len(body)
        )
        async with asyncio.timeout(timeout_seconds):
            stream = await self._connect()
            stream.writer.write(head.encode() + body)
            first_chunk = await _read_chunk(stream)
        return await self._receive(stream, first_chunk)

    async def _receive(
        self, stream: _Stream, first_chunk: bytes
    ) -> ClientResponse:
        started_at = steady_seconds()
        collector = _ResponseCollector()
        parser = httptools.HttpResponseParser(collector)
        parser.feed_data(first_chunk)
        status = parser.get_status_code()
        while not collector.is_complete:
            async with asyncio.timeout(PROGRESS_TIMEOUT_SECONDS):
                parser.feed_data(await _read_chunk(stream))
            status = parser.get_status_code()
        self.close()
        return ClientResponse(
            status,
            bytes(collector.body),
            steady_seconds() - started_at,
            collector.headers,
        )

    async def _connect(self) -> _Stream:
        if self._stream is None:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                streams = await asyncio.open_connection(*self._endpoint)
            self._stream = _Stream(*streams)
        return self._stream


async def _read_chunk(stream: _Stream) -> bytes:
    chunk = await stream.reader.read(_CHUNK_BYTES)
    if not chunk:
        raise EOFError
    return chunk


def _unreachable(endpoint: tuple[str, int], error: Exception) -> MarlbendError:
    reason = str(error) or type(error).__name__
    target = f'{endpoint[0]}:{endpoint[1]}'
    return MarlbendError(
        ErrorKind.SERVER_UNREACHABLE,
        error_messages.SERVER_UNREACHABLE.format(target=target, reason=reason),
    )
