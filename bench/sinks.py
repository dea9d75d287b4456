"""Set up one service with a single sink for the measurements of cost."""

import functools
import itertools
import socket
from collections.abc import AsyncIterator, Callable, Iterable, Iterator, Mapping
from contextlib import asynccontextmanager
from typing import Final

from dpkt import tcp

from bench.deployment import Deployment, open_platform, start_instances
from bench.flood import join_packets
from bench.processes import start_module
from bench.segments import TUNNEL_PORT, Segment, build_segment
from marlbend.config import (
    Configuration,
    ServiceSpec,
    UpstreamSpec,
)
from marlbend.homes.active import ActiveConfig, apply_configuration
from marlbend.homes.members import Fleet, Member, merge_member, owner_of
from marlbend.homes.packets.header import flow_digest

__all__ = (
    'ACK_FLAGS',
    'SYN_FLAGS',
    'Source',
    'flood',
    'make_flow_sources',
    'open_sink_deployment',
    'sink_address',
)

SERVICE_ADDRESS: Final = '198.51.100.1'
SERVICE_PORT: Final = 443
DOMAIN: Final = 'only'
SINK_CONNECTIONS: Final = 1_000_000
FIRST_PORT: Final = 1024
PORTS: Final = 60_000
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
    """Return the address of the only upstream."""
    return deployment.address(2, 1)


@asynccontextmanager
async def open_sink_deployment(
    seed: int,
    instances: int,
    sinks: int = 1,
    limits: Mapping[str, int] | None = None,
) -> AsyncIterator[Deployment]:
    """Start the platform and instances of one domain for one service.

    Nobody reads what the sinks get but the measurement that opens them.
    """
    async with open_platform(seed) as deployment:
        deployment.specs['lab'] = ServiceSpec(
            service='lab',
            addresses=(SERVICE_ADDRESS,),
            ports=(SERVICE_PORT,),
            refusal='silence',
            upstreams=tuple(_make_sinks(deployment, sinks)),
        )
        deployment.limits.update(limits or {})
        await start_instances(deployment, instances)
        yield deployment


def _make_sinks(deployment: Deployment, sinks: int) -> Iterator[UpstreamSpec]:
    for number in range(sinks):
        yield UpstreamSpec(
            name=f'sink-{number}',
            address=deployment.address(2, 1 + number),
            domain=DOMAIN,
            slots=1,
            connections=SINK_CONNECTIONS,
        )


def make_flow_sources(
    deployment: Deployment,
    flows: int,
    home: str = '',
) -> Iterator[Source]:
    """Yield sources of flows, only those with the home named if one is."""
    find_home = _make_home_finder(deployment)
    sources = (
        source
        for source in _count_sources(deployment)
        if not home or find_home(source) == home
    )
    yield from itertools.islice(sources, flows)


def _count_sources(deployment: Deployment) -> Iterator[Source]:
    for number in itertools.count():
        host = 1 + number // PORTS
        yield deployment.address(4, host), FIRST_PORT + number % PORTS


def _make_home_finder(deployment: Deployment) -> Callable[[Source], str]:
    fleet, active = _build_view(deployment)
    service = active.service_by_name['lab']

    def find_home(source: Source) -> str:
        owner = owner_of(fleet, service, flow_digest(make_packet(source)))
        return '' if owner is None else owner.name

    return find_home


def make_packet(source: Source, flags: int = ACK_FLAGS) -> bytes:
    """Return a packet of a flow, made from one template for each flags."""
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
    return build_segment(
        Segment((SERVICE_ADDRESS, 0), service, flags, 0, payload)
    )


async def flood(
    deployment: Deployment,
    target: str,
    packets: Iterable[bytes],
    options: Iterable[str],
) -> str:
    """Start sending packets to an address; return the process's name."""
    name = 'flood'
    path = deployment.processes.write_file('packets', join_packets(packets))
    await start_module(
        deployment.processes,
        name,
        'bench.flood',
        ['--target', target, '--packets', path, *options],
    )
    return name


def _build_view(deployment: Deployment) -> tuple[Fleet, ActiveConfig]:
    """Return what an instance of the lab knows of homes."""
    members = [
        Member(
            name=listed.name,
            address=listed.address,
            domain=listed.domain,
            fabric_port=TUNNEL_PORT,
            relay_port=listed.relay_port,
            control_port=listed.control_port,
            admin_port=listed.admin_port,
        )
        for listed in deployment.listed_by_name.values()
    ]
    fleet = Fleet(members[0], deployment.slot_count)
    for member in members:
        merge_member(fleet, member, 0)
    active = ActiveConfig()
    document = Configuration(tuple(deployment.specs.values()))
    apply_configuration(active, 1, document, 0)
    return fleet, active
