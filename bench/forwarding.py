"""Measure the packets a second that one instance forwards or relays.

A bare asyncio forwarder is measured in the same run, on the same packets.  The
sender is a process of its own that outruns all three, and the upstream is a
socket of this process that counts what arrives.
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

ROUNDS: Final = 3
FLOWS: Final = 4000
SETUP_RATE: Final = 12_000
SETUP_SECONDS: Final = 5.0
FLOOD_SECONDS: Final = 10.0
COUNT_SECONDS: Final = 0.8
FIRST_PACKET_SECONDS: Final = 5.0
WARM_PACKETS: Final = 5000
RECEIVE_BYTES: Final = 2048


class ForwardingRates(msgspec.Struct, frozen=True):
    """Give packets a second: bare forwarder, home, relay to a home."""

    bare: float
    home: float
    relay: float


async def measure_forwarding(seed: int) -> ForwardingRates:
    """Return the median rates of several rounds."""
    async with open_sink_deployment(seed, 2) as deployment:
        sink = open_socket(sink_address(deployment), PACKET_PORT)
        sink.setblocking(True)
        sink.settimeout(FIRST_PACKET_SECONDS)
        with sink:
            return await _measure_rounds(deployment, sink)


async def _measure_rounds(
    deployment: Deployment,
    sink: socket.socket,
) -> ForwardingRates:
    bare = deployment.address(2, 2)
    await start_module(
        deployment.processes,
        'forwarder',
        'bench.forwarder',
        ['--address', bare, '--target', sink_address(deployment)],
    )
    home, entry = deployment.listed_by_name.values()
    sources = list(make_flow_sources(deployment, FLOWS, home.name))
    await _open_flows(deployment, home.address, sources)
    packets = [make_packet(source) for source in sources]
    targets = (bare, home.address, entry.address)
    rounds = [
        [await _count(deployment, sink, target, packets) for target in targets]
        for _ in range(ROUNDS)
    ]
    return ForwardingRates(*map(statistics.median, zip(*rounds, strict=True)))


async def _open_flows(
    deployment: Deployment,
    target: str,
    sources: Sequence[Source],
) -> None:
    opening = [make_packet(source, SYN_FLAGS) for source in sources]
    options = ('--rate', str(SETUP_RATE), '--seconds', str(SETUP_SECONDS))
    name = await start_flood(deployment, target, opening, options)
    await deployment.processes.process_by_name.pop(name).wait()


async def _count(
    deployment: Deployment,
    sink: socket.socket,
    target: str,
    packets: Sequence[bytes],
) -> float:
    """Return the packets a second that come through a target."""
    _drain(sink)
    options = ('--repeat', '--seconds', str(FLOOD_SECONDS))
    name = await start_flood(deployment, target, packets, options)
    for _ in range(WARM_PACKETS):
        sink.recv(RECEIVE_BYTES)
    started = time.monotonic()
    received = 0
    while time.monotonic() - started < COUNT_SECONDS:
        sink.recv(RECEIVE_BYTES)
        received += 1
    elapsed = time.monotonic() - started
    await kill_process(deployment.processes, name)
    return received / elapsed


def _drain(sink: socket.socket) -> None:
    sink.setblocking(False)
    waiting = True
    while waiting:
        try:
            waiting = bool(sink.recv(RECEIVE_BYTES))
        except BlockingIOError:
            waiting = False
    sink.settimeout(FIRST_PACKET_SECONDS)
