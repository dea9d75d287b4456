"""Publish a configuration so that one publisher wins whole.

The write names the version it replaces.  When its answer is lost, the object
is read back: each publication carries an identifier, and the configuration
remembers the latest ones, so the publisher finds out whether its write took
effect even if another one followed.
"""

from collections.abc import Callable
from contextlib import suppress
from typing import Final

import msgspec

from marlbend import clock, messages
from marlbend.config.documents import Configuration, drain_key
from marlbend.config.quarantine import (
    find_quarantine_violations,
    list_quarantined_addresses,
)
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.platform.client import PlatformClient, VersionedBody, WriteResult

__all__ = (
    'CONFIG_PATH',
    'change_configuration',
    'decode_configuration',
    'drain_upstream',
    'publish_configuration',
    'read_configuration',
)

CONFIG_PATH: Final = ('configuration', 'services')
REMEMBERED_PUBLICATIONS: Final = 16
WRITE_ATTEMPTS: Final = 3


async def read_configuration(
    platform: PlatformClient,
) -> tuple[int, Configuration]:
    """Return the published configuration and its version."""
    stored = await platform.read(*CONFIG_PATH)
    return stored.version, decode_configuration(stored)


def decode_configuration(stored: VersionedBody) -> Configuration:
    """Decode an object of the platform; raise MESSAGE_MALFORMED."""
    if not stored.version:
        return Configuration(())
    try:
        return msgspec.json.decode(stored.body, type=Configuration)
    except msgspec.DecodeError as error:
        raise MarlbendError(
            ErrorKind.MESSAGE_MALFORMED,
            messages.MESSAGE_MALFORMED.format(
                name='/'.join(CONFIG_PATH), reason=error
            ),
        ) from None


async def publish_configuration(
    platform: PlatformClient,
    document: Configuration,
    publication: str,
    expected: int | None = None,
) -> int:
    """Write the services of a configuration and return its version.

    What operators drain stays drained.  `expected` is the version it replaces,
    by default the current one.  Raise PUBLISH_CONFLICT when another
    publication came first, SERVICE_INVALID when an address must rest.
    """
    now = clock.wall_seconds()

    def replace_services(current: Configuration) -> Configuration:
        problems = list(
            find_quarantine_violations(current, document.services, now)
        )
        if problems:
            raise MarlbendError(
                ErrorKind.SERVICE_INVALID, messages.SERVICES_WRONG, problems
            )
        return msgspec.structs.replace(
            current,
            services=document.services,
            resting=tuple(
                list_quarantined_addresses(current, document.services, now)
            ),
        )

    return await change_configuration(
        platform, replace_services, publication, expected
    )


async def drain_upstream(
    platform: PlatformClient,
    service: str,
    upstream: str,
    publication: str,
    *,
    undo: bool = False,
) -> int:
    """Drain an upstream, or end that, and return the version.

    Raise UPSTREAM_UNKNOWN when the published services do not name it.
    """
    key = drain_key(service, upstream)

    def change_drains(current: Configuration) -> Configuration:
        _check_known(current, service, upstream)
        kept = {each for each in current.drains if each != key}
        drains = kept if undo else kept | {key}
        return msgspec.structs.replace(current, drains=tuple(sorted(drains)))

    return await change_configuration(platform, change_drains, publication)


async def change_configuration(
    platform: PlatformClient,
    change: Callable[[Configuration], Configuration],
    publication: str,
    expected: int | None = None,
) -> int:
    """Write what `change` makes of the configuration; return the version."""
    version, current = await read_configuration(platform)
    if expected is not None and expected != version:
        raise _conflict(expected, version)
    earlier = current.publications[: REMEMBERED_PUBLICATIONS - 1]
    marked = msgspec.structs.replace(
        change(current), publications=(publication, *earlier)
    )
    body = msgspec.json.encode(marked)
    outcome = await _write(platform, body, version, publication)
    if not outcome.written:
        raise _conflict(version, outcome.version)
    return outcome.version


def _check_known(
    current: Configuration,
    service: str,
    upstream: str,
) -> None:
    known = {
        drain_key(spec.service, each.name)
        for spec in current.services
        for each in spec.upstreams
    }
    if drain_key(service, upstream) not in known:
        raise MarlbendError(
            ErrorKind.UPSTREAM_UNKNOWN,
            messages.UPSTREAM_UNKNOWN.format(
                service=service, upstream=upstream
            ),
        )


async def _write(
    platform: PlatformClient,
    body: bytes,
    version: int,
    publication: str,
) -> WriteResult:
    """Write, and read back whenever the answer leaves a doubt."""
    failure = _conflict(version, version)
    try:
        outcome = await platform.write(*CONFIG_PATH, body, version)
    except MarlbendError as error:
        failure = error
    else:
        if outcome.written:
            return outcome
        # A client library may have sent the write again by itself, so even a
        # refusal can mean that it took effect.
    for _ in range(WRITE_ATTEMPTS):
        found = await _read_back(platform, version, publication)
        if found is not None:
            return found
        # The object is still the one to replace: the condition makes a second
        # write harmless should the first one arrive late.
        with suppress(MarlbendError):
            await platform.write(*CONFIG_PATH, body, version)
    raise failure


async def _read_back(
    platform: PlatformClient,
    version: int,
    publication: str,
) -> WriteResult | None:
    """Tell what became of a write, or nothing while it is undone."""
    found, current = await read_configuration(platform)
    if publication in current.publications:
        return WriteResult(written=True, version=found)
    if found == version:
        return None
    return WriteResult(written=False, version=found)


def _conflict(expected: int, found: int) -> MarlbendError:
    return MarlbendError(
        ErrorKind.PUBLISH_CONFLICT,
        messages.PUBLISH_CONFLICT.format(expected=expected, found=found),
    )
