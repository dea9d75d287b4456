"""Encode the heartbeats that instances exchange.

A heartbeat is one datagram.  It carries ages in milliseconds instead of times,
so the clocks of the instances need not agree.
"""

from typing import Annotated, Final, final

import msgspec

from marlbend.validation import VALUE_ERRORS

__all__ = (
    'MAX_PRESSURE',
    'MAX_PRESSURES',
    'Heartbeat',
    'MemberLastSeen',
    'MemberUpdate',
    'PressureUpdate',
    'ReopenedFlowUpdate',
    'RouteTimesUpdate',
    'TopicChanges',
    'TopicRevision',
    'UpstreamUpdate',
    'decode_heartbeat',
    'encode_heartbeat',
)

MAX_PORT: Final = 65_535
MAX_COUNT: Final = 1_000_000
# A rank is a 32-bit checksum, and so is a cookie.
MAX_RANK: Final = 4_294_967_295
FLOW_KEY_BYTES: Final = 12
ENDPOINT_BYTES: Final = 6
MAX_BUCKETS: Final = 24
# How many services a heartbeat reports on, and the highest pressure of one, in
# hundredths.
MAX_PRESSURES: Final = 8
MAX_PRESSURE: Final = 10_000


_Age = Annotated[int, msgspec.Meta(ge=0)]
# -1 means that the event never happened.
_OptionalAge = Annotated[int, msgspec.Meta(ge=-1)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
_Address = Annotated[str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
_Port = Annotated[int, msgspec.Meta(ge=1, le=MAX_PORT)]
_Rank = Annotated[int, msgspec.Meta(ge=0, le=MAX_RANK)]
_Cookie = Annotated[int, msgspec.Meta(ge=0, le=MAX_RANK)]
_FlowKey = Annotated[
    bytes,
    msgspec.Meta(min_length=FLOW_KEY_BYTES, max_length=FLOW_KEY_BYTES),
]
_Endpoint = Annotated[
    bytes,
    msgspec.Meta(min_length=ENDPOINT_BYTES, max_length=ENDPOINT_BYTES),
]
_OptionalCount = Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNT)]
_Era = Annotated[int, msgspec.Meta(ge=0)]
# A number of `marlbend.steering.gossip.Topic`, or of a later release's.
_TopicNumber = Annotated[int, msgspec.Meta(ge=0)]


@final
class TopicRevision(msgspec.Struct, array_like=True, frozen=True):
    """Report the revision of a topic that the sender has, and its age.

    `age` is the time since that revision was known to be the latest, and
    `recovery_age` the time since the platform recovered from a failure, -1 if
    that never happened.  `era` is the era of the store that the revision
    belongs to, and `version` the version of the configuration in force, zero
    for other topics.  `clock` identifies the clock of the instance that read
    the revision from the platform, zero if it is unknown, and `confirmed_at` is
    the time of that on it, in milliseconds.

    Instances of former releases send neither of the last four.
    """

    topic: _TopicNumber
    revision: int
    age: _Age
    recovery_age: _OptionalAge = -1
    era: _Era = 0
    version: int = 0
    clock: int = 0
    confirmed_at: int = 0


@final
class TopicChanges(msgspec.Struct, array_like=True, frozen=True):
    """Carry the changes of a topic after one revision and up to another.

    Both revisions belong to the same era.  `delay` is for how many milliseconds
    the changes may have been in force before they were read, zero for changes
    that were read at once, and from instances of former releases.
    """

    topic: _TopicNumber
    since: int
    until: int
    body: bytes
    era: _Era = 0
    delay: _Age = 0


