"""Wire an instance that steers by homes, and run it until SIGTERM.

This is the composition root of that way; every part is made here and handed to
the parts that use it.  `marlbend.homes.packets.path` tells the whole way of a
packet, `marlbend.homes.daemon.instance` the life of an instance.
"""

import asyncio
import logging
import signal
import time
from random import Random
from typing import Final

import grpc

from marlbend import clock
from marlbend.homes.active import ActiveConfig
from marlbend.homes.daemon.control import make_outbox, make_receiver
from marlbend.homes.daemon.following import make_snapshot
from marlbend.homes.daemon.instance import run_instance
from marlbend.homes.daemon.state import Instance
from marlbend.homes.daemon.transfer import take_hand_over
from marlbend.homes.flows import FlowTable, Timeouts
from marlbend.homes.lifecycle import make_lifecycle
from marlbend.homes.members import Fleet, Member
from marlbend.homes.members.prober import Prober
from marlbend.homes.packets import Outcome, PacketPath, Senders, make_receivers
from marlbend.homes.packets.state import update_clock
from marlbend.homes.status import describe_instance
from marlbend.homes.wire.messages import (
    HandOver,
    HandOverReply,
    Snapshot,
    SnapshotRequest,
    Status,
    StatusRequest,
)
from marlbend.homes.wire.rpc import Handlers, start_server
from marlbend.observe.metrics import Metrics, time_decisions
from marlbend.options import Settings
from marlbend.platform.client import PlatformClient
from marlbend.sockets import (
    make_sender,
    open_socket,
    start_reading,
    start_reading_senders,
)

__all__ = ('SLOT_COUNT', 'serve')

# Slots of a failure domain; the same on every instance of a deployment.
SLOT_COUNT: Final = 1024
_NANOSECONDS: Final = 1_000_000_000


async def serve(settings: Settings) -> None:
    """Wire one instance and run it until it is told to stop."""
    logging.getLogger('transitions').setLevel(logging.WARNING)
    metrics = Metrics()
    path = _wire_path(settings, metrics)
    instance = _wire_instance(settings, path, metrics)
    admin = await _wire_admin(settings, instance)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.stop_asked.set)
    instance.lifecycle.trigger('bind')
    seeds = tuple((peer, settings.ports.admin) for peer in settings.peers)
    await run_instance(instance, seeds)
    await admin.stop(grace=None)


def _wire_path(settings: Settings, metrics: Metrics) -> PacketPath:
    fabric = open_socket(settings.address, settings.ports.fabric)
    relay = open_socket(settings.address, settings.ports.relay)

    def wake() -> None:
        update_clock(path, time.monotonic())

    def count_failure() -> None:
        path.counts[Outcome.DROPPED_SEND] += 1

    path = PacketPath(
        ActiveConfig(),
        Fleet(_describe_myself(settings), SLOT_COUNT),
        FlowTable(settings.limits.flows),
        Senders(
            make_sender(fabric, count_failure),
            make_sender(relay, count_failure),
        ),
        settings.limits.half_open,
    )
    receive_fabric, receive_relay = make_receivers(path)
    start_reading(fabric, time_decisions(receive_fabric, metrics), wake)
    start_reading_senders(relay, receive_relay, wake)
    return path


def _describe_myself(settings: Settings) -> Member:
    return Member(
        name=settings.name,
        address=settings.address,
        domain=settings.domain,
        fabric_port=settings.ports.fabric,
        relay_port=settings.ports.relay,
        control_port=settings.ports.control,
        admin_port=settings.ports.admin,
        incarnation=int(clock.wall_seconds() * _NANOSECONDS),
    )


def _wire_instance(
    settings: Settings,
    path: PacketPath,
    metrics: Metrics,
) -> Instance:
    endpoint = open_socket(settings.address, settings.ports.control)
    instance = Instance(
        path,
        Prober(path.fleet, Random()),
        PlatformClient(settings.platform),
        make_lifecycle(),
        make_outbox(make_sender(endpoint, lambda: None), metrics),
    )
    limits = settings.limits
    instance.metrics = metrics
    instance.stop_seconds = limits.stop_seconds
    instance.timeouts = Timeouts(
        int(limits.half_open_seconds),
        int(limits.idle_seconds),
        int(limits.closing_seconds),
    )
    start_reading_senders(endpoint, make_receiver(instance), lambda: None)
    return instance


async def _wire_admin(
    settings: Settings,
    instance: Instance,
) -> grpc.aio.Server:
    async def on_status(request: StatusRequest) -> Status:
        return describe_instance(instance)

    async def on_hand_over(message: HandOver) -> HandOverReply:
        return take_hand_over(instance, message)

    async def on_snapshot(request: SnapshotRequest) -> Snapshot:
        return make_snapshot(instance)

    return await start_server(
        settings.address,
        settings.ports.admin,
        Handlers(on_status, on_hand_over, on_snapshot),
    )
