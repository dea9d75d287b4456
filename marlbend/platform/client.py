"""Read, watch and write single objects of the platform's store.

An object has a kind, a name, a revision and a JSON body, its `spec`.  A write
is a compare-and-swap: it names the revision that it replaces, and fails if the
object has another revision by now.  The store counts its changes.  The revision
of an object is the store revision at its last write, so a watch may start after
either.
"""

import re
from typing import Final, final

import msgspec

from marlbend import error_messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.http import ClientResponse, Connection
from marlbend.platform.pages import (
    ObjectChange,
    decode_changes,
    decode_object,
    decode_page,
)
from marlbend.validation import VALUE_ERRORS

__all__ = (
    'PlatformClient',
    'VersionedBody',
    'WriteResult',
    'expect_status',
    'find_era',
    'parse_url',
    'read_era',
)

REQUEST_TIMEOUT_SECONDS: Final = 3.0
# How long the platform may hold a watch open while nothing changes.
WATCH_SECONDS: Final = 20.0

_OK: Final = 200
_CREATED: Final = 201
_NOT_FOUND: Final = 404
_CONFLICT: Final = 409
_GONE: Final = 410
# More changes than a store makes in one era.
_REVISION_BITS: Final = 40
_SERVER_ERROR: Final = 500
_MILLISECONDS_PER_SECOND: Final = 1000
_ERA_HEADER: Final = 'store-era'
# Instances pass an era on in 63 bits.
_ERA: Final = re.compile('[0-9]{1,18}')
_PLATFORM_URL: Final = re.compile(r'http://([^:/]+):(\d+)')


def parse_url(url: str) -> tuple[str, int]:
    """Return the address and port of a URL.

    Raise USAGE unless it has the form `http://ADDRESS:PORT`.
    """
    matched = _PLATFORM_URL.fullmatch(url)
    if matched is None:
        raise MarlbendError(
            ErrorKind.USAGE, error_messages.NOT_A_URL.format(url=url)
        )
    return matched.group(1), int(matched.group(2))


class VersionedBody(msgspec.Struct, frozen=True):
    """Hold the body of an object and its revision.

    Revision zero means that the object does not exist.  `superseded` is how
    many earlier versions a watch returned with this one.  `era` is that of the
    store.
    """

    revision: int
    body: msgspec.Raw = msgspec.Raw(b'null')
    superseded: int = 0
    era: int = 0

    @property
    def version(self) -> int:
        """Return a number that rises with era and revision.

        In the first era, it is the revision.
        """
        return (max(self.era - 1, 0) << _REVISION_BITS) + self.revision


class WriteResult(msgspec.Struct, frozen=True):
    """Hold the result of a write.

    `written` is false if another write came first.  `revision` is the
    current revision of the object, zero if it does not exist.
    """

    written: bool
    revision: int


class _NewMeta(msgspec.Struct, frozen=True, omit_defaults=True):
    name: str
    # The revision to replace; left out when the object is created.
    rev: int = 0


class _NewObject(msgspec.Struct, frozen=True):
    meta: _NewMeta
    spec: msgspec.Raw


