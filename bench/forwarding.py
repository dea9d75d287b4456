"""Measure the packet rates at which one instance forwards or relays.

A bare asyncio forwarder is measured in the same run with the same packets.  The
sender is a process of its own, faster than all three.  The upstream is a socket
of this process that counts the packets received.
"""

import socket
import statistics
import time
from collections.abc import Sequence
from typing import Final

import msgspec

from bench.deployment import Deployment
from bench.processes import kill_process, start_module
from bench.segments import PACKET_PORT
from bench.sinks import (
    SYN_FLAGS,
    Source,
    make_flow_sources,
    make_packet,
    open_sink_deployment,
    sink_address,
    start_flood,
)
from marlbend.sockets import open_socket

__all__ = ('ForwardingRates', 'measure_forwarding')

RATE_ROUNDS: Final = 3
FLOW_COUNT: Final = 4000
SYNS_PER_SECOND: Final = 12_000
SYN_SECONDS: Final = 5.0
FLOOD_SECONDS: Final = 10.0
MEASURED_SECONDS: Final = 0.8
RECEIVE_TIMEOUT_SECONDS: Final = 5.0
WARMUP_PACKETS: Final = 5000
MAX_PACKET_BYTES: Final = 2048


class ForwardingRates(msgspec.Struct, frozen=True):
    """Report packets per second.

    `bare` is the rate of the bare forwarder, `home` that of the owner of the
    flows, and `relay` that of an ingress instance that relays to the owner.
    """

    bare: float
    home: float
    relay: float


async def measure_forwarding(seed: int) -> ForwardingRates:
    """Return the median rates over several rounds."""
    async with open_sink_deployment(seed, 2) as deployment:
        upstream_socket = open_socket(sink_address(deployment), PACKET_PORT)
        upstream_socket.setblocking(True)
        upstream_socket.settimeout(RECEIVE_TIMEOUT_SECONDS)
        with upstream_socket:
            return await _measure_rounds(deployment, upstream_socket)


async def _measure_rounds(
    deployment: Deployment,
    upstream_socket: socket.socket,
) -> ForwardingRates:
    # The address after that of the sink, in `SINK_NET`.
    baseline_address = deployment.address(2, 2)
    await start_module(
        deployment.processes,
        'forwarder',
        'bench.forwarder',
        ['--address', baseline_address, '--target', sink_address(deployment)],
    )
    owner, ingress = deployment.listed_by_name.values()
    sources = list(make_flow_sources(deployment, FLOW_COUNT, owner.name))
    await _send_syns(deployment, owner.address, sources)
    packets = [make_packet(source) for source in sources]
    targets = (baseline_address, owner.address, ingress.address)
    rounds = [
        [
            await _measure_rate(deployment, upstream_socket, target, packets)
            for target in targets
        ]
        for _ in range(RATE_ROUNDS)
    ]
    return ForwardingRates(*map(statistics.median, zip(*rounds, strict=True)))


async def _send_syns(
    deployment: Deployment,
    target: str,
    sources: Sequence[Source],
) -> None:
    """Open a flow from each source by sending its SYN to the target."""
    syns = [make_packet(source, SYN_FLAGS) for source in sources]
    options = ('--rate', str(SYNS_PER_SECOND), '--seconds', str(SYN_SECONDS))
    name = await start_flood(deployment, target, syns, options)
    await deployment.processes.process_by_name.pop(name).wait()


async def _measure_rate(
    deployment: Deployment,
    upstream_socket: socket.socket,
    target: str,
    packets: Sequence[bytes],
) -> float:
    """Return the packets per second that the upstream gets via a target."""
    _empty_socket(upstream_socket)
    options = ('--repeat', '--seconds', str(FLOOD_SECONDS))
    name = await start_flood(deployment, target, packets, options)
    for _ in range(WARMUP_PACKETS):
        upstream_socket.recv(MAX_PACKET_BYTES)
    started_at = time.monotonic()
    received = 0
    while time.monotonic() - started_at < MEASURED_SECONDS:
        upstream_socket.recv(MAX_PACKET_BYTES)
        received += 1
    elapsed_seconds = time.monotonic() - started_at
    await kill_process(deployment.processes, name)
    return received / elapsed_seconds


def _empty_socket(upstream_socket: socket.socket) -> None:
    """Discard the packets in the receive buffer."""
    upstream_socket.setblocking(False)
    has_packets = True
    while has_packets:
        try:
            has_packets = bool(upstream_socket.recv(MAX_PACKET_BYTES))
        except BlockingIOError:
            has_packets = False
    upstream_socket.settimeout(RECEIVE_TIMEOUT_SECONDS)
