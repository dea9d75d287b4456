"""Exchange beats with other instances, and fetch what they know better.

One datagram socket on the control endpoint carries the beats; the same port
over TCP serves what an instance knows of each topic.
"""

import asyncio
from collections.abc import Callable, Iterator
from typing import Final, final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.beliefs import (
    decode_whole,
    encode_whole,
    take_whole,
)
from marlbend.edge.changes import NEVER, take_told_changes
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.http import Answer, Connection, Page, PageMaker
from marlbend.steering.evidence import note_life
from marlbend.steering.failing import adopt_pause, fade_counts
from marlbend.steering.members import choose_targets, forget_silent
from marlbend.steering.news import (
    News,
    Topic,
    make_beat,
    merge_news,
    note_read,
)
from marlbend.steering.recent import keep_changes, list_since
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Told, Upstream
from marlbend.steering.verdicts import count_busy, review_domain
from marlbend.wire.beats import (
    Beat,
    ChangesNews,
    MemberNews,
    UpstreamNews,
    decode_beat,
    encode_beat,
)

__all__ = (
    'Peers',
    'make_pages',
    'make_spread',
    'receive_beat',
    'send_beats',
    'send_farewell',
    'spread_alarm',
    'spread_news',
    'stop_fetching',
)

Address = tuple[str, int]

# Loads change with every request, which takes some ten milliseconds; four
# beats a second cost less than 1% of a quarter of a core.
BEAT_SECONDS: Final = 0.25
# Each seed is asked about every ten seconds.
SEED_CHANCE: Final = 0.025
FETCH_SECONDS: Final = 1.0
# An alarm reaches the rest of a larger domain with the next beats.
ALARM_TARGETS: Final = 32
# What is found out within this time goes with the next beat.
ALARM_SECONDS: Final = 0.03
# Silence of an upstream is told for this long.
SILENCE_SECONDS: Final = 2.0
_MILLISECONDS: Final = 1000
_OK: Final = 200
_PATH: Final = '/beliefs/{topic}'
_SINCE: Final = 'since='


class _Told(msgspec.Struct, array_like=True, frozen=True):
    """Carry what an instance knows of a topic, and how old that is.

    With `changes`, which lead to the revision from the one asked about, the
    rest is empty.
    """

    revision: int
    age: int
    whole: bytes
    changes: tuple[ChangesNews, ...] = ()


@final
class Peers:
    """Hold the way to other instances.

    `fetching` holds the topics that are being fetched now, `tasks` the tasks
    that do it, and `alarmed_at` when the latest alarm was sent.
    """

    __slots__ = (
        'alarmed_at',
        'fetching',
        'news',
        'seeds',
        'send',
        'steering',
        'tasks',
    )

    def __init__(
        self,
        news: News,
        steering: Steering,
        seeds: tuple[Address, ...],
        send: Callable[[bytes, Address], None],
    ) -> None:
        """Start without having heard of anybody."""
        self.news = news
        self.steering = steering
        self.seeds = seeds
        self.send = send
        self.alarmed_at: float = 0
        self.fetching: set[Topic] = set()
        self.tasks: set[asyncio.Task[None]] = set()


async def send_beats(peers: Peers) -> None:
    """Send beats to a few instances, and ask the seeds.

    They are asked until one answers, and one of them now and then after that:
    parts of the fleet that were cut off for long may have forgotten each other.
    """
    random = peers.steering.random
    while True:
        alone = not peers.news.members.by_name
        for seed in peers.seeds:
            if alone or random.random() < SEED_CHANCE:
                peers.send(_encode(peers, '', answer=True), seed)
        if random.random() < SEED_CHANCE:
            forget_silent(peers.news.members, steady_seconds())
        spread_news(peers)
        await asyncio.sleep(BEAT_SECONDS)


def spread_news(peers: Peers) -> None:
    """Send one beat to each of a few instances."""
    news = peers.news
    targets = choose_targets(news.members, peers.steering.random)
    beat_by_domain: dict[str, bytes] = {}
    for member in targets:
        beat = beat_by_domain.get(member.domain) or _encode(
            peers, member.domain
        )
        beat_by_domain[member.domain] = beat
        peers.send(beat, member.endpoint)


