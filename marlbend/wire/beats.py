"""Encode the beats by which instances keep each other informed.

A beat is one datagram.  Ages are milliseconds, so that clocks need not agree.
"""

from typing import Annotated, Final, final

import msgspec

__all__ = (
    'Beat',
    'ChangesNews',
    'MemberNews',
    'SeenNews',
    'TopicNews',
    'UpstreamNews',
    'decode_beat',
    'encode_beat',
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
class TopicNews(msgspec.Struct, array_like=True, frozen=True):
    """Say up to which revision a topic is known, and how old that is.

    `back_age` is how long ago the platform answered again after it had not,
    -1 if that never happened.
    """

    topic: _TopicNumber
    revision: int
    age: _Age
    back_age: _AgeIfAny = -1


@final
class ChangesNews(msgspec.Struct, array_like=True, frozen=True):
    """Carry what changed in a topic after one revision and up to another."""

    topic: _TopicNumber
    since: int
    until: int
    body: bytes


@final
class MemberNews(msgspec.Struct, array_like=True, frozen=True):
    """Tell of one instance: when it was heard, and if its reads succeed.

    `endpoint` is its control endpoint.
    """

    name: str
    endpoint: tuple[_Address, _Port]
    domain: str
    age: _Age
    fit: bool


@final
class SeenNews(msgspec.Struct, array_like=True, frozen=True):
    """Tell when an instance was heard, for those who know it by its rank."""

    rank: _Rank
    age: _Age
    fit: bool


@final
class UpstreamNews(msgspec.Struct, array_like=True, frozen=True):
    """Tell what the sender's own flows show of one upstream.

    `busy` counts requests in progress and `unanswered` flows without a sign of
    life since the oldest, `silent_age` ago; `life_age` is how long ago the last
    sign was, -1 if there was none.  `responses` counts recent answers and
    `short_responses` those that look like errors; the sender avoids the
    upstream for another `avoided`.
    """

    cookie: int
    busy: _Count
    unanswered: _Count
    silent_age: _AgeIfAny
    life_age: _AgeIfAny
    responses: _Count = 0
    short_responses: _Count = 0
    avoided: _Count = 0


@final
class Beat(msgspec.Struct, array_like=True, frozen=True):
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

    members: tuple[MemberNews, ...]
    topics: tuple[TopicNews, ...] = ()
    upstreams: tuple[UpstreamNews, ...] = ()
    leaving: bool = False
    answer: bool = False
    changes: tuple[ChangesNews, ...] = ()
    seen: tuple[SeenNews, ...] = ()


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Beat)


def encode_beat(beat: Beat) -> bytes:
    """Return a beat as a datagram."""
    return _ENCODER.encode(beat)


def decode_beat(datagram: bytes) -> Beat | None:
    """Return the beat in a datagram, or nothing if it is none."""
    try:
        beat = _DECODER.decode(datagram)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return beat if beat.members else None
