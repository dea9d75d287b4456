"""Speak the platform's object API.

An object has a kind, a name, a version and a JSON body.  Reads may wait for a
version above a given one (long poll).  Writes name the version they replace,
in `If-Match`, and fail when another write came first.
"""

from collections.abc import Mapping
from typing import Final, final

import aiohttp
import msgspec

from marlbend import messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError

__all__ = ('Platform', 'StoredObject', 'WriteOutcome')

REQUEST_TIMEOUT_SECONDS: Final = 3.0
WATCH_SECONDS: Final = 20.0

_OK: Final = 200
_NOT_MODIFIED: Final = 304
_NOT_FOUND: Final = 404
_CONFLICT: Final = 412
_SERVER_FAULT: Final = 500


class StoredObject(msgspec.Struct, frozen=True):
    """Hold an object as the platform gives it; version zero is absent."""

    version: int
    body: msgspec.Raw = msgspec.Raw(b'null')


class WriteOutcome(msgspec.Struct, frozen=True):
    """Tell the version a write led to, or that another came first."""

    written: bool
    version: int


@final
class Platform:
    """Keep the address of the platform and one connection pool."""

    __slots__ = ('_session', 'url')

    def __init__(self, url: str) -> None:
        """Prepare for calls; the pool opens with the first one."""
        self.url = url.rstrip('/')
        self._session: aiohttp.ClientSession | None = None

    async def read(self, kind: str, name: str) -> StoredObject:
        """Return the current object; raise PLATFORM_UNREACHABLE."""
        answer = await self._request('GET', self._path(kind, name))
        return _read_object(answer, self.url)

    async def watch(
        self,
        kind: str,
        name: str,
        after: int,
    ) -> StoredObject | None:
        """Wait for a version above `after`; return nothing on time-out."""
        path = self._path(kind, name)
        answer = await self._request(
            'GET',
            f'{path}?after={after}&wait={WATCH_SECONDS}',
            wait=WATCH_SECONDS,
        )
        if answer.status == _NOT_MODIFIED:
            return None
        return _read_object(answer, self.url)

    async def write(
        self,
        kind: str,
        name: str,
        body: bytes,
        expected: int,
    ) -> WriteOutcome:
        """Replace version `expected`; zero creates the object."""
        condition = (
            {'If-Match': f'"{expected}"'}
            if expected
            else {'If-None-Match': '*'}
        )
        answer = await self._request(
            'PUT', self._path(kind, name), body, condition
        )
        stored = _read_object(answer, self.url)
        return WriteOutcome(answer.status == _OK, stored.version)

    async def aclose(self) -> None:
        """Close the connection pool."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _path(self, kind: str, name: str) -> str:
        return f'{self.url}/objects/{kind}/{name}'

    async def _request(
        self,
        method: str,
        url: str,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        wait: float = 0,
    ) -> '_Answer':
        if self._session is None:
            self._session = aiohttp.ClientSession()
        limit = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_SECONDS + wait)
        try:
            async with self._session.request(
                method, url, data=body, headers=headers, timeout=limit
            ) as response:
                return _Answer(response.status, await response.read())
        except (TimeoutError, aiohttp.ClientError, OSError) as error:
            reason = str(error) or type(error).__name__
            raise MarlbendError(
                ErrorKind.PLATFORM_UNREACHABLE,
                messages.PLATFORM_UNREACHABLE.format(
                    url=self.url, reason=reason
                ),
            ) from None


@final
class _Answer:
    """Hold an HTTP answer."""

    __slots__ = ('body', 'status')

    def __init__(self, status: int, body: bytes) -> None:
        self.status = status
        self.body = body


def _read_object(answer: _Answer, url: str) -> StoredObject:
    if answer.status == _NOT_FOUND:
        return StoredObject(0)
    if answer.status in {_OK, _CONFLICT}:
        try:
            return msgspec.json.decode(answer.body, type=StoredObject)
        except msgspec.DecodeError:
            answer.status = 0
    kind = (
        ErrorKind.PLATFORM_UNREACHABLE
        if answer.status >= _SERVER_FAULT
        else ErrorKind.PLATFORM_REFUSED
    )
    raise MarlbendError(
        kind,
        messages.PLATFORM_REFUSED.format(status=answer.status, url=url),
    )
