"""Encode the beats by which instances keep each other informed.

A beat is one datagram.  Ages are milliseconds, so that clocks need not agree.
"""

from typing import Annotated, Final, final

import msgspec

__all__ = (
    'Heartbeat',
    'MemberLastSeen',
    'MemberUpdate',
    'TopicChanges',
    'TopicRevision',
    'UpstreamUpdate',
    'decode_heartbeat',
    'encode_heartbeat',
)

HIGHEST_PORT: Final = 65_535
# Topics are numbered from zero; a later version may know more of them.
HIGHEST_TOPIC: Final = 2
HIGHEST_COUNT: Final = 1_000_000
# A rank is a checksum of 32 bits.
HIGHEST_RANK: Final = 4_294_967_295


_Age = Annotated[int, msgspec.Meta(ge=0)]
# -1 stands for what never happened.
_AgeIfAny = Annotated[int, msgspec.Meta(ge=-1)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=HIGHEST_COUNT)]
_Address = Annotated[str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}$')]
_Port = Annotated[int, msgspec.Meta(ge=1, le=HIGHEST_PORT)]
_Rank = Annotated[int, msgspec.Meta(ge=0, le=HIGHEST_RANK)]
_TopicNumber = Annotated[int, msgspec.Meta(ge=0, le=HIGHEST_TOPIC)]


@final
class TopicRevision(msgspec.Struct, array_like=True, frozen=True):
    """Say up to which revision a topic is known, and how old that is.

    `back_age` is how long ago the platform answered again after it had not,
    -1 if that never happened.
    """

    topic: _TopicNumber
    revision: int
    age: _Age
    back_age: _AgeIfAny = -1


@final
class TopicChanges(msgspec.Struct, array_like=True, frozen=True):
    """Carry what changed in a topic after one revision and up to another."""

    topic: _TopicNumber
    since: int
    until: int
    body: bytes


@final
class MemberUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Tell of one instance: when it was heard, and if its reads succeed.

    `endpoint` is its control endpoint.
    """

    name: str
    endpoint: tuple[_Address, _Port]
    domain: str
    age: _Age
    can_read: bool


@final
class MemberLastSeen(msgspec.Struct, array_like=True, frozen=True):
    """Tell when an instance was heard, for those who know it by its rank."""

    rank: _Rank
    age: _Age
    can_read: bool


@final
class UpstreamUpdate(msgspec.Struct, array_like=True, frozen=True):
    """Tell what the sender's own flows show of one upstream.

    `busy` counts requests in progress and `silences` flows without a sign of
    life since the oldest, `silent_age` ago; `life_age` is how long ago the last
    sign was, -1 if there was none.  `answers` counts recent answers and
    `shorts` those that look like errors; the sender avoids the upstream for
    another `avoided`.
    """

    cookie: int
    busy: _Count
    silences: _Count
    silent_age: _AgeIfAny
    life_age: _AgeIfAny
    answers: _Count = 0
    shorts: _Count = 0
    avoided: _Count = 0


@final
class Heartbeat(msgspec.Struct, array_like=True, frozen=True):
    """Carry what an instance tells another.

    `members` starts with the sender itself; a few others follow, and `seen`
    tells of more of them in a fifth of the bytes.  Between failure domains,
    where the paths to an upstream differ, `upstreams` holds only those of
    the sender's own domain that are silent or have no slot free, with what the
    whole domain lets them do, and those of the receiver's domain that the
    sender uses.  `answer` asks for
    a beat in return.  `changes` holds what changed just now, for those who know
    the revision before it.
    """

    members: tuple[MemberUpdate, ...]
    topics: tuple[TopicRevision, ...] = ()
    upstreams: tuple[UpstreamUpdate, ...] = ()
    leaving: bool = False
    answer: bool = False
    changes: tuple[TopicChanges, ...] = ()
    seen: tuple[MemberLastSeen, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Heartbeat)


def encode_heartbeat(beat: Heartbeat) -> bytes:
    """Return a beat as a datagram."""
    return _ENCODER.encode(beat)


def decode_heartbeat(datagram: bytes) -> Heartbeat | None:
    """Return the beat in a datagram, or nothing if it is none."""
    try:
        beat = _DECODER.decode(datagram)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return beat if beat.members else None
