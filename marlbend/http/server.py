"""Answer GET requests on a port: readiness, metrics, what is believed."""

import asyncio
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Final, final

import httptools

from marlbend.sockets import bind_error

__all__ = ('RequestHandler', 'ServerResponse', 'serve_http')

_CHUNK_BYTES: Final = 16_384
_IDLE_SECONDS: Final = 30.0
_REASONS: Final = MappingProxyType(
    {200: 'OK', 404: 'Not Found', 503: 'Service Unavailable'}
)
_NOT_FOUND: Final = 404
_HEAD: Final = (
    'HTTP/1.1 {status} {reason}\r\nContent-Type: {kind}\r\n'
    'Content-Length: {size}\r\n\r\n'
)

# Status, content type and body.
ServerResponse = tuple[int, str, bytes]
# Makes a page from the query of a request, empty if it has none.
RequestHandler = Callable[[str], ServerResponse]


@final
class _Collector:
    """Note the path of each request as it is complete."""

    __slots__ = ('complete', 'path')

    def __init__(self) -> None:
        self.path = b''
        self.complete: list[str] = []

    def on_message_begin(self) -> None:
        self.path = b''

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_message_complete(self) -> None:
        self.complete.append(self.path.decode('ascii', 'replace'))


async def serve_http(
    address: tuple[str, int],
    pages: Mapping[str, RequestHandler],
) -> asyncio.Server:
    """Serve the pages by path; the connection is kept between requests.

    Raise ADDRESS_IN_USE or ADDRESS_UNAVAILABLE.
    """

    async def answer(
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            await _answer_all(reader, writer, pages)
        except (OSError, EOFError, httptools.HttpParserError):
            # The other side ended or spoke no HTTP; nothing depends on it.
            writer.transport.abort()
        except asyncio.CancelledError:
            # The process stops; the library logs a traceback otherwise.
            return
        finally:
            writer.close()

    try:
        return await asyncio.start_server(answer, *address)
    except OSError as error:
        raise bind_error(error, *address) from None


async def _answer_all(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    pages: Mapping[str, RequestHandler],
) -> None:
    collector = _Collector()
    parser = httptools.HttpRequestParser(collector)
    while True:
        async with asyncio.timeout(_IDLE_SECONDS):
            chunk = await reader.read(_CHUNK_BYTES)
        if not chunk:
            return
        parser.feed_data(chunk)
        for path in collector.complete:
            writer.write(_render(path, pages))
        collector.complete.clear()
        async with asyncio.timeout(_IDLE_SECONDS):
            await writer.drain()


def _render(target: str, pages: Mapping[str, RequestHandler]) -> bytes:
    path, _, query = target.partition('?')
    page = pages.get(path)
    status, kind, body = _NOT_FOUND, 'text/plain', b''
    if page is not None:
        status, kind, body = page(query)
    head = _HEAD.format(
        status=status, reason=_REASONS[status], kind=kind, size=len(body)
    )
    return head.encode() + body
