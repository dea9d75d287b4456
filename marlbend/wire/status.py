"""Type what an instance shows of itself."""

import msgspec

__all__ = (
    'CookieStatus',
    'MemberStatus',
    'TopicStatus',
    'UpstreamStatus',
)


class TopicStatus(msgspec.Struct, frozen=True):
    """Tell up to which revision a topic is known, and its age in seconds."""

    revision: int
    age_seconds: float


class MemberStatus(msgspec.Struct, frozen=True):
    """Name a live instance, its failure domain and its control endpoint."""

    name: str
    domain: str
    endpoint: tuple[str, int]


class UpstreamStatus(msgspec.Struct, frozen=True):
    """Tell what an instance believes of one upstream."""

    name: str
    service: str
    domain: str
    state: str
    flows: int
    busy: int
    silences: int


class CookieStatus(msgspec.Struct, frozen=True):
    """Tell what an instance that steers by cookies knows and does.

    `members` holds the live instances, this one first; `reader` says
    whether this one reads the platform for all.
    """

    name: str
    domain: str
    version: str
    ready: bool
    configuration: int
    routes: int
    reader: bool
    topics: dict[str, TopicStatus]
    members: tuple[MemberStatus, ...]
    domains_out: tuple[str, ...]
    domains_cut: tuple[str, ...]
    upstreams: tuple[UpstreamStatus, ...]
    packets: dict[str, int]
    resident_bytes: int
