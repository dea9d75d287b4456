"""Wire an instance that steers by cookies, and run it until SIGTERM.

This is the composition root of the platform's ground; `marlbend.main` chooses
between it and the one of a plain fabric.
"""

import asyncio
import signal
from collections.abc import Iterator
from random import Random
from typing import Final

from marlbend import VERSION
from marlbend.clock import steady_seconds
from marlbend.edge.follow import Feed, follow_topic
from marlbend.edge.peers import (
    Peers,
    make_pages,
    receive_beat,
    send_beats,
    send_farewell,
    spread_news,
)
from marlbend.events import Event, emit
from marlbend.http import Connection, Page, serve_pages
from marlbend.options import CookieSettings, Settings, split_endpoint
from marlbend.platform.header import address_packet, make_reset, read_packet
from marlbend.platform.objects import host_number
from marlbend.sockets import (
    make_sender,
    open_socket,
    start_reading,
    start_reading_senders,
)
from marlbend.steering.news import Member, News, Topic, list_live
from marlbend.steering.packet import Packet
from marlbend.steering.state import Outcome, Steering, Ways
from marlbend.steering.steer import (
    make_receiver,
    review_opening,
    sweep_flows,
)
from marlbend.steering.upstreams import Upstream, expire_upstreams
from marlbend.wire.beats import MemberNews

__all__ = ('serve',)

SWEEP_SECONDS: Final = 0.5
# Routers notice within three polls of half a second that an instance leaves.
LEAVE_SECONDS: Final = 2.5
# An instance reads for itself at this share of the time in which a change has
# to be in force; what is left is for the call.
PATIENCE_SHARE: Final = 0.75
_MILLISECONDS: Final = 1000


async def serve(settings: Settings, cookie: CookieSettings) -> None:
    """Run until a graceful shutdown has been asked for and is complete."""
    emit(Event.STARTED, name=settings.name, version=VERSION)
    steering = _wire_steering(settings, cookie)
    peers = _wire_peers(settings, cookie, steering)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)

    def ready() -> Page:
        serving = steering.ready and not stop.is_set()
        return (200 if serving else 503), 'text/plain', b''

    servers = [
        await serve_pages(
            split_endpoint(cookie.ready), {'/api/ready': ready}
        ),
        await serve_pages(split_endpoint(cookie.control), make_pages(peers)),
    ]
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(follow_topic(feed))
            for feed in _make_feeds(settings, peers)
        ]
        tasks.append(group.create_task(send_beats(peers)))
        tasks.append(group.create_task(_sweep(steering, peers.news)))
        await stop.wait()
        emit(Event.STOP_ASKED)
        peers.news.myself.fit = False
        await asyncio.sleep(min(LEAVE_SECONDS, cookie.stop_seconds / 2))
        for task in (*tasks, *peers.tasks):
            task.cancel()
    send_farewell(peers)
    for server in servers:
        server.close()
    emit(Event.STOPPED, flows=len(steering.flow_by_key))


def _make_feeds(settings: Settings, peers: Peers) -> Iterator[Feed]:
    address = split_endpoint(settings.platform.partition('://')[2])

    def spread() -> None:
        spread_news(peers)

    for topic in Topic:
        connection = Connection(address)
        yield Feed(topic, connection, peers.steering, peers.news, spread)


def _wire_peers(
    settings: Settings,
    cookie: CookieSettings,
    steering: Steering,
) -> Peers:
    endpoint = split_endpoint(cookie.control)
    now = steady_seconds()
    myself = Member(
        MemberNews(settings.name, endpoint, settings.domain, 0, fit=True), now
    )
    in_force = PATIENCE_SHARE * cookie.apply_milliseconds / _MILLISECONDS
    evacuated = PATIENCE_SHARE * cookie.domain_out_milliseconds / _MILLISECONDS
    patience = {
        Topic.CONFIGURATION: in_force,
        Topic.UPSTREAMS: in_force,
        Topic.DOMAINS_OUT: evacuated,
    }
    control = open_socket(*endpoint)
    peers = Peers(
        News(myself, patience),
        steering,
        tuple(map(split_endpoint, cookie.seeds)),
        # A beat that cannot be sent is repeated a quarter of a second later.
        make_sender(control, lambda: None),
    )

    def receive(datagram: bytes, sender: tuple[str, int]) -> None:
        receive_beat(peers, datagram, sender)

    start_reading_senders(control, receive, lambda: None)
    return peers


def _wire_steering(settings: Settings, cookie: CookieSettings) -> Steering:
    address, port = split_endpoint(cookie.fabric)
    fabric = open_socket(address, port)
    loop = asyncio.get_running_loop()

    def count_failure() -> None:
        steering.counts[Outcome.DROPPED_SEND] += 1

    send = make_sender(fabric, count_failure)

    def forward(packet: Packet, upstream: Upstream) -> None:
        number = host_number(upstream.name) or 0
        datagram = address_packet(packet, number, upstream.cookie)
        send(datagram, upstream.entry.address)

    def reset(packet: Packet) -> None:
        if not packet.resetting:
            datagram, caller = make_reset(packet)
            send(datagram, (caller, port))

    def remind(seconds: float, key: bytes) -> None:
        due = steady_seconds() + seconds
        loop.call_later(seconds, review, key, due)

    def review(key: bytes, due: float) -> None:
        steering.now = steady_seconds()
        review_opening(steering, key, due)

    def tell(
        outcome: Outcome,
        packet: Packet,
        upstream: Upstream | None,
    ) -> None:
        _tell(steering, outcome, packet, upstream)

    steering = Steering(
        settings.name, settings.domain, Ways(forward, reset, remind, tell), Random()
    )
    receive = make_receiver(steering)

    def receive_datagram(datagram: bytes) -> None:
        packet = read_packet(datagram)
        if packet is None:
            steering.counts[Outcome.DROPPED_MALFORMED] += 1
        else:
            receive(packet)

    def wake() -> None:
        steering.now = steady_seconds()

    start_reading(fabric, receive_datagram, wake)
    return steering


def _tell(
    steering: Steering,
    outcome: Outcome,
    packet: Packet,
    upstream: Upstream | None,
) -> None:
    emit(
        Event.FLOW_DECIDED,
        outcome=outcome.name.lower(),
        flow=packet.flow.hex(),
        upstream=upstream.name if upstream else '',
        version=steering.routes.version,
    )


async def _sweep(steering: Steering, news: News) -> None:
    while True:
        await asyncio.sleep(SWEEP_SECONDS)
        steering.now = steady_seconds()
        steering.heard_at = news.confirmed_by_topic[Topic.UPSTREAMS]
        steering.peers = tuple(list_live(news, steering.now))
        sweep_flows(steering)
        for ended in expire_upstreams(steering.pool, steering.now):
            emit(Event.UPSTREAM_ENDED, upstream=ended.name, reason='missing')
