"""Use the decisions of marlbend without its daemon.

Three instances live in one process and pass packets to each other by function
calls.  A flow is opened through each of them; all of its packets arrive at one
upstream.
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
from marlbend.ownership.members import Fleet, Member, merge_member
from marlbend.ownership.packets import PacketPath, Senders, make_receivers
from marlbend.ownership.packets.state import update_clock

Address = tuple[str, int]
Relay = Callable[[bytes, Address], None]

SLOTS = 64
START_SECONDS = 100.0
FLOWS = 100
# A SYN and a later segment of one flow, as the fabric hands them over.
SYN_PACKET = bytes.fromhex(
    '4500002800000000400600000a090909c63364010fa001bb'
    '00000000000000005002000000000000',
)
ACK_PACKET = bytes.fromhex(
    '4500002800000000400600000a090909c63364010fa001bb'
    '00000000000000005010000000000000',
)


def make_document() -> Configuration:
    """Return one service with two upstreams."""
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
    """Return an instance that knows the others and the service."""
    fleet = Fleet(myself, SLOTS)
    path = PacketPath(
        ActiveConfig(),
        fleet,
        FlowTable(FLOWS),
        senders,
        half_open_limit=FLOWS,
    )
    update_clock(path, START_SECONDS)
    apply_configuration(path.active, 1, make_document(), START_SECONDS)
    for member in members:
        merge_member(fleet, member, START_SECONDS)
    return path


def make_relay(
    myself: Member,
    relay_by_address: dict[str, Relay],
) -> Relay:
    """Return the function by which an instance reaches the others."""

    def relay(datagram: bytes, target: Address) -> None:
        sender = (myself.address, myself.relay_port)
        relay_by_address[target[0]](datagram, sender)

    return relay


def main() -> None:
    """Send a flow's packets through every instance."""
    members = [
        Member(f'i{host}', f'10.0.0.{host}', 'a', 1, 2, 3, 4, incarnation=1)
        for host in (1, 2, 3)
    ]
    relay_by_address: dict[str, Relay] = {}
    arrived: list[str] = []

    def forward(packet: bytes, target: Address) -> None:
        arrived.append(target[0])

    entries = []
    for myself in members:
        senders = Senders(forward, make_relay(myself, relay_by_address))
        receivers = make_receivers(start_instance(myself, members, senders))
        entries.append(receivers[0])
        relay_by_address[myself.address] = receivers[1]
    entries[0](SYN_PACKET)
    for entry in entries:
        entry(ACK_PACKET)
    sys.stdout.write(f'{len(arrived)} packets to {sorted(set(arrived))}\n')


if __name__ == '__main__':
    main()
