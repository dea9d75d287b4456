"""Name the kinds of objects and the paths of calls to the store."""

import re
from collections.abc import Iterator
from types import MappingProxyType
from typing import Final

from marlbend.steering.gossip import Topic

__all__ = ('KIND_BY_TOPIC', 'READY_PATH', 'list_path', 'watch_path')

# Asked by the routers; an instance that leaves answers 503.
READY_PATH: Final = '/api/ready'

# Upstreams register under `servers`; `evacuations` holds an object for each
# failure domain that the operator has taken out of service.
KIND_BY_TOPIC: Final = MappingProxyType(
    {
        Topic.CONFIGURATION: 'config',
        Topic.UPSTREAMS: 'servers',
        Topic.DOMAINS_OUT: 'evacuations',
    }
)

_MILLISECONDS: Final = 1000
_UNSAFE: Final = re.compile('[^A-Za-z0-9._~-]')


def list_path(topic: Topic, after: str) -> str:
    """Return the path of the next page of a topic's objects."""
    path = f'/api/objects/{KIND_BY_TOPIC[topic]}'
    if not after:
        return path
    escaped = _UNSAFE.sub(_escape, after)
    return f'{path}?after={escaped}'


def watch_path(topic: Topic, revision: int, seconds: float) -> str:
    """Return the path on which changes after a revision are waited for."""
    kind = KIND_BY_TOPIC[topic]
    wait = int(seconds * _MILLISECONDS)
    return f'/api/objects/{kind}?watch={revision}&wait_ms={wait}'


def _escape(found: re.Match[str]) -> str:
    """Return a character as its bytes in a query.

    The standard library's `urllib.parse` does the same, but is slow to import.
    """
    octets = found.group().encode().hex().upper()
    return ''.join(f'%{pair}' for pair in _pairs(octets))


def _pairs(octets: str) -> Iterator[str]:
    for start in range(0, len(octets), 2):
        yield octets[start : start + 2]
