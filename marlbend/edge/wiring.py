"""Wire an instance that steers by cookies, and run it until SIGTERM.

This is the composition root of the platform's ground; `marlbend.main` chooses
between it and the one of a plain fabric.
"""

import asyncio
import signal
from collections.abc import Coroutine, Iterator
from random import Random
from typing import Final

import msgspec

from marlbend import VERSION
from marlbend.clock import steady_seconds
from marlbend.edge.follow import Feed, follow_topic
from marlbend.edge.peers import (
    Peers,
    make_pages,
    make_spread,
    receive_beat,
    send_beats,
    send_farewell,
    spread_alarm,
    stop_fetching,
)
from marlbend.edge.reload import Reloading, follow_settings, patience_of
from marlbend.edge.status import describe, render_metrics
from marlbend.edge.sweeping import sweep
from marlbend.edge.telling import make_teller
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.http import Connection, RequestHandler, ServerResponse, serve_http
from marlbend.options import CookieSettings, Settings, split_endpoint
from marlbend.platform.client import parse_url
from marlbend.platform.header import (
    decode_packet,
    encapsulate_packet,
    make_reset,
)
from marlbend.platform.objects import parse_host_number
from marlbend.platform.paths import READY_PATH
from marlbend.sockets import (
    make_sender,
    open_socket,
    start_reading,
    start_reading_senders,
)
from marlbend.steering import (
    Callbacks,
    LocalInstance,
    Outcome,
    Packet,
    Steering,
)
from marlbend.steering.gossip import (
    GossipState,
    Topic,
)
from marlbend.steering.members import Member
from marlbend.steering.steer import make_receiver, retry_unanswered_syn
from marlbend.steering.upstreams import Upstream
from marlbend.wire import STATUS_PATH
from marlbend.wire.heartbeats import MemberUpdate

__all__ = ('serve',)

# Routers notice within three polls of half a second that an instance leaves.
LEAVE_SECONDS: Final = 2.5
METRICS_PATH: Final = '/metrics'
_OK: Final = 200
_UNAVAILABLE: Final = 503


async def serve(
    path: str,
    settings: Settings,
    cookie: CookieSettings,
) -> None:
    """Run until a graceful shutdown has been asked for and is complete.

    `path` is where changed settings are read from.
    """
    emit(Event.STARTED, name=settings.name, version=VERSION)
    peers = _wire_peers(settings, cookie, _wire_steering(settings, cookie))
    reloading = Reloading(
        path, settings, cookie, peers, _make_feeds(settings, peers)
    )
    stop = _catch_signals(reloading)
    servers = await _start_servers(reloading, stop)
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(work) for work in _list_work(reloading)]
        await _leave_when_asked(stop, reloading)
        for task in tasks:
            task.cancel()
        await stop_fetching(peers)
    for server in servers:
        server.close()
    emit(Event.STOPPED, flows=len(peers.steering.flow_by_key))


