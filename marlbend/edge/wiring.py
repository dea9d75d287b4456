"""Assemble an instance that steers by cookies, and run it until SIGTERM.

This is the composition root for the platform's fabric; `marlbend.main` chooses
between it and the one for a plain fabric.
"""

import asyncio
import signal
from collections.abc import Coroutine, Iterator
from functools import partial
from random import Random
from typing import Final

from marlbend import VERSION
from marlbend.clock import steady_seconds
from marlbend.edge.decision_log import make_decision_logger
from marlbend.edge.maintenance import end_missing_upstreams, run_maintenance
from marlbend.edge.peers import (
    GossipNode,
    announce_departure,
    make_announcer,
    receive_heartbeat,
    send_heartbeats,
    send_urgent_heartbeats,
    stop_fetching,
)
from marlbend.edge.reload import (
    RunningInstance,
    apply_cookie_settings,
    staleness_limits,
    watch_settings,
)
from marlbend.edge.reopened_updates import hand_over_reopened, send_reopened
from marlbend.edge.serving import start_servers
from marlbend.edge.tasks import run_forever
from marlbend.events import Event, emit
from marlbend.http import Connection
from marlbend.options import CookieSettings, Settings, split_endpoint
from marlbend.platform.client import parse_url
from marlbend.platform.header import (
    decode_packet,
    encapsulate_packet,
    make_reset,
)
from marlbend.platform.objects import parse_host_number
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
    Upstream,
)
from marlbend.steering.gossip import GossipState
from marlbend.steering.members import Member
from marlbend.steering.state import observe_time
from marlbend.steering.steer import make_receiver, retry_unanswered_syn
from marlbend.topics.knowledge import Topic
from marlbend.topics.reader import TopicWatcher, watch_topic
from marlbend.wire.heartbeats import MemberUpdate

__all__ = ('serve',)

# Routers poll every half second and notice within three polls that an instance
# is leaving; this is longer than those 1.5 s.
LEAVE_SECONDS: Final = 2.5


async def serve(
    path: str,
    settings: Settings,
    cookie_settings: CookieSettings,
) -> None:
    """Run until a graceful shutdown has been requested and is complete.

    Changed settings are read from the file `path`.
    """
    emit(Event.STARTED, name=settings.name, version=VERSION)
    node = _wire_gossip(
        settings, cookie_settings, _wire_steering(settings, cookie_settings)
    )
    instance = RunningInstance(
        path, settings, cookie_settings, node, _make_watchers(settings, node)
    )
    stop = _catch_signals(instance)
    servers = await start_servers(instance, stop)
    async with asyncio.TaskGroup() as group:
        tasks = [group.create_task(each) for each in _list_tasks(instance)]
        await _shut_down_on_request(stop, instance)
        for task in tasks:
            task.cancel()
        await stop_fetching(node)
    for server in servers:
        server.close()
    emit(Event.STOPPED, flows=len(node.steering.flow_by_key))


def _catch_signals(instance: RunningInstance) -> asyncio.Event:
    """Handle signals; return an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, instance.requested.set)
    return stop


async def _shut_down_on_request(
    stop: asyncio.Event, instance: RunningInstance
) -> None:
    """Wait for a stop request, then until routers send packets elsewhere.

    The instance goes on forwarding in the meantime.
    """
    await stop.wait()
    emit(Event.STOP_REQUESTED)
    node = instance.node
    # Step down as the elected reader.
    node.gossip.is_leaving = True
    node.gossip.myself.can_read = False
    hand_over_reopened(node)
    await asyncio.sleep(
        min(LEAVE_SECONDS, instance.cookie_settings.stop_seconds / 2)
    )
    hand_over_reopened(node)
    announce_departure(node)


def _list_tasks(
    instance: RunningInstance,
) -> Iterator[Coroutine[None, None, None]]:
    node = instance.node
    for watcher in instance.watchers:
        yield run_forever(
            watcher.topic.name.lower(), partial(watch_topic, watcher)
        )
    yield run_forever('heartbeats', partial(send_heartbeats, node))
    yield run_forever('settings', partial(watch_settings, instance))
    yield run_forever('maintenance', partial(run_maintenance, node))
    yield run_forever('missing', partial(end_missing_upstreams, node))


def _make_watchers(
    settings: Settings, node: GossipNode
) -> Iterator[TopicWatcher]:
    address = parse_url(settings.platform)
    announce = make_announcer(node)

    for topic in Topic:
        connection = Connection(address)
        yield TopicWatcher(
            topic, connection, node.steering, node.gossip, announce
        )


def _wire_gossip(
    settings: Settings,
    cookie_settings: CookieSettings,
    steering: Steering,
) -> GossipNode:
    endpoint = split_endpoint(
        cookie_settings.advertised or cookie_settings.control
    )
    now = steady_seconds()
    myself = Member(
        MemberUpdate(
            settings.name,
            endpoint,
            settings.domain,
            0,
            can_read=True,
            knows_eras=True,
        ),
        now,
    )
    control = open_socket(*split_endpoint(cookie_settings.control))
    node = GossipNode(
        GossipState(myself, staleness_limits(cookie_settings)),
        steering,
        tuple(map(split_endpoint, cookie_settings.seeds)),
        # A failed send is ignored: the next heartbeat follows in 0.25 s.
        make_sender(control, lambda: None),
    )

    def receive(datagram: bytes, sender_address: tuple[str, int]) -> None:
        receive_heartbeat(node, datagram, sender_address)

    def gossip_now() -> None:
        send_urgent_heartbeats(node)

    start_reading_with_sender(control, receive, lambda: None)
    steering.callbacks.gossip_now = gossip_now
    steering.callbacks.gossip_reopened = partial(send_reopened, node)
    return node


def _wire_steering(
    settings: Settings, cookie_settings: CookieSettings
) -> Steering:
    address, port = split_endpoint(cookie_settings.fabric)
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
    apply_cookie_settings(steering, cookie_settings)
    receive = make_receiver(steering)

    def receive_datagram(datagram: bytes) -> None:
        packet = decode_packet(datagram)
        if packet is None:
            steering.counts[Outcome.DROPPED_MALFORMED] += 1
        else:
            receive(packet)

    def update_time() -> None:
        steering.now = steady_seconds()
        observe_time(steering.local_instance, steering.now)

    start_reading(fabric, receive_datagram, update_time)
    return steering
