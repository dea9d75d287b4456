"""Serve HTTP requests of any method; only their path and query matter.

They are for readiness, status and metrics, and for the instance's copy of the
platform's objects, by topic.
"""

import asyncio
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, final

import httptools

from marlbend.sockets import bind_error

__all__ = ('RequestHandler', 'ServerResponse', 'serve_http')

_CHUNK_BYTES: Final = 16_384
_IDLE_TIMEOUT_SECONDS: Final = 30.0
_REASON_PHRASES: Final = MappingProxyType(
    {
        200: 'OK',
        400: 'Bad Request',
        404: 'Not Found',
        503: 'Service Unavailable',
    }
)
_NOT_FOUND: Final = 404
_RESPONSE_HEAD: Final = (
    'HTTP/1.1 {status} {reason}\r\nContent-Type: {content_type}\r\n'
    'Content-Length: {size}\r\n\r\n'
)

# Status, content type and body.
ServerResponse = tuple[int, str, bytes]
# Returns the response to a request, given its query (empty without one).
RequestHandler = Callable[[str], ServerResponse]


@final
class _RequestCollector:
    """Collect the target of each complete request from parser callbacks."""

    __slots__ = ('complete_targets', 'target')

    def __init__(self) -> None:
        self.target = b''
        self.complete_targets: list[str] = []

    def on_message_begin(self) -> None:
        self.target = b''

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        self.complete_targets.append(self.target.decode('ascii', 'replace'))


async def serve_http(
    endpoint: tuple[str, int],
    handlers: Mapping[str, RequestHandler],
) -> asyncio.Server:
    """Start a server at an endpoint, with one handler for each path.

    Connections are kept alive between requests.  Raise ADDRESS_IN_USE or
    ADDRESS_UNAVAILABLE.
    """

    async def handle_connection(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await _serve_connection(reader, writer, handlers)
        except (OSError, EOFError, httptools.HttpParserError):
            # The client disconnected, was idle or did not speak HTTP.  No state
            # depends on it.
            writer.transport.abort()
        except asyncio.CancelledError:
            # The process stops.  Without this, asyncio logs a traceback.
            return
        finally:
            writer.close()

    try:
        return await asyncio.start_server(handle_connection, *endpoint)
    except OSError as error:
        raise bind_error(error, *endpoint) from None


async def _serve_connection(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    handlers: Mapping[str, RequestHandler],
) -> None:
    collector = _RequestCollector()
    parser = httptools.HttpRequestParser(collector)
    while True:
        async with asyncio.timeout(_IDLE_TIMEOUT_SECONDS):
            chunk = await reader.read(_CHUNK_BYTES)
        if not chunk:
            return
        parser.feed_data(chunk)
        for target in collector.complete_targets:
            writer.write(_render(target, handlers))
        collector.complete_targets.clear()
        async with asyncio.timeout(_IDLE_TIMEOUT_SECONDS):
            await writer.drain()


def _render(target: str, handlers: Mapping[str, RequestHandler]) -> bytes:
    path, _, query = target.partition('?')
    respond = handlers.get(path)
    status, content_type, body = _NOT_FOUND, 'text/plain', b''
    if respond is not None:
        status, content_type, body = respond(query)
    head = _RESPONSE_HEAD.format(
        status=status,
        reason=_REASON_PHRASES[status],
        content_type=content_type,
        size=len(body),
    )
    return head.encode() + body
