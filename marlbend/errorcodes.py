"""Name every kind of error and how the programs answer it.

The list is closed: code that fails raises `MarlbendError` with one of these
kinds, and the table below decides the exit code and what the operator should
do next.  docs/errors.md shows the same table; a test compares the two.
"""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, final

__all__ = ('ANSWERS', 'Answer', 'ErrorKind')


@enum.unique
@final
class ErrorKind(enum.Enum):
    """List the kinds of error; the value is the code that users see."""

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
class Answer:
    """Say how a program answers one kind of error."""

    __slots__ = ('advice', 'exit_code')

    def __init__(self, exit_code: int, advice: str) -> None:
        """Keep the process exit code and the advice to the operator."""
        self.exit_code: Final = exit_code
        self.advice: Final = advice


ANSWERS: Final[Mapping[ErrorKind, Answer]] = MappingProxyType(
    {
        ErrorKind.USAGE: Answer(2, 'Correct the command line.'),
        ErrorKind.FILE_UNREADABLE: Answer(10, 'Check the path and its rights.'),
        ErrorKind.NOT_JSON: Answer(11, 'Correct the JSON at the place named.'),
        ErrorKind.SETTINGS_INVALID: Answer(12, 'Correct the settings named.'),
        ErrorKind.SERVICE_INVALID: Answer(
            13, 'Correct the service files named.'
        ),
        ErrorKind.UPSTREAM_UNKNOWN: Answer(14, 'Name an upstream in force.'),
        ErrorKind.PLATFORM_UNREACHABLE: Answer(20, 'Try again later.'),
        ErrorKind.SERVER_UNREACHABLE: Answer(23, 'Try again later.'),
        ErrorKind.PLATFORM_REFUSED: Answer(21, 'Report it: a defect.'),
        ErrorKind.PUBLISH_CONFLICT: Answer(22, 'Read, merge by hand, publish.'),
        ErrorKind.ADDRESS_IN_USE: Answer(30, 'Free the port or change it.'),
        ErrorKind.ADDRESS_UNAVAILABLE: Answer(31, 'Correct the address.'),
        ErrorKind.INSTANCE_UNREACHABLE: Answer(32, 'Check the instance.'),
        ErrorKind.MESSAGE_MALFORMED: Answer(40, 'Compare the versions.'),
    }
)
