"""Embed the packet decisions of marlbend without its daemon.

Three instances in one process relay packets to each other by function calls.
A flow is opened through the first of them and continued through each of them.
All of its packets reach the same upstream.
"""

import sys
from collections.abc import Callable, Sequence

from marlbend.config import (
    Configuration,
    ServiceSpec,
    UpstreamSpec,
)
from marlbend.ownership.active import ActiveConfig, apply_configuration
from marlbend.ownership.flows import FlowTable
from marlbend.ownership.members import Member, MembershipView, merge_member
from marlbend.ownership.packets import PacketPath, Senders, make_receivers
from marlbend.ownership.packets.state import update_clock

Endpoint = tuple[str, int]
Relay = Callable[[bytes, Endpoint], None]

HASH_SLOT_COUNT = 64
START_SECONDS = 100.0
MAX_FLOWS = 100
# The SYN and a later segment of one flow, as the fabric delivers them.
SYN_PACKET = bytes.fromhex(
    '4500002800000000400600000a090909c63364010fa001bb'
    '00000000000000005002000000000000',
)
ACK_PACKET = bytes.fromhex(
    '4500002800000000400600000a090909c63364010fa001bb'
    '00000000000000005010000000000000',
)


def make_configuration() -> Configuration:
    """Return a configuration of one service with two upstreams."""
    upstreams = tuple(
        UpstreamSpec(
            name=f'web-{host}',
            address=f'10.1.0.{host}',
            domain='a',
            slots=4,
            connections=100,
        )
        for host in (1, 2)
    )
    web = ServiceSpec('web', ('198.51.100.1',), (443,), 'silence', upstreams)
    return Configuration((web,))


def start_instance(
    myself: Member,
    members: Sequence[Member],
    senders: Senders,
) -> PacketPath:
    """Return the packet path of an instance that knows all members."""
    view = MembershipView(myself, HASH_SLOT_COUNT)
    path = PacketPath(
        ActiveConfig(),
        view,
        FlowTable(MAX_FLOWS),
        senders,
        half_open_limit=MAX_FLOWS,
    )
    update_clock(path, START_SECONDS)
    apply_configuration(path.active, 1, make_configuration(), START_SECONDS)
    for member in members:
        merge_member(view, member, START_SECONDS)
    return path


def make_relay(
    myself: Member,
    relay_by_address: dict[str, Relay],
) -> Relay:
    """Return the function with which an instance relays to the others."""

    def relay(datagram: bytes, target: Endpoint) -> None:
        sender = (myself.address, myself.relay_port)
        relay_by_address[target[0]](datagram, sender)

    return relay


def main() -> None:
    """Send the packets of a flow through every instance."""
    members = [
        Member(f'i{host}', f'10.0.0.{host}', 'a', 1, 2, 3, 4, incarnation=1)
        for host in (1, 2, 3)
    ]
    relay_by_address: dict[str, Relay] = {}
    targets: list[str] = []

    def forward(packet: bytes, target: Endpoint) -> None:
        targets.append(target[0])

    ingress_receivers = []
    for myself in members:
        senders = Senders(forward, make_relay(myself, relay_by_address))
        receivers = make_receivers(start_instance(myself, members, senders))
        ingress_receivers.append(receivers[0])
        relay_by_address[myself.address] = receivers[1]
    ingress_receivers[0](SYN_PACKET)
    for receive_packet in ingress_receivers:
        receive_packet(ACK_PACKET)
    sys.stdout.write(f'{len(targets)} packets to {sorted(set(targets))}\n')


if __name__ == '__main__':
    main()
