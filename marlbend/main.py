"""Start the daemon: read the settings, wire the parts, run until SIGTERM.

This is the composition root; every part is made here and handed to the parts
that use it.  The whole way of a packet is told in `marlbend.packets.path`,
the life of an instance in `marlbend.instance`.
"""

import argparse
import asyncio
import logging
import signal
import sys
import time
from collections.abc import Callable, Iterable
from random import Random
from typing import Final

import grpc

from marlbend.config import ActiveConfig
from marlbend.errors import MarlbendError
from marlbend.flows import FlowTable, Timeouts
from marlbend.instance import Instance, run_instance, take_hand_over
from marlbend.lifecycle import make_lifecycle
from marlbend.members import Fleet, Member
from marlbend.members.probe import Letter, Prober, receive_message
from marlbend.observe import Metrics, time_decisions
from marlbend.observe.status import describe_instance
from marlbend.options import Settings, load_settings
from marlbend.packets import Outcome, PacketPath, Senders, make_receivers
from marlbend.packets.receive import (
    make_sender,
    open_socket,
    start_reading,
    start_reading_senders,
)
from marlbend.platform import Platform
from marlbend.wire import liveness
from marlbend.wire.messages import (
    HandOver,
    HandOverReply,
    Status,
    StatusRequest,
)
from marlbend.wire.rpc import start_server

__all__ = ('run',)

SLOT_COUNT: Final = 1024
# What IPv4 and UDP add to a datagram.
DATAGRAM_OVERHEAD_BYTES: Final = 28

Address = tuple[str, int]


def run() -> None:
    """Run `marlbendd`; the exit code comes from the table of errors."""
    parser = argparse.ArgumentParser(
        prog='marlbendd',
        description='Run one instance of the marlbend load balancer.',
    )
    parser.add_argument(
        '--settings',
        required=True,
        metavar='FILE',
        help='settings of the instance, in JSON',
    )
    arguments = parser.parse_args()
    try:
        _run_with(arguments.settings)
    except MarlbendError as error:
        sys.stderr.write(f'marlbendd: {error}\n')
        sys.exit(error.exit_code)


def _run_with(path: str) -> None:
    settings = load_settings(path)
    _start_logging(settings)
    asyncio.run(serve(settings))


async def serve(settings: Settings) -> None:
    """Wire one instance and run it until it is told to stop."""
    metrics = Metrics()
    path = _wire_path(settings, metrics)
    prober = Prober(path.fleet, Random())
    send_letters = _wire_control(settings, prober, metrics)
    instance = Instance(
        path,
        prober,
        Platform(settings.platform),
        make_lifecycle(),
        send_letters,
    )
    limits = settings.limits
    instance.stop_seconds = limits.stop_seconds
    instance.timeouts = Timeouts(
        int(limits.half_open_seconds),
        int(limits.idle_seconds),
        int(limits.closing_seconds),
    )
    admin = await _wire_admin(settings, instance, metrics)
    _stop_on_signals(instance)
    instance.lifecycle.trigger('bind')
    await run_instance(instance)
    await admin.stop(grace=None)


def _stop_on_signals(instance: Instance) -> None:
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, instance.stop_asked.set)


def _start_logging(settings: Settings) -> None:
    logging.basicConfig(
        level=settings.log_level,
        format=f'%(asctime)s {settings.name} %(levelname)s %(message)s',
    )
    logging.getLogger('transitions').setLevel(logging.WARNING)


def _wire_path(settings: Settings, metrics: Metrics) -> PacketPath:
    ports = settings.ports
    fabric = open_socket(settings.address, ports.fabric)
    relay = open_socket(settings.address, ports.relay)
    myself = Member(
        name=settings.name,
        address=settings.address,
        domain=settings.domain,
        fabric_port=ports.fabric,
        relay_port=ports.relay,
        control_port=ports.control,
        admin_port=ports.admin,
        incarnation=time.time_ns(),
    )

    def count_failure() -> None:
        path.counts[Outcome.DROPPED_SEND] += 1

    path = PacketPath(
        ActiveConfig(),
        Fleet(myself, SLOT_COUNT),
        FlowTable(settings.limits.flows),
        Senders(
            make_sender(fabric, count_failure),
            make_sender(relay, count_failure),
        ),
        settings.limits.half_open,
    )
    receive_fabric, receive_relay = make_receivers(path)
    start_reading(fabric, time_decisions(receive_fabric, metrics))
    start_reading_senders(relay, receive_relay)
    return path


def _wire_control(
    settings: Settings,
    prober: Prober,
    metrics: Metrics,
) -> Callable[[Iterable[Letter]], None]:
    endpoint = open_socket(settings.address, settings.ports.control)
    send = make_sender(endpoint, lambda: None)

    def send_letters(letters: Iterable[Letter]) -> None:
        for letter in letters:
            datagram = liveness.encode(letter.message)
            metrics.control_sent += len(datagram) + DATAGRAM_OVERHEAD_BYTES
            send(datagram, letter.address)

    def receive(datagram: bytes, sender: Address) -> None:
        metrics.control_received += len(datagram) + DATAGRAM_OVERHEAD_BYTES
        message = liveness.decode(datagram)
        if message is None:
            metrics.control_malformed += 1
            return
        send_letters(receive_message(prober, message, sender, time.monotonic()))

    start_reading_senders(endpoint, receive)
    return send_letters


async def _wire_admin(
    settings: Settings,
    instance: Instance,
    metrics: Metrics,
) -> grpc.aio.Server:
    async def on_status(request: StatusRequest) -> Status:
        return describe_instance(instance, metrics)

    async def on_hand_over(message: HandOver) -> HandOverReply:
        return take_hand_over(instance.path, message)

    return await start_server(
        settings.address,
        settings.ports.admin,
        on_status,
        on_hand_over,
    )


if __name__ == '__main__':
    run()
