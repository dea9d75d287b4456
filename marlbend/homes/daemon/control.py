"""Send and receive the datagrams of the control port."""

import time
from collections.abc import Callable
from typing import Final

from marlbend.homes.daemon.loads import take_loads
from marlbend.homes.daemon.state import Address, Instance, Outbox
from marlbend.homes.daemon.views import enter_view
from marlbend.homes.flows.replicas import apply_replica_update
from marlbend.homes.members.answer import receive_message
from marlbend.homes.wire.control import ControlMessage, decode, encode
from marlbend.homes.wire.copies import Copies, LoadReport
from marlbend.homes.wire.liveness import Ping
from marlbend.observe.metrics import Metrics

__all__ = ('make_outbox', 'make_receiver')

# What IPv4 and UDP add to a datagram.
DATAGRAM_OVERHEAD_BYTES: Final = 28


def make_outbox(
    send: Callable[[bytes, Address], None],
    metrics: Metrics,
) -> Outbox:
    """Return an outbox that counts the bytes it sends."""

    def send_counted(message: ControlMessage, address: Address) -> int:
        datagram = encode(message)
        size = len(datagram) + DATAGRAM_OVERHEAD_BYTES
        metrics.control_bytes_sent += size
        send(datagram, address)
        return size

    return Outbox(send_counted)


def make_receiver(instance: Instance) -> Callable[[bytes, Address], None]:
    """Return the function that takes control datagrams."""
    metrics = instance.metrics

    def receive(datagram: bytes, sender: Address) -> None:
        started = time.thread_time()
        metrics.control_bytes_received += (
            len(datagram) + DATAGRAM_OVERHEAD_BYTES
        )
        message = decode(datagram)
        if message is None:
            metrics.control_malformed += 1
        elif _may_speak(instance, message, sender):
            _dispatch(instance, message, sender)
        else:
            metrics.control_foreign += 1
        metrics.control_seconds += time.thread_time() - started

    return receive


def _may_speak(
    instance: Instance,
    message: ControlMessage,
    sender: Address,
) -> bool:
    """Tell whether the sender is a known instance, or tells who it is.

    A joining instance is heard of by its own record, sent from the address
    that the record names.
    """
    if sender in instance.path.fleet.member_by_control:
        return True
    if not isinstance(message, Ping):
        return False
    return any(
        (member.address, member.control_port) == sender
        for member in message.news
    )


def _dispatch(
    instance: Instance,
    message: ControlMessage,
    sender: Address,
) -> None:
    if isinstance(message, Copies):
        apply_replica_update(instance.replicas, instance.path.active, message)
    elif isinstance(message, LoadReport):
        take_loads(instance, message)
    else:
        letters = receive_message(
            instance.prober, message, sender, time.monotonic()
        )
        instance.outbox.send_letters(letters)
        enter_view(instance)
