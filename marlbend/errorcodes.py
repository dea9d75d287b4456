"""Define the kinds of error with their exit codes and advice.

The list is closed: code that fails raises `MarlbendError` with one of these
kinds.  The table maps each kind to the exit code of the process and to advice
for the operator.  docs/errors.md shows the same table; a test compares the two.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

__all__ = ('DETAILS_BY_KIND', 'ErrorDetails', 'ErrorKind')


@enum.unique
@final
class ErrorKind(enum.Enum):
    """Enumerate the kinds of error; the value is the code shown to users."""

    USAGE = 'usage'
    FILE_UNREADABLE = 'file-unreadable'
    NOT_JSON = 'not-json'
    SETTINGS_INVALID = 'settings-invalid'
    SERVICE_INVALID = 'service-invalid'
    UPSTREAM_UNKNOWN = 'upstream-unknown'
    PLATFORM_UNREACHABLE = 'platform-unreachable'
    SERVER_UNREACHABLE = 'server-unreachable'
    PLATFORM_REFUSED = 'platform-refused'
    PUBLISH_CONFLICT = 'publish-conflict'
    ADDRESS_IN_USE = 'address-in-use'
    ADDRESS_UNAVAILABLE = 'address-unavailable'
    INSTANCE_UNREACHABLE = 'instance-unreachable'
    MESSAGE_MALFORMED = 'message-malformed'


@final
class ErrorDetails:
    """Hold the exit code and the advice for one kind of error."""

    __slots__ = ('advice', 'exit_code')

    def __init__(self, exit_code: int, advice: str) -> None:
        """Set the exit code of the process and the advice for the operator."""
        self.exit_code: Final = exit_code
        self.advice: Final = advice


DETAILS_BY_KIND: Final[Mapping[ErrorKind, ErrorDetails]] = MappingProxyType(
    {
        ErrorKind.USAGE: ErrorDetails(2, 'Correct the command line.'),
        ErrorKind.FILE_UNREADABLE: ErrorDetails(
            10, 'Check the path and its permissions.'
        ),
        ErrorKind.NOT_JSON: ErrorDetails(
            11, 'Correct the JSON at the reported position.'
        ),
        ErrorKind.SETTINGS_INVALID: ErrorDetails(
            12, 'Correct the reported settings.'
        ),
        ErrorKind.SERVICE_INVALID: ErrorDetails(
            13, 'Correct the reported service files.'
        ),
        ErrorKind.UPSTREAM_UNKNOWN: ErrorDetails(
            14, 'Name an upstream of the published configuration.'
        ),
        ErrorKind.PLATFORM_UNREACHABLE: ErrorDetails(20, 'Try again later.'),
        ErrorKind.SERVER_UNREACHABLE: ErrorDetails(23, 'Try again later.'),
        ErrorKind.PLATFORM_REFUSED: ErrorDetails(21, 'Report this as a bug.'),
        ErrorKind.PUBLISH_CONFLICT: ErrorDetails(
            22, 'Read the current version, merge by hand and publish again.'
        ),
        ErrorKind.ADDRESS_IN_USE: ErrorDetails(
            30, 'Free the port or change it.'
        ),
        ErrorKind.ADDRESS_UNAVAILABLE: ErrorDetails(31, 'Correct the address.'),
        ErrorKind.INSTANCE_UNREACHABLE: ErrorDetails(32, 'Check the instance.'),
        ErrorKind.MESSAGE_MALFORMED: ErrorDetails(
            40, 'Compare the versions of the programs.'
        ),
    }
)
