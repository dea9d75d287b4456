"""Define the paths of HTTP requests to and from the platform.

Instances request the platform's objects by kind; the fabric's routers poll
instances for readiness.
"""

import re
from collections.abc import Iterator
from types import MappingProxyType
from typing import Final

from marlbend.topics.knowledge import Topic

__all__ = ('KIND_BY_TOPIC', 'READY_PATH', 'list_path', 'watch_path')

# Each instance serves this path, and the fabric's routers poll it.  An instance
# that is not ready, or that leaves, responds 503.
READY_PATH: Final = '/api/ready'

# Upstreams register themselves under `servers`.  `evacuations` has one object
# for each failure domain that the operator has taken out of service.
KIND_BY_TOPIC: Final = MappingProxyType(
    {
        Topic.CONFIGURATION: 'config',
        Topic.UPSTREAMS: 'servers',
        Topic.DOMAINS_OUT: 'evacuations',
    }
)

_MILLISECONDS_PER_SECOND: Final = 1000
# Every character outside the unreserved set of RFC 3986.
_RESERVED: Final = re.compile('[^A-Za-z0-9._~-]')


def list_path(topic: Topic, after: str) -> str:
    """Return the path of the page of a topic's objects that follows `after`.

    `after` is the name of the last object of the previous page, empty for the
    first page.
    """
    path = f'/api/objects/{KIND_BY_TOPIC[topic]}'
    if not after:
        return path
    escaped = _RESERVED.sub(_percent_encode, after)
    return f'{path}?after={escaped}'


def watch_path(topic: Topic, revision: int, seconds: float) -> str:
    """Return the path of a long poll for changes after a store revision."""
    kind = KIND_BY_TOPIC[topic]
    wait_ms = int(seconds * _MILLISECONDS_PER_SECOND)
    return f'/api/objects/{kind}?watch={revision}&wait_ms={wait_ms}'


def _percent_encode(matched: re.Match[str]) -> str:
    """Return the percent-encoding of a character.

    The standard library's `urllib.parse` does the same, but is slow to import.
    """
    hex_digits = matched.group().encode().hex().upper()
    return ''.join(f'%{pair}' for pair in _split_pairs(hex_digits))


def _split_pairs(hex_digits: str) -> Iterator[str]:
    for start in range(0, len(hex_digits), 2):
        yield hex_digits[start : start + 2]