def _catch_signals(reloading: Reloading) -> asyncio.Event:
    """Return an event that is set when the process is asked to stop."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reloading.asked.set)
    return stop


async def _leave_when_asked(stop: asyncio.Event, reloading: Reloading) -> None:
    """Go on forwarding until the routers send packets elsewhere."""
    await stop.wait()
    emit(Event.STOP_ASKED)
    peers = reloading.peers
    peers.gossip.myself.can_read = False
    await asyncio.sleep(min(LEAVE_SECONDS, reloading.cookie.stop_seconds / 2))
    send_farewell(peers)


async def _start_servers(
    reloading: Reloading,
    stop: asyncio.Event,
) -> list[asyncio.Server]:
    """Serve the routers, other instances, the tool and the collector."""
    cookie = reloading.cookie
    peers = reloading.peers

    def ready(query: str) -> ServerResponse:
        serving = peers.steering.ready and not stop.is_set()
        return (_OK if serving else _UNAVAILABLE), 'text/plain', b''

    def status(query: str) -> ServerResponse:
        return _OK, 'application/json', msgspec.json.encode(describe(peers))

    def metrics(query: str) -> ServerResponse:
        return render_metrics(
            peers, peers.steering.estimates.handshake_times.latencies
        )

    pages_by_endpoint: dict[tuple[str, int], dict[str, RequestHandler]] = {
        split_endpoint(cookie.ready): {READY_PATH: ready},
        split_endpoint(cookie.control): {
            **make_pages(peers),
            STATUS_PATH: status,
        },
    }
    servers = [
        await serve_http(endpoint, pages)
        for endpoint, pages in pages_by_endpoint.items()
    ]
    try:
        servers.append(
            await serve_http(
                (reloading.settings.address, cookie.metrics_port),
                {METRICS_PATH: metrics},
            )
        )
    except MarlbendError as error:
        emit(Event.METRICS_UNAVAILABLE, error=error)
    return servers


def _list_work(reloading: Reloading) -> Iterator[Coroutine[None, None, None]]:
    peers = reloading.peers
    for feed in reloading.feeds:
        yield follow_topic(feed)
    yield send_beats(peers)
    yield follow_settings(reloading)
    yield sweep(peers.steering, peers.gossip)


def _make_feeds(settings: Settings, peers: Peers) -> Iterator[Feed]:
    address = parse_url(settings.platform)
    spread = make_spread(peers)

    for topic in Topic:
        connection = Connection(address)
        yield Feed(topic, connection, peers.steering, peers.gossip, spread)


def _wire_peers(
    settings: Settings,
    cookie: CookieSettings,
    steering: Steering,
) -> Peers:
    reached_at = split_endpoint(cookie.advertised or cookie.control)
    now = steady_seconds()
    myself = Member(
        MemberUpdate(
            settings.name, reached_at, settings.domain, 0, can_read=True
        ),
        now,
    )
    control = open_socket(*split_endpoint(cookie.control))
    peers = Peers(
        GossipState(myself, patience_of(cookie)),
        steering,
        tuple(map(split_endpoint, cookie.seeds)),
        # A beat that cannot be sent is repeated a quarter of a second later.
        make_sender(control, lambda: None),
    )

    def receive(datagram: bytes, sender: tuple[str, int]) -> None:
        receive_beat(peers, datagram, sender)

    def alarm() -> None:
        spread_alarm(peers)

    start_reading_senders(control, receive, lambda: None)
    steering.callbacks.gossip_now = alarm
    return peers


def _wire_steering(settings: Settings, cookie: CookieSettings) -> Steering:
    address, port = split_endpoint(cookie.fabric)
    fabric = open_socket(address, port)
    loop = asyncio.get_running_loop()

    def count_failure() -> None:
        steering.counts[Outcome.DROPPED_SEND] += 1

    send = make_sender(fabric, count_failure)

    def forward(packet: Packet, upstream: Upstream) -> None:
        number = parse_host_number(upstream.name) or 0
        datagram = encapsulate_packet(packet, number, upstream.cookie)
        send(datagram, upstream.entry.address)

    def reset(packet: Packet) -> None:
        if not packet.is_reset:
            datagram, caller = make_reset(packet)
            send(datagram, (caller, port))

    def remind(seconds: float, key: bytes) -> None:
        due = steady_seconds() + seconds
        loop.call_later(seconds, review, key, due)

    def review(key: bytes, due: float) -> None:
        steering.now = steady_seconds()
        retry_unanswered_syn(steering, key, due)

    steering = Steering(
        LocalInstance(settings.name, settings.domain),
        Callbacks(forward, reset, remind, make_teller(lambda: steering)),
        Random(),
    )
    receive = make_receiver(steering)

    def receive_datagram(datagram: bytes) -> None:
        packet = decode_packet(datagram)
        if packet is None:
            steering.counts[Outcome.DROPPED_MALFORMED] += 1
        else:
            receive(packet)

    def wake() -> None:
        steering.now = steady_seconds()

    start_reading(fabric, receive_datagram, wake)
    return steering
