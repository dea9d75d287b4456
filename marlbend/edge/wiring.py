"""Wire an instance that steers by cookies, and run it until SIGTERM.

This is the composition root of the platform's ground; `marlbend.main` chooses
between it and the one of a plain fabric.
"""

import asyncio
import signal
import time
from collections.abc import Iterator
from random import Random
from typing import Final

from marlbend import VERSION
from marlbend.edge.follow import Feed, follow_kind
from marlbend.edge.http import Page, serve_pages
from marlbend.edge.takers import (
    make_config_takers,
    make_domain_takers,
    make_upstream_takers,
)
from marlbend.events import Event, emit
from marlbend.options import CookieSettings, Settings, split_endpoint
from marlbend.sockets import make_sender, open_socket, start_reading
from marlbend.platform.header import address_packet, make_reset, read_packet
from marlbend.platform.objects import (
    CONFIG_KIND,
    DOMAINS_OUT_KIND,
    UPSTREAMS_KIND,
    host_number,
)
from marlbend.platform.store import StoreConnection
from marlbend.steering.packet import Packet
from marlbend.steering.state import Outcome, Steering, Ways
from marlbend.steering.steer import (
    make_receiver,
    review_opening,
    sweep_flows,
)
from marlbend.steering.upstreams import Upstream, expire_upstreams

__all__ = ('serve',)

SWEEP_SECONDS: Final = 0.5
# Routers notice within three polls of half a second that an instance leaves.
LEAVE_SECONDS: Final = 2.5


async def serve(settings: Settings, cookie: CookieSettings) -> None:
    """Run until a graceful shutdown has been asked for and is complete."""
    emit(Event.STARTED, name=settings.name, version=VERSION)
    steering = _wire_steering(settings, cookie)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)

    def ready() -> Page:
        serving = steering.ready and not stop.is_set()
        return (200 if serving else 503), 'text/plain', b''

    server = await serve_pages(
        split_endpoint(cookie.ready), {'/api/ready': ready}
    )
    async with asyncio.TaskGroup() as group:
        feeds = {feed.kind: feed for feed in _make_feeds(settings, steering)}
        tasks = [
            group.create_task(follow_kind(feed)) for feed in feeds.values()
        ]
        tasks.append(group.create_task(_sweep(steering, feeds[UPSTREAMS_KIND])))
        await stop.wait()
        emit(Event.STOP_ASKED)
        await asyncio.sleep(min(LEAVE_SECONDS, cookie.stop_seconds / 2))
        for task in tasks:
            task.cancel()
    server.close()
    emit(Event.STOPPED, flows=len(steering.flow_by_key))


def _make_feeds(settings: Settings, steering: Steering) -> Iterator[Feed]:
    takers_by_kind = {
        CONFIG_KIND: make_config_takers(steering),
        UPSTREAMS_KIND: make_upstream_takers(steering),
        DOMAINS_OUT_KIND: make_domain_takers(steering),
    }
    address = split_endpoint(settings.platform.partition('://')[2])
    for kind, takers in takers_by_kind.items():
        connection = StoreConnection(address)
        yield Feed(kind, connection, takers, steering.random)


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
        due = time.monotonic() + seconds
        loop.call_later(seconds, review, key, due)

    def review(key: bytes, due: float) -> None:
        steering.now = time.monotonic()
        review_opening(steering, key, due)

    def tell(
        outcome: Outcome,
        packet: Packet,
        upstream: Upstream | None,
    ) -> None:
        _tell(steering, outcome, packet, upstream)

    steering = Steering(
        settings.domain, Ways(forward, reset, remind, tell), Random()
    )
    receive = make_receiver(steering)

    def receive_datagram(datagram: bytes) -> None:
        packet = read_packet(datagram)
        if packet is None:
            steering.counts[Outcome.DROPPED_MALFORMED] += 1
        else:
            receive(packet)

    def wake() -> None:
        steering.now = time.monotonic()

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


async def _sweep(steering: Steering, upstreams: Feed) -> None:
    while True:
        await asyncio.sleep(SWEEP_SECONDS)
        steering.now = time.monotonic()
        steering.heard_at = upstreams.heard_at
        sweep_flows(steering)
        for ended in expire_upstreams(steering.pool, steering.now):
            emit(Event.UPSTREAM_ENDED, upstream=ended.name, reason='missing')