@final
class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Describe one instance.

    `endpoint` is its control endpoint, `age` the time since it was last heard
    from, and `can_read` whether its reads of the platform succeed.
    `knows_eras` is false for an instance of a former release, which cannot tell
    the revisions of one era of the store from those of another.
    """

    name: str
    endpoint: tuple[_Address, _Port]
    domain: str
    age: _Age
    can_read: bool
    knows_eras: bool = False


@final
class MemberLastSeen(msgspec.Struct, array_like=True, frozen=True):
    """Report when an instance, identified by rank, was last heard from."""

    rank: _Rank
    age: _Age
    can_read: bool


@final
class UpstreamUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report what the sender observed of one upstream, mostly on its own flows.

    `busy` counts requests in progress.  In a heartbeat to another domain, for
    an upstream of the sender's domain, it includes those that other instances
    reported.  `unanswered` counts unanswered packets since the last proof of
    liveness, and `unanswered_age` is the age of the oldest of them.
    `liveness_age` is the age of the last proof of liveness that the sender saw
    itself.  Both ages are -1 if there is none.  `responses` counts recent
    responses and `short_responses` those that are short enough to be errors.
    The sender ejects the upstream for another `ejected_for` milliseconds, zero
    if it does not.  `work` is the outstanding work in milliseconds, -1 if
    unknown, of the same requests as `busy`.  `slowdown` is the time that
    requests take in percent of the expected one, zero if unknown, from a number
    of `samples`.

    Instances of former releases send neither of the last three, and as
    `liveness_age` also that of a proof that was reported to them.  Passed on,
    an age grows too little by the delay of each heartbeat, so that under load
    an upstream that is gone seems to have responded a moment ago.
    """

    cookie: int
    busy: _Count
    unanswered: _Count
    unanswered_age: _OptionalAge
    liveness_age: _OptionalAge
    responses: _Count = 0
    short_responses: _Count = 0
    ejected_for: _Count = 0
    work: _OptionalCount = -1
    slowdown: _Count = 0
    samples: _Count = 0


@final
class ReopenedFlowUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report which upstream holds a flow whose SYN went to several.

    `cookie` is that of the upstream, zero while the sender does not know it.
    `age` is the time since the SYN went to a second upstream.
    """

    key: _FlowKey
    cookie: _Cookie
    age: _Age


@final
class RouteTimesUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report the distribution of the service times of a route.

    `counts` holds the measured requests by bucket, scaled, without the empty
    buckets at the end; see `marlbend.steering.placement.service_times`.
    """

    endpoint: _Endpoint
    counts: Annotated[tuple[_Count, ...], msgspec.Meta(max_length=MAX_BUCKETS)]


@final
class PressureUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Report the pressure of a service in contention, in hundredths.

    `age` is that of the latest shed response that the pressure is based on, of
    the sender's flows or reported to it.
    """

    service: str
    pressure: Annotated[int, msgspec.Meta(ge=0, le=MAX_PRESSURE)]
    age: _Age


@final
class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """Carry the gossip of one instance to another.

    `members` starts with the sender; a few other members follow, and
    `last_seen` reports on more of them in a fifth of the bytes.  Within a
    failure domain `upstreams` holds every upstream with recent activity.
    Between domains, where the paths to an upstream differ, it holds only two
    kinds: upstreams of the sender's domain that do not respond or have no free
    slot, with the load from that whole domain, and upstreams of the receiver's
    domain that the sender uses.  `reply_requested` requests a heartbeat in
    return. `changes` holds recent changes, for instances that have the revision
    before them.  `reopened_flows` holds flows whose SYN went to several
    upstreams, and `route_times`, in replies in full only, the service times of
    routes; instances of former releases neither send nor read them.  Nor do
    those of the previous release know `pressures`, which holds the services in
    contention with the highest pressure first.
    """

    members: tuple[MemberUpdate, ...]
    topics: tuple[TopicRevision, ...] = ()
    upstreams: tuple[UpstreamUpdate, ...] = ()
    leaving: bool = False
    reply_requested: bool = False
    changes: tuple[TopicChanges, ...] = ()
    last_seen: tuple[MemberLastSeen, ...] = ()
    reopened_flows: tuple[ReopenedFlowUpdate, ...] = ()
    route_times: tuple[RouteTimesUpdate, ...] = ()
    pressures: Annotated[
        tuple[PressureUpdate, ...], msgspec.Meta(max_length=MAX_PRESSURES)
    ] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Heartbeat)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Return the datagram of a heartbeat."""
    return _ENCODER.encode(heartbeat)


def decode_heartbeat(datagram: bytes) -> Heartbeat | None:
    """Return the heartbeat in a datagram, or `None` if it is malformed."""
    try:
        heartbeat = _DECODER.decode(datagram)
    except VALUE_ERRORS:
        return None
    return heartbeat if heartbeat.members else None
