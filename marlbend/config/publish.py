"""Publish a configuration so that one publisher wins whole.

The write names the version it replaces.  When its answer is lost, the object
is read back: each publication carries an identifier, and the configuration
remembers the latest ones, so the publisher finds out whether its write took
effect even if another one followed.
"""

from contextlib import suppress
from typing import Final

import msgspec

from marlbend import messages
from marlbend.config.documents import Configuration
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError
from marlbend.platform import Platform, StoredObject, WriteOutcome

__all__ = (
    'CONFIG_PATH',
    'decode_configuration',
    'publish_configuration',
    'read_configuration',
)

CONFIG_PATH: Final = ('configuration', 'services')
REMEMBERED_PUBLICATIONS: Final = 16
WRITE_ATTEMPTS: Final = 3


async def read_configuration(
    platform: Platform,
) -> tuple[int, Configuration]:
    """Return the published configuration and its version."""
    stored = await platform.read(*CONFIG_PATH)
    return stored.version, decode_configuration(stored)


def decode_configuration(stored: StoredObject) -> Configuration:
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
    platform: Platform,
    document: Configuration,
    publication: str,
    expected: int | None = None,
) -> int:
    """Write a configuration and return its version.

    `expected` is the version it replaces, by default the current one.  Raise
    PUBLISH_CONFLICT when another publication came first.
    """
    version, current = await read_configuration(platform)
    if expected is not None and expected != version:
        raise _conflict(expected, version)
    earlier = current.publications[: REMEMBERED_PUBLICATIONS - 1]
    marked = msgspec.structs.replace(
        document, publications=(publication, *earlier)
    )
    body = msgspec.json.encode(marked)
    outcome = await _write(platform, body, version, publication)
    if not outcome.written:
        raise _conflict(version, outcome.version)
    return outcome.version


async def _write(
    platform: Platform,
    body: bytes,
    version: int,
    publication: str,
) -> WriteOutcome:
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
    platform: Platform,
    version: int,
    publication: str,
) -> WriteOutcome | None:
    """Tell what became of a write, or nothing while it is undone."""
    found, current = await read_configuration(platform)
    if publication in current.publications:
        return WriteOutcome(written=True, version=found)
    if found == version:
        return None
    return WriteOutcome(written=False, version=found)


def _conflict(expected: int, found: int) -> MarlbendError:
    return MarlbendError(
        ErrorKind.PUBLISH_CONFLICT,
        messages.PUBLISH_CONFLICT.format(expected=expected, found=found),
    )
