"""Run a deployment of one service whose upstreams are sinks.

A sink is the address of an upstream that no process serves.  The measurements
of cost send prepared packets and read a sink themselves if they need to.
"""

import functools
import itertools
import socket
from collections.abc import AsyncIterator, Callable, Iterable, Iterator, Mapping
from contextlib import asynccontextmanager
from typing import Final

from dpkt import tcp

from bench.deployment import (
    SINK_NET,
    SOURCE_NET,
    Deployment,
    open_empty_deployment,
    start_instances,
)
from bench.flood import join_packets
from bench.processes import start_module
from bench.segments import PACKET_PORT, Segment, encode_segment
from marlbend.config import (
    Configuration,
    ServiceSpec,
    UpstreamSpec,
)
from marlbend.ownership.active import ActiveConfig, apply_configuration
from marlbend.ownership.members import (
    Member,
    MembershipView,
    merge_member,
    owner_of,
)
from marlbend.ownership.packets.header import flow_digest

__all__ = (
    'ACK_FLAGS',
    'SYN_FLAGS',
    'Source',
    'make_flow_sources',
    'open_sink_deployment',
    'sink_address',
    'start_flood',
)

SERVICE_ADDRESS: Final = '198.51.100.1'
SERVICE_PORT: Final = 443
FAILURE_DOMAIN: Final = 'only'
SINK_CONNECTIONS: Final = 1_000_000
FIRST_SOURCE_PORT: Final = 1024
PORTS_PER_ADDRESS: Final = 60_000
PAYLOAD_BYTES: Final = 64
SYN_FLAGS: Final = tcp.TH_SYN
ACK_FLAGS: Final = tcp.TH_ACK

_SOURCE_ADDRESS_START: Final = 12
_SOURCE_ADDRESS_END: Final = 16
_SOURCE_PORT_START: Final = 20
_SOURCE_PORT_END: Final = 22
_PORT_BYTES: Final = 2

Source = tuple[str, int]


def sink_address(deployment: Deployment) -> str:
    """Return the address of the first sink."""
    return deployment.address(SINK_NET, 1)


@asynccontextmanager
async def open_sink_deployment(
    seed: int,
    instance_count: int,
    sink_count: int = 1,
    limits: Mapping[str, int] | None = None,
) -> AsyncIterator[Deployment]:
    """Run the platform and instances of one failure domain for one service.

    Packets to a sink are lost unless the measurement opens a socket for it.
    """
    async with open_empty_deployment(seed) as deployment:
        deployment.spec_by_service['lab'] = ServiceSpec(
            service='lab',
            addresses=(SERVICE_ADDRESS,),
            ports=(SERVICE_PORT,),
            refusal='silence',
            upstreams=tuple(_make_sinks(deployment, sink_count)),
        )
        deployment.limits.update(limits or {})
        await start_instances(deployment, instance_count)
        yield deployment


def _make_sinks(
    deployment: Deployment, sink_count: int
) -> Iterator[UpstreamSpec]:
    for number in range(sink_count):
        yield UpstreamSpec(
            name=f'sink-{number}',
            address=deployment.address(SINK_NET, 1 + number),
            domain=FAILURE_DOMAIN,
            slots=1,
            connections=SINK_CONNECTIONS,
        )


def make_flow_sources(
    deployment: Deployment,
    flow_count: int,
    owner_name: str = '',
) -> Iterator[Source]:
    """Yield distinct sources of flows, optionally only those of one owner."""
    find_owner = _make_owner_lookup(deployment)
    sources = (
        source
        for source in _generate_sources(deployment)
        if not owner_name or find_owner(source) == owner_name
    )
    yield from itertools.islice(sources, flow_count)


def _generate_sources(deployment: Deployment) -> Iterator[Source]:
    for number in itertools.count():
        host = 1 + number // PORTS_PER_ADDRESS
        yield (
            deployment.address(SOURCE_NET, host),
            FIRST_SOURCE_PORT + number % PORTS_PER_ADDRESS,
        )


def _make_owner_lookup(deployment: Deployment) -> Callable[[Source], str]:
    view, active = _build_ownership(deployment)
    service = active.service_by_name['lab']

    def find_owner(source: Source) -> str:
        owner = owner_of(view, service, flow_digest(make_packet(source)))
        return '' if owner is None else owner.name

    return find_owner


def make_packet(source: Source, flags: int = ACK_FLAGS) -> bytes:
    """Return a packet of a flow, built from a template cached by flags."""
    template = _make_template(flags)
    address = socket.inet_aton(source[0])
    port = source[1].to_bytes(_PORT_BYTES)
    return b''.join(
        (
            template[:_SOURCE_ADDRESS_START],
            address,
            template[_SOURCE_ADDRESS_END:_SOURCE_PORT_START],
            port,
            template[_SOURCE_PORT_END:],
        )
    )


@functools.cache
def _make_template(flags: int) -> bytes:
    payload = bytes(PAYLOAD_BYTES) if flags == ACK_FLAGS else b''
    service = (SERVICE_ADDRESS, SERVICE_PORT)
    return encode_segment(
        Segment((SERVICE_ADDRESS, 0), service, flags, 0, payload)
    )


async def start_flood(
    deployment: Deployment,
    target: str,
    packets: Iterable[bytes],
    options: Iterable[str],
) -> str:
    """Start a process that sends packets to addresses and return its name.

    Several addresses in `target` are separated by commas.
    """
    name = 'flood'
    path = deployment.processes.write_file('packets', join_packets(packets))
    await start_module(
        deployment.processes,
        name,
        'bench.flood',
        ['--target', target, '--packets', path, *options],
    )
    return name


def _build_ownership(
    deployment: Deployment,
) -> tuple[MembershipView, ActiveConfig]:
    """Return the members and configuration from which instances find owners."""
    members = [
        Member(
            name=listed.name,
            address=listed.address,
            domain=listed.domain,
            fabric_port=PACKET_PORT,
            relay_port=listed.relay_port,
            control_port=listed.control_port,
            admin_port=listed.admin_port,
        )
        for listed in deployment.listed_by_name.values()
    ]
    view = MembershipView(members[0], deployment.hash_slot_count)
    for member in members:
        merge_member(view, member, 0)
    active = ActiveConfig()
    document = Configuration(tuple(deployment.spec_by_service.values()))
    apply_configuration(active, 1, document, 0)
    return view, active