def spread_alarm(peers: Peers) -> None:
    """Tell the own domain at once what this instance has just found out."""
    now = steady_seconds()
    if now - peers.alarmed_at < ALARM_SECONDS:
        return
    peers.alarmed_at = now
    news = peers.news
    beat = _encode(peers, news.myself.domain)
    for member in news.members.near[:ALARM_TARGETS]:
        peers.send(beat, member.endpoint)


def send_farewell(peers: Peers) -> None:
    """Tell every instance known that this one stops."""
    now = steady_seconds()
    members = make_beat(peers.news, peers.steering.random, now).members
    farewell = encode_beat(Beat(members[:1], leaving=True))
    for member in peers.news.members.by_name.values():
        peers.send(farewell, member.endpoint)


async def stop_fetching(peers: Peers) -> None:
    """Fetch nothing more, and wait until what was begun has ended."""
    while peers.tasks:
        for task in peers.tasks:
            task.cancel()
        await asyncio.gather(*peers.tasks, return_exceptions=True)
    peers.fetching.update(Topic)


def receive_beat(peers: Peers, datagram: bytes, sender: Address) -> None:
    """Take a beat in and fetch what its sender knows better."""
    beat = decode_beat(datagram)
    if beat is None or beat.members[0].endpoint != sender:
        return
    if sender == peers.news.myself.endpoint:
        return
    now = steady_seconds()
    told = beat.members[0]
    if take_told_changes(peers.steering, peers.news, beat.changes, now):
        spread_news(peers)
    for topic in merge_news(peers.news, beat, now):
        if topic not in peers.fetching:
            peers.fetching.add(topic)
            task = asyncio.create_task(_fetch(peers, topic, sender))
            peers.tasks.add(task)
            task.add_done_callback(peers.tasks.discard)
    _take_upstream_news(peers.steering, told, beat, now)
    if beat.answer:
        peers.send(_encode(peers, told.domain, in_full=True), sender)


def make_spread(peers: Peers) -> Callable[[ChangesNews], None]:
    """Return what tells others at once of changes that the platform told."""

    def spread(changes: ChangesNews) -> None:
        keep_changes(peers.news.recent, changes, steady_seconds())
        spread_news(peers)

    return spread


def make_pages(peers: Peers) -> dict[str, PageMaker]:
    """Return the pages that serve what this instance knows."""

    def page_of(topic: Topic) -> PageMaker:
        def answer(query: str) -> Page:
            if not peers.news.revision_by_topic[topic]:
                return 503, 'text/plain', b''
            told = _describe_topic(peers, topic, query)
            return _OK, 'application/msgpack', msgspec.msgpack.encode(told)

        return answer

    return {_PATH.format(topic=int(topic)): page_of(topic) for topic in Topic}


def _describe_topic(peers: Peers, topic: Topic, query: str) -> _Told:
    """Return the changes since the revision in a query, or all."""
    news = peers.news
    revision = news.revision_by_topic[topic]
    age = steady_seconds() - news.confirmed_by_topic[topic]
    known = query.removeprefix(_SINCE)
    changes: tuple[ChangesNews, ...] = ()
    if known.isdecimal():
        changes = list_since(news.recent, topic, int(known), revision)
    whole = b'' if changes else encode_whole(peers.steering, topic)
    return _Told(revision, int(age * _MILLISECONDS), whole, changes)


async def _fetch(peers: Peers, topic: Topic, sender: Address) -> None:
    connection = Connection(sender)
    path = _PATH.format(topic=int(topic))
    known = peers.news.revision_by_topic[topic]
    target = f'{path}?{_SINCE}{known}'
    try:
        _take_answer(
            peers, topic, await connection.call('GET', target, FETCH_SECONDS)
        )
    except (MarlbendError, msgspec.DecodeError) as error:
        emit(Event.FETCH_FAILED, peer=sender[0], error=error)
    finally:
        connection.close()
        peers.fetching.discard(topic)


def _take_answer(peers: Peers, topic: Topic, answer: Answer) -> None:
    if answer.status != _OK:
        return
    told = msgspec.msgpack.decode(answer.body, type=_Told)
    if told.revision <= peers.news.revision_by_topic[topic]:
        return
    now = steady_seconds()
    if told.changes:
        take_told_changes(peers.steering, peers.news, told.changes, now)
    else:
        take_whole(peers.steering, topic, decode_whole(topic, told.whole))
        note_read(peers.news, topic, told.revision, NEVER)
    if peers.news.revision_by_topic[topic] == told.revision:
        confirmed = now - told.age / _MILLISECONDS
        note_read(peers.news, topic, told.revision, confirmed)
    spread_news(peers)


