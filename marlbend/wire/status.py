"""Define the status that an instance serves over HTTP."""

import msgspec

__all__ = (
    'CandidateStatus',
    'ControlStatus',
    'CookieStatus',
    'FlowExplanation',
    'MemberStatus',
    'TopicStatus',
    'UpstreamStatus',
)


class TopicStatus(msgspec.Struct, frozen=True):
    """Report the known revision of a topic and its age in seconds.

    `era` rises each time the store comes back from a copy.
    """

    revision: int
    age_seconds: float
    era: int = 0


class MemberStatus(msgspec.Struct, frozen=True):
    """Identify a live instance by name, failure domain and control endpoint."""

    name: str
    domain: str
    endpoint: tuple[str, int]


class UpstreamStatus(msgspec.Struct, frozen=True):
    """Report the state of one upstream as an instance sees it.

    `flows` counts the open flows of this instance.  `busy` counts requests in
    progress, including those that other instances reported.  `silences` counts
    unanswered packets since the last proof of liveness.
    """

    name: str
    service: str
    domain: str
    state: str
    flows: int
    busy: int
    silences: int


class CandidateStatus(msgspec.Struct, frozen=True):
    """Report what placement knows of one upstream, in milliseconds.

    `expected_ms` is when a request would be complete: the outstanding work
    `work_ms`, and `idle_ms` for what idle flows may bring, over the slots, and
    the request's own cost, times the slowdown; more for a remote one.
    """

    name: str
    domain: str
    expected_ms: float
    work_ms: float
    idle_ms: float
    slots: int
    busy: int
    slowdown: float
    is_cold: bool
    is_remote: bool


class FlowExplanation(msgspec.Struct, frozen=True):
    """Report where a new flow would go now, and why.

    `candidates` starts with the best one.  `limit` is the share of the work of
    this priority that is admitted, `allowed_ms` how long a request may be
    expected to take, and `flow_ms` the expected time of all requests of the
    flow.  `method` is the one in force for the service, `requests` or `work`,
    and `placement` the setting, which instances of earlier releases do not
    report.  The verdict is that of placement by work, also while the method in
    force is another.
    """

    route: str
    service: str
    method: str
    verdict: str
    reason: str
    cost_ms: float
    target_ms: float
    candidates: tuple[CandidateStatus, ...]
    limit: float = 1
    allowed_ms: float = 0
    placement: str = ''
    flow_ms: float = 0


class ControlStatus(msgspec.Struct, frozen=True):
    """Count what was sent to other instances for one cause.

    `deferred` counts the messages that exceeded the budget.
    """

    bytes: int
    messages: int
    deferred: int


class CookieStatus(msgspec.Struct, frozen=True):
    """Report the state of an instance that steers packets by cookie.

    `members` holds the live instances, this one first.  `reader` is whether
    this one is the elected reader of the platform.  `control` maps each cause
    of messages to other instances to what was sent; instances of earlier
    releases do not report it.
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
    control: dict[str, ControlStatus] = {}
