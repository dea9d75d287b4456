"""Publish the service files so that concurrent publications never mix.

The version of the configuration is the revision of its object.  A write names
the version that it replaces, so one of two concurrent publishers succeeds and
the other one gets a conflict.  If the response to a write is lost, the object
is read back: each publication has an ID, and the configuration keeps the latest
IDs, so the publisher finds out whether its write took effect even if another
publication followed.
"""

from collections.abc import Callable
from contextlib import suppress
from typing import Final

import msgspec

from marlbend import clock, error_messages
from marlbend.config.documents import Configuration, drain_key
from marlbend.config.quarantine import (
    find_quarantine_violations,
    list_quarantined_addresses,
)
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.platform.client import PlatformClient, VersionedBody, WriteResult
from marlbend.validation import VALUE_ERRORS

__all__ = (
    'CONFIG_PATH',
    'decode_configuration',
    'drain_upstream',
    'publish_configuration',
    'read_configuration',
    'update_configuration',
)

# The kind and the name of the object.
CONFIG_PATH: Final = ('configuration', 'services')
MAX_PUBLICATION_IDS: Final = 16
READ_BACK_ATTEMPTS: Final = 3


async def read_configuration(
    platform: PlatformClient,
) -> tuple[int, Configuration]:
    """Return the published configuration and its version."""
    stored = await platform.read(*CONFIG_PATH)
    return stored.revision, decode_configuration(stored)


def decode_configuration(stored: VersionedBody) -> Configuration:
    """Return the configuration in a stored object, empty if there is none.

    Raise MESSAGE_MALFORMED if it cannot be decoded.
    """
    if not stored.revision:
        return Configuration(())
    try:
        return msgspec.json.decode(stored.body, type=Configuration)
    except VALUE_ERRORS as error:
        raise MarlbendError(
            ErrorKind.MESSAGE_MALFORMED,
            error_messages.MESSAGE_MALFORMED.format(
                name='/'.join(CONFIG_PATH), reason=error
            ),
        ) from None


async def publish_configuration(
    platform: PlatformClient,
    document: Configuration,
    publication_id: str,
    expected: int | None = None,
) -> int:
    """Publish the services of a configuration and return the new version.

    The operators' drains remain in effect.  `expected` is the version to
    replace, by default the current one.  Raise PUBLISH_CONFLICT if another
    publication came first, SERVICE_INVALID if a service uses a quarantined
    address.
    """
    now = clock.wall_seconds()

    def replace_services(current: Configuration) -> Configuration:
        problems = list(
            find_quarantine_violations(current, document.services, now)
        )
        if problems:
            raise MarlbendError(
                ErrorKind.SERVICE_INVALID,
                error_messages.SERVICES_INVALID,
                problems,
            )
        return msgspec.structs.replace(
            current,
            services=document.services,
            resting=tuple(
                list_quarantined_addresses(current, document.services, now)
            ),
        )

    return await update_configuration(
        platform, replace_services, publication_id, expected
    )


async def drain_upstream(
    platform: PlatformClient,
    service: str,
    upstream: str,
    publication_id: str,
    *,
    undo: bool = False,
) -> int:
    """Drain an upstream, or undo its drain, and return the new version.

    Raise UPSTREAM_UNKNOWN if no published service has this upstream.
    """
    key = drain_key(service, upstream)

    def change_drains(current: Configuration) -> Configuration:
        _check_upstream_exists(current, service, upstream)
        others = {each for each in current.drains if each != key}
        drains = others if undo else others | {key}
        return msgspec.structs.replace(current, drains=tuple(sorted(drains)))

    return await update_configuration(platform, change_drains, publication_id)


async def update_configuration(
    platform: PlatformClient,
    change: Callable[[Configuration], Configuration],
    publication_id: str,
    expected: int | None = None,
) -> int:
    """Apply `change` to the current configuration and write the result.

    Return the new version.  `expected` is the version to replace, by default
    the current one.  Raise PUBLISH_CONFLICT if another publication came first.
    """
    version, current = await read_configuration(platform)
    if expected is not None and expected != version:
        raise _publish_conflict(expected, version)
    earlier_ids = current.publications[: MAX_PUBLICATION_IDS - 1]
    updated = msgspec.structs.replace(
        change(current), publications=(publication_id, *earlier_ids)
    )
    body = msgspec.json.encode(updated)
    write_result = await _write(platform, body, version, publication_id)
    if not write_result.written:
        raise _publish_conflict(version, write_result.revision)
    return write_result.revision


def _check_upstream_exists(
    current: Configuration,
    service: str,
    upstream: str,
) -> None:
    upstreams = {
        drain_key(spec.service, each.name)
        for spec in current.services
        for each in spec.upstreams
    }
    if drain_key(service, upstream) not in upstreams:
        raise MarlbendError(
            ErrorKind.UPSTREAM_UNKNOWN,
            error_messages.UPSTREAM_UNKNOWN.format(
                service=service, upstream=upstream
            ),
        )


async def _write(
    platform: PlatformClient,
    body: bytes,
    version: int,
    publication_id: str,
) -> WriteResult:
    """Write; until the outcome is known, read back and write again.

    Raise the error of the first write if the object still has the version to
    replace after `READ_BACK_ATTEMPTS`; that is PUBLISH_CONFLICT if the platform
    reported a conflict.
    """
    failure = _publish_conflict(version, version)
    try:
        write_result = await platform.write(*CONFIG_PATH, body, version)
    except MarlbendError as error:
        failure = error
    else:
        if write_result.written:
            return write_result
        # A conflict may be with this very write, if something between the
        # publisher and the platform, such as a proxy, sent the write twice.
    for _ in range(READ_BACK_ATTEMPTS):
        actual_result = await _read_back(platform, version, publication_id)
        if actual_result is not None:
            return actual_result
        # The object still has the version to replace.  As the write names that
        # version, a retry is harmless even if the first write arrives late.
        with suppress(MarlbendError):
            await platform.write(*CONFIG_PATH, body, version)
    raise failure


async def _read_back(
    platform: PlatformClient,
    version: int,
    publication_id: str,
) -> WriteResult | None:
    """Return the result of a write, or `None` if it has not taken effect."""
    current_version, current = await read_configuration(platform)
    if publication_id in current.publications:
        return WriteResult(written=True, revision=current_version)
    if current_version == version:
        return None
    return WriteResult(written=False, revision=current_version)


def _publish_conflict(expected: int, found: int) -> MarlbendError:
    return MarlbendError(
        ErrorKind.PUBLISH_CONFLICT,
        error_messages.PUBLISH_CONFLICT.format(expected=expected, found=found),
    )