def _encode(
    peers: Peers,
    domain: str,
    *,
    answer: bool = False,
    in_full: bool = False,
) -> bytes:
    """Return a beat for instances of a domain, empty where it is not known."""
    now = steady_seconds()
    steering = peers.steering
    beat = make_beat(peers.news, steering.random, now, in_full=in_full)
    if domain == peers.news.myself.domain:
        upstreams = tuple(_tell_upstreams(steering, now))
    else:
        upstreams = tuple(_tell_far(steering, domain, now))
    return encode_beat(
        msgspec.structs.replace(beat, upstreams=upstreams, answer=answer)
    )


def _tell_upstreams(steering: Steering, now: float) -> Iterator[UpstreamNews]:
    for known in steering.pool.by_name.values():
        recent = now - known.signs.silent_at < SILENCE_SECONDS
        fade_counts(known, now)
        avoided = known.served.avoided_until > now
        if known.busy or recent or avoided or known.served.answers >= 1:
            silences = known.signs.silences if recent else 0
            yield UpstreamNews(
                known.cookie,
                known.busy,
                silences,
                _age(known.signs.silent_since, now) if silences else -1,
                _age(known.signs.life_at, now),
                round(known.served.answers),
                round(known.served.shorts),
                max(int((known.served.avoided_until - now) * _MILLISECONDS), 0),
            )


def _tell_far(
    steering: Steering,
    domain: str,
    now: float,
) -> Iterator[UpstreamNews]:
    """Yield what concerns another domain.

    Of the own domain's upstreams those are told that are silent, as who stands
    beside one and hears nothing speaks for every path, and those that have no
    slot free, with all that they have to do.  Of the other domain's upstreams
    it is told what this instance lets them do.
    """
    for known in steering.pool.by_name.values():
        if known.entry.domain == domain and known.busy:
            yield UpstreamNews(known.cookie, known.busy, 0, -1, -1)
        elif known.entry.domain == steering.place.domain:
            yield from _tell_own(known, now)


def _tell_own(known: Upstream, now: float) -> Iterator[UpstreamNews]:
    recent = now - known.signs.silent_at < SILENCE_SECONDS
    silences = known.signs.silences if recent else 0
    busy = count_busy(known, now)
    if silences or busy >= known.entry.slots:
        since = _age(known.signs.silent_since, now) if silences else -1
        yield UpstreamNews(known.cookie, busy, silences, since, -1)


def _take_upstream_news(
    steering: Steering,
    teller: MemberNews,
    beat: Beat,
    now: float,
) -> None:
    steering.now = now
    for news in beat.upstreams:
        upstream = steering.pool.by_cookie.get(news.cookie)
        if upstream is None:
            continue
        if steering.place.domain in {teller.domain, upstream.entry.domain}:
            _take_one(steering, upstream, teller.name, news)
        elif teller.domain == upstream.entry.domain:
            upstream.far_busy = news.busy
            upstream.far_at = now
            own = msgspec.structs.replace(news, busy=0)
            _take_one(steering, upstream, teller.name, own)


def _take_one(
    steering: Steering,
    upstream: Upstream,
    member: str,
    news: UpstreamNews,
) -> None:
    now = steering.now
    told = Told(now, news.busy)
    if news.silences:
        told.silences = news.silences
        told.silent_since = now - news.silent_age / _MILLISECONDS
    told.answers = news.answers
    told.shorts = news.shorts
    upstream.told_by_member[member] = told
    if news.silences:
        review_domain(steering, upstream.entry.domain)
    if news.avoided:
        adopt_pause(steering, upstream, news.avoided / _MILLISECONDS)
    if news.life_age >= 0:
        note_life(steering, upstream, now - news.life_age / _MILLISECONDS)


def _age(moment: float, now: float) -> int:
    """Return an age in milliseconds, -1 for what never happened."""
    return int((now - moment) * _MILLISECONDS) if moment else -1
