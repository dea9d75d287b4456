"""Read, watch and write single objects of the platform's store.

An object has a kind, a name, a revision and a JSON body, its `spec`.  A write
names the revision that it replaces and fails when another write came first.
"""

import re
from typing import Final, final

import msgspec

from marlbend import messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.http import ClientResponse, Connection
from marlbend.platform.objects import StoredObject, decode_changes, decode_page

__all__ = (
    'PlatformClient',
    'VersionedBody',
    'WriteResult',
    'expect_status',
    'parse_url',
)

REQUEST_SECONDS: Final = 3.0
WATCH_SECONDS: Final = 20.0

_OK: Final = 200
_CREATED: Final = 201
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
_SERVER_FAULT: Final = 500
_MILLISECONDS: Final = 1000
_URL: Final = re.compile(r'http://([^:/]+):(\d+)')


def parse_url(url: str) -> tuple[str, int]:
    """Return address and port of `http://ADDRESS:PORT`; raise USAGE."""
    found = _URL.fullmatch(url)
    if found is None:
        raise MarlbendError(ErrorKind.USAGE, messages.NOT_A_URL.format(url=url))
    return found.group(1), int(found.group(2))


class VersionedBody(msgspec.Struct, frozen=True):
    """Hold what is stored under a name; version zero is absent."""

    version: int
    body: msgspec.Raw = msgspec.Raw(b'null')


class WriteResult(msgspec.Struct, frozen=True):
    """Tell the version a write led to, or that another came first."""

    written: bool
    version: int


class _NewMeta(msgspec.Struct, frozen=True, omit_defaults=True):
    name: str
    # The revision that a write replaces; absent on creation.
    rev: int = 0


class _NewObject(msgspec.Struct, frozen=True):
    meta: _NewMeta
    spec: msgspec.Raw


@final
class PlatformClient:
    """Keep the address of the platform; each call has its own connection."""

    __slots__ = ('_address', 'url')

    def __init__(self, url: str) -> None:
        """Prepare for calls; raise USAGE unless `http://ADDRESS:PORT`."""
        self.url = url.rstrip('/')
        self._address = parse_url(self.url)

    async def read(self, kind: str, name: str) -> VersionedBody:
        """Return the current body; raise PLATFORM_UNREACHABLE."""
        answer = await self._call('GET', f'/api/objects/{kind}/{name}')
        return _read_body(answer, self.url)

    async def watch(
        self,
        kind: str,
        name: str,
        after: int,
    ) -> VersionedBody | None:
        """Wait for a version above `after`; return nothing on time-out."""
        if not after:
            found = await self.read(kind, name)
            if found.version:
                return found
            after = await self._find_revision(kind)
        wait = int(WATCH_SECONDS * _MILLISECONDS)
        path = f'/api/objects/{kind}?watch={after}&wait_ms={wait}'
        answer = await self._call('GET', path, wait=WATCH_SECONDS)
        if answer.status == _GONE:
            return await self.read(kind, name)
        changes, _ = decode_changes(expect_status(answer, self.url, _OK).body)
        for stored, deleted in reversed(changes):
            if stored.meta.name == name and not deleted:
                return VersionedBody(stored.meta.rev, stored.spec)
        return None

    async def write(
        self,
        kind: str,
        name: str,
        body: bytes,
        expected: int,
    ) -> WriteResult:
        """Replace version `expected`; zero creates the object."""
        written = _NewObject(_NewMeta(name, expected), msgspec.Raw(body))
        path = f'/api/objects/{kind}'
        answer = await self._call(
            'PUT' if expected else 'POST',
            f'{path}/{name}' if expected else path,
            msgspec.json.encode(written),
        )
        if answer.status == _NOT_FOUND:
            return WriteResult(written=False, version=0)
        stored = _read_body(answer, self.url)
        return WriteResult(answer.status != _CONFLICT, stored.version)

    async def _find_revision(self, kind: str) -> int:
        answer = await self._call('GET', f'/api/objects/{kind}')
        return decode_page(expect_status(answer, self.url, _OK).body)[1]

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        wait: float = 0,
    ) -> ClientResponse:
        connection = Connection(self._address)
        try:
            return await connection.request(
                method, path, REQUEST_SECONDS + wait, body
            )
        except MarlbendError as error:
            raise MarlbendError(
                ErrorKind.PLATFORM_UNREACHABLE,
                messages.PLATFORM_UNREACHABLE.format(
                    url=self.url, reason=error.text
                ),
            ) from None
        finally:
            connection.close()


def expect_status(
    answer: ClientResponse, url: str, *statuses: int
) -> ClientResponse:
    """Return an answer of one of the statuses.

    Raise PLATFORM_UNREACHABLE for a fault of the server, else
    PLATFORM_REFUSED.
    """
    if answer.status in statuses:
        return answer
    kind = ErrorKind.PLATFORM_REFUSED
    if answer.status >= _SERVER_FAULT:
        kind = ErrorKind.PLATFORM_UNREACHABLE
    text = messages.PLATFORM_REFUSED.format(status=answer.status, url=url)
    raise MarlbendError(kind, text)


def _read_body(answer: ClientResponse, url: str) -> VersionedBody:
    if answer.status == _NOT_FOUND:
        return VersionedBody(0)
    expect_status(answer, url, _OK, _CREATED, _CONFLICT)
    try:
        stored = msgspec.json.decode(answer.body, type=StoredObject)
    except msgspec.DecodeError as error:
        raise MarlbendError(
            ErrorKind.MESSAGE_MALFORMED,
            messages.MESSAGE_MALFORMED.format(name='object', reason=error),
        ) from None
    return VersionedBody(stored.meta.rev, stored.spec)
