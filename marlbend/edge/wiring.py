"""Assemble an instance that steers by cookies, and run it until SIGTERM.

This is the composition root for the platform's fabric; `marlbend.main` chooses
between it and the one for a plain fabric.
"""

import asyncio
import signal
from collections.abc import Coroutine, Iterator
from random import Random
from typing import Final

import msgspec

from marlbend import VERSION
from marlbend.clock import steady_seconds
from marlbend.edge.decision_log import make_decision_logger
from marlbend.edge.maintenance import run_maintenance
from marlbend.edge.peers import (
    Peers,
    announce_departure,
    make_announcer,
    make_topic_handlers,
    receive_heartbeat,
    send_heartbeats,
    send_urgent_heartbeats,
    stop_fetching,
)
from marlbend.edge.reload import ReloadState, staleness_limits, watch_settings
from marlbend.edge.status import describe_instance, render_metrics
from marlbend.edge.watch import TopicWatcher, watch_topic
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
    start_reading_with_sender,
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

# Routers poll every half second, and notice within three polls that an instance
# is leaving.
LEAVE_SECONDS: Final = 2.5
METRICS_PATH: Final = '/metrics'
_OK: Final = 200
_UNAVAILABLE: Final = 503


async def serve(
    path: str,
    settings: Settings,
    cookie: CookieSettings,
) -> None:
    """Run until a graceful shutdown has been requested and is complete.

    Changed settings are read from the file `path`.
    """
    emit(Event.STARTED, name=settings.name, version=VERSION)
    peers = _wire_peers(settings, cookie, _wire_steering(settings, cookie))
    reload_state = ReloadState(
        path, settings, cookie, peers, _make_watchers(settings, peers)
    )
    stop = _catch_signals(reload_state)
    servers = await _start_servers(reload_state, stop)
    async with asyncio.TaskGroup() as group:
        tasks = [
            group.create_task(coroutine)
            for coroutine in _list_tasks(reload_state)
        ]
        await _shut_down_on_request(stop, reload_state)
        for task in tasks:
            task.cancel()
        await stop_fetching(peers)
    for server in servers:
        server.close()
    emit(Event.STOPPED, flows=len(peers.steering.flow_by_key))


def _catch_signals(reload_state: ReloadState) -> asyncio.Event:
    """Handle signals; return an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload_state.requested.set)
    return stop


async def _shut_down_on_request(
    stop: asyncio.Event, reload_state: ReloadState
) -> None:
    """Wait for a stop request, then until routers send packets elsewhere.

    The instance goes on forwarding in the meantime.
    """
    await stop.wait()
    emit(Event.STOP_REQUESTED)
    peers = reload_state.peers
    peers.gossip.myself.can_read = False
    await asyncio.sleep(
        min(LEAVE_SECONDS, reload_state.cookie.stop_seconds / 2)
    )
    announce_departure(peers)


async def _start_servers(
    reload_state: ReloadState,
    stop: asyncio.Event,
) -> list[asyncio.Server]:
    """Start the servers of the readiness, control and metrics endpoints.

    Routers poll the first; other instances and the tool use the second.
    """
    cookie = reload_state.cookie
    peers = reload_state.peers

    def serve_ready(query: str) -> ServerResponse:
        serving = peers.steering.ready and not stop.is_set()
        return (_OK if serving else _UNAVAILABLE), 'text/plain', b''

    def serve_status(query: str) -> ServerResponse:
        return (
            _OK,
            'application/json',
            msgspec.json.encode(describe_instance(peers)),
        )

    def serve_metrics(query: str) -> ServerResponse:
        return render_metrics(
            peers, peers.steering.estimates.handshake_times.latencies
        )

    handlers_by_endpoint: dict[tuple[str, int], dict[str, RequestHandler]] = {
        split_endpoint(cookie.ready): {READY_PATH: serve_ready},
        split_endpoint(cookie.control): {
            **make_topic_handlers(peers),
            STATUS_PATH: serve_status,
        },
    }
    servers = [
        await serve_http(endpoint, handlers)
        for endpoint, handlers in handlers_by_endpoint.items()
    ]
    try:
        servers.append(
            await serve_http(
                (reload_state.settings.address, cookie.metrics_port),
                {METRICS_PATH: serve_metrics},
            )
        )
    except MarlbendError as error:
        emit(Event.METRICS_UNAVAILABLE, error=error)
    return servers


def _list_tasks(
    reload_state: ReloadState,
) -> Iterator[Coroutine[None, None, None]]:
    peers = reload_state.peers
    for watcher in reload_state.watchers:
        yield watch_topic(watcher)
    yield send_heartbeats(peers)
    yield watch_settings(reload_state)
    yield run_maintenance(peers.steering, peers.gossip)


def _make_watchers(settings: Settings, peers: Peers) -> Iterator[TopicWatcher]:
    address = parse_url(settings.platform)
    announce = make_announcer(peers)

    for topic in Topic:
        connection = Connection(address)
        yield TopicWatcher(
            topic, connection, peers.steering, peers.gossip, announce
        )


def _wire_peers(
    settings: Settings,
    cookie: CookieSettings,
    steering: Steering,
) -> Peers:
    endpoint = split_endpoint(cookie.advertised or cookie.control)
    now = steady_seconds()
    myself = Member(
        MemberUpdate(
            settings.name, endpoint, settings.domain, 0, can_read=True
        ),
        now,
    )
    control = open_socket(*split_endpoint(cookie.control))
    peers = Peers(
        GossipState(myself, staleness_limits(cookie)),
        steering,
        tuple(map(split_endpoint, cookie.seeds)),
        # A failed send is ignored: the next heartbeat follows in 0.25 s.
        make_sender(control, lambda: None),
    )

    def receive(datagram: bytes, sender: tuple[str, int]) -> None:
        receive_heartbeat(peers, datagram, sender)

    def gossip_now() -> None:
        send_urgent_heartbeats(peers)

    start_reading_with_sender(control, receive, lambda: None)
    steering.callbacks.gossip_now = gossip_now
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

    def schedule_retry(seconds: float, key: bytes) -> None:
        due_at = steady_seconds() + seconds
        loop.call_later(seconds, retry, key, due_at)

    def retry(key: bytes, due_at: float) -> None:
        steering.now = steady_seconds()
        retry_unanswered_syn(steering, key, due_at)

    steering = Steering(
        LocalInstance(settings.name, settings.domain),
        Callbacks(
            forward,
            reset,
            schedule_retry,
            make_decision_logger(lambda: steering),
        ),
        Random(),
    )
    receive = make_receiver(steering)

    def receive_datagram(datagram: bytes) -> None:
        packet = decode_packet(datagram)
        if packet is None:
            steering.counts[Outcome.DROPPED_MALFORMED] += 1
        else:
            receive(packet)

    def update_time() -> None:
        steering.now = steady_seconds()

    start_reading(fabric, receive_datagram, update_time)
    return steering
