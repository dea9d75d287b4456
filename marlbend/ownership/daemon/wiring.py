"""Wire an instance that steers by flow ownership, and run it until SIGTERM.

This is the composition root of this mode: every component is created here and
passed to those that use it.  `marlbend.ownership.packets.path` describes the
path of a packet, `marlbend.ownership.daemon.instance` the tasks of an instance.
"""

import asyncio
import logging
import signal
import time
from random import Random
from typing import Final

import grpc

from marlbend import clock
from marlbend.observe.metrics import Metrics, time_decisions
from marlbend.options import Settings
from marlbend.ownership.active import ActiveConfig
from marlbend.ownership.daemon.control import make_outbox, make_receiver
from marlbend.ownership.daemon.instance import run_instance
from marlbend.ownership.daemon.state import Instance
from marlbend.ownership.daemon.sync import make_snapshot
from marlbend.ownership.daemon.transfer import accept_handover
from marlbend.ownership.flows import FlowTable, Timeouts
from marlbend.ownership.lifecycle import make_lifecycle
from marlbend.ownership.members import Member, MembershipView
from marlbend.ownership.members.failure_detector import FailureDetector
from marlbend.ownership.packets import (
    Outcome,
    PacketPath,
    Senders,
    make_receivers,
)
from marlbend.ownership.packets.state import update_clock
from marlbend.ownership.status import describe_instance
from marlbend.ownership.wire.messages import (
    Handover,
    HandoverReply,
    Snapshot,
    SnapshotRequest,
    Status,
    StatusRequest,
)
from marlbend.ownership.wire.rpc import Handlers, start_server
from marlbend.platform.client import PlatformClient
from marlbend.sockets import (
    make_sender,
    open_socket,
    start_reading,
    start_reading_with_sender,
)

__all__ = ('HASH_SLOT_COUNT', 'serve')

# Hash slots per failure domain; the same on all instances of a deployment.
HASH_SLOT_COUNT: Final = 1024
_NANOSECONDS_PER_SECOND: Final = 1_000_000_000


async def serve(settings: Settings) -> None:
    """Wire one instance and run it until a signal stops it."""
    logging.getLogger('transitions').setLevel(logging.WARNING)
    metrics = Metrics()
    path = _wire_path(settings, metrics)
    instance = _wire_instance(settings, path, metrics)
    admin = await _wire_admin(settings, instance)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, instance.stop_requested.set)
    instance.lifecycle.trigger('bind')
    seeds = tuple((peer, settings.ports.admin) for peer in settings.peers)
    await run_instance(instance, seeds)
    await admin.stop(grace=None)


def _wire_path(settings: Settings, metrics: Metrics) -> PacketPath:
    fabric = open_socket(settings.address, settings.ports.fabric)
    relay = open_socket(settings.address, settings.ports.relay)

    def on_batch() -> None:
        update_clock(path, time.monotonic())

    def count_send_failure() -> None:
        path.counts[Outcome.DROPPED_SEND] += 1

    path = PacketPath(
        ActiveConfig(),
        MembershipView(_make_local_member(settings), HASH_SLOT_COUNT),
        FlowTable(settings.limits.flows),
        Senders(
            make_sender(fabric, count_send_failure),
            make_sender(relay, count_send_failure),
        ),
        settings.limits.half_open,
    )
    receive_fabric, receive_relay = make_receivers(path)
    start_reading(fabric, time_decisions(receive_fabric, metrics), on_batch)
    start_reading_with_sender(relay, receive_relay, on_batch)
    return path


def _make_local_member(settings: Settings) -> Member:
    return Member(
        name=settings.name,
        address=settings.address,
        domain=settings.domain,
        fabric_port=settings.ports.fabric,
        relay_port=settings.ports.relay,
        control_port=settings.ports.control,
        admin_port=settings.ports.admin,
        incarnation=int(clock.wall_seconds() * _NANOSECONDS_PER_SECOND),
    )


def _wire_instance(
    settings: Settings,
    path: PacketPath,
    metrics: Metrics,
) -> Instance:
    control_socket = open_socket(settings.address, settings.ports.control)
    instance = Instance(
        path,
        FailureDetector(path.view, Random()),
        PlatformClient(settings.platform),
        make_lifecycle(),
        make_outbox(make_sender(control_socket, lambda: None), metrics),
    )
    limits = settings.limits
    instance.metrics = metrics
    instance.stop_seconds = limits.stop_seconds
    instance.timeouts = Timeouts(
        int(limits.half_open_seconds),
        int(limits.idle_seconds),
        int(limits.closing_seconds),
    )
    start_reading_with_sender(
        control_socket, make_receiver(instance), lambda: None
    )
    return instance


async def _wire_admin(
    settings: Settings,
    instance: Instance,
) -> grpc.aio.Server:
    async def on_status(request: StatusRequest) -> Status:
        return describe_instance(instance)

    async def on_handover(message: Handover) -> HandoverReply:
        return accept_handover(instance, message)

    async def on_snapshot(request: SnapshotRequest) -> Snapshot:
        return make_snapshot(instance)

    return await start_server(
        settings.address,
        settings.ports.admin,
        Handlers(on_status, on_handover, on_snapshot),
    )
