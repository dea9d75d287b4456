"""Send and receive the datagrams of the control port."""

import time
from collections.abc import Callable
from typing import Final

from marlbend.observe.metrics import Metrics
from marlbend.ownership.daemon.loads import handle_load_report
from marlbend.ownership.daemon.state import Address, Instance, Outbox
from marlbend.ownership.daemon.views import apply_view_change
from marlbend.ownership.flows.replicas import apply_replica_update
from marlbend.ownership.members.incoming import receive_message
from marlbend.ownership.wire.control import ControlMessage, decode, encode
from marlbend.ownership.wire.liveness import Ping
from marlbend.ownership.wire.replication import LoadReport, ReplicaUpdate

__all__ = ('make_outbox', 'make_receiver')

# Size of the IPv4 and UDP headers of a datagram.
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
    """Return the handler for datagrams received on the control port."""
    metrics = instance.metrics

    def receive(datagram: bytes, sender: Address) -> None:
        started = time.thread_time()
        metrics.control_bytes_received += (
            len(datagram) + DATAGRAM_OVERHEAD_BYTES
        )
        message = decode(datagram)
        if message is None:
            metrics.control_malformed += 1
        elif _is_accepted_sender(instance, message, sender):
            _dispatch(instance, message, sender)
        else:
            metrics.control_foreign += 1
        metrics.control_seconds += time.thread_time() - started

    return receive


def _is_accepted_sender(
    instance: Instance,
    message: ControlMessage,
    sender: Address,
) -> bool:
    """Return whether the sender is a known instance or introduces itself.

    A joining instance introduces itself with a ping that carries its own
    member record and comes from the control address in that record.
    """
    if sender in instance.path.view.member_by_control:
        return True
    if not isinstance(message, Ping):
        return False
    return any(
        (member.address, member.control_port) == sender
        for member in message.updates
    )


def _dispatch(
    instance: Instance,
    message: ControlMessage,
    sender: Address,
) -> None:
    if isinstance(message, ReplicaUpdate):
        apply_replica_update(instance.replicas, instance.path.active, message)
    elif isinstance(message, LoadReport):
        handle_load_report(instance, message)
    else:
        replies = receive_message(
            instance.detector, message, sender, time.monotonic()
        )
        instance.outbox.send_all(replies)
        apply_view_change(instance)