@final
class PlatformClient:
    """Read, watch and write objects; each request has its own connection."""

    __slots__ = ('_endpoint', 'url')

    def __init__(self, url: str) -> None:
        """Set the URL; raise USAGE unless it is `http://ADDRESS:PORT`."""
        self.url = url.rstrip('/')
        self._endpoint = parse_url(self.url)

    async def read(self, kind: str, name: str) -> VersionedBody:
        """Return the current body and revision of an object.

        Raise PLATFORM_UNREACHABLE if there is no response or the status is a
        server error, PLATFORM_REFUSED for any other unexpected status,
        MESSAGE_MALFORMED if the response cannot be decoded.
        """
        response = await self._request('GET', f'/api/objects/{kind}/{name}')
        return _decode_body(response, self.url)

    async def watch(
        self,
        kind: str,
        name: str,
        after: int,
        era: int = 0,
    ) -> VersionedBody | None:
        """Wait for a revision after `after`; return `None` if none arrives.

        With `after` zero, return the object at once if it exists.  If the
        platform no longer has the changes after `after`, or has come back from
        a copy since the era of `after`, return the current body whatever its
        revision, which is zero if there is no such object.  The deletion of an
        object is not reported.
        """
        if not after:
            current = await self.read(kind, name)
            if current.revision:
                return current
            after = await self._find_store_revision(kind)
        wait_ms = int(WATCH_SECONDS * _MILLISECONDS_PER_SECOND)
        path = f'/api/objects/{kind}?watch={after}&wait_ms={wait_ms}'
        response = await self._request('GET', path, wait_seconds=WATCH_SECONDS)
        if response.status == _GONE or (era and read_era(response) > era):
            return await self.read(kind, name)
        changes, _ = decode_changes(expect_status(response, self.url, _OK).body)
        return _find_last_version(changes, name, read_era(response))

    async def write(
        self,
        kind: str,
        name: str,
        body: bytes,
        expected: int,
    ) -> WriteResult:
        """Replace revision `expected` of an object; zero creates the object."""
        new_object = _NewObject(_NewMeta(name, expected), msgspec.Raw(body))
        path = f'/api/objects/{kind}'
        response = await self._request(
            'PUT' if expected else 'POST',
            f'{path}/{name}' if expected else path,
            msgspec.json.encode(new_object),
        )
        if response.status == _NOT_FOUND:
            return WriteResult(written=False, revision=0)
        stored = _decode_body(response, self.url)
        return WriteResult(response.status != _CONFLICT, stored.revision)

    async def _find_store_revision(self, kind: str) -> int:
        response = await self._request('GET', f'/api/objects/{kind}')
        return decode_page(expect_status(response, self.url, _OK).body)[1]

    async def _request(
        self,
        method: str,
        path: str,
        body: bytes = b'',
        wait_seconds: float = 0,
    ) -> ClientResponse:
        connection = Connection(self._endpoint)
        try:
            return await connection.request(
                method, path, REQUEST_TIMEOUT_SECONDS + wait_seconds, body
            )
        except MarlbendError as error:
            raise MarlbendError(
                ErrorKind.PLATFORM_UNREACHABLE,
                error_messages.PLATFORM_UNREACHABLE.format(
                    url=self.url, reason=error.text
                ),
            ) from None
        finally:
            connection.close()


def find_era(version: int) -> int:
    """Return a number that tells the era of a `VersionedBody.version`.

    It is zero for the first era, and for a store without eras.
    """
    return version >> _REVISION_BITS


def read_era(response: ClientResponse) -> int:
    """Return the era of the store that sent a response, zero without one.

    The era rises by one each time the store comes back from a copy that lacks
    its latest changes.  Revisions of one era say nothing about another.
    """
    text = response.headers.get(_ERA_HEADER, '')
    return int(text) if _ERA.fullmatch(text) else 0


def expect_status(
    response: ClientResponse, url: str, *statuses: int
) -> ClientResponse:
    """Return the response if it has one of the statuses.

    Otherwise raise PLATFORM_UNREACHABLE for a server error (5xx),
    PLATFORM_REFUSED for any other status.
    """
    if response.status in statuses:
        return response
    kind = ErrorKind.PLATFORM_REFUSED
    if response.status >= _SERVER_ERROR:
        kind = ErrorKind.PLATFORM_UNREACHABLE
    text = error_messages.UNEXPECTED_STATUS.format(
        status=response.status, url=url
    )
    raise MarlbendError(kind, text)


def _find_last_version(
    changes: list[ObjectChange], name: str, era: int
) -> VersionedBody | None:
    versions = [
        stored
        for stored, deleted in changes
        if stored.meta.name == name and not deleted
    ]
    if not versions:
        return None
    last = versions[-1]
    return VersionedBody(last.meta.rev, last.spec, len(versions) - 1, era)


def _decode_body(response: ClientResponse, url: str) -> VersionedBody:
    if response.status == _NOT_FOUND:
        return VersionedBody(0, era=read_era(response))
    expect_status(response, url, _OK, _CREATED, _CONFLICT)
    try:
        stored = decode_object(response.body)
    except VALUE_ERRORS as error:
        raise MarlbendError(
            ErrorKind.MESSAGE_MALFORMED,
            error_messages.MESSAGE_MALFORMED.format(
                name='object', reason=error
            ),
        ) from None
    return VersionedBody(stored.meta.rev, stored.spec, era=read_era(response))
