"""Name the kinds of objects and the paths of calls to the store."""

from types import MappingProxyType
from typing import Final

from marlbend.steering.news import Topic

__all__ = ('KIND_BY_TOPIC', 'list_path', 'watch_path')

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


def list_path(topic: Topic, after: str) -> str:
    """Return the path of the next page of a topic's objects."""
    path = f'/api/objects/{KIND_BY_TOPIC[topic]}'
    return f'{path}?after={after}' if after else path


def watch_path(topic: Topic, revision: int, seconds: float) -> str:
    """Return the path on which changes after a revision are waited for."""
    kind = KIND_BY_TOPIC[topic]
    wait = int(seconds * _MILLISECONDS)
    return f'/api/objects/{kind}?watch={revision}&wait_ms={wait}'
