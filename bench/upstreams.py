"""Simulate the upstreams of one service.

Each upstream is a UDP socket on an address of its own.  It receives IP-in-UDP,
implements as much of the server side of TCP as a load balancer can observe, and
responds directly to the caller.  A response consists of several segments that
each name the upstream and echo the request.  The response to a segment of an
unknown connection is a reset, as from a kernel.

On SIGTERM the counts are written to standard output as JSON.
"""

import argparse
import asyncio
import pathlib
import signal
import socket
import sys
from collections.abc import Callable
from typing import Final, final

import msgspec
from dpkt import tcp

from bench.segments import (
    CALLER_PORT,
    Endpoint,
    Segment,
    decode_segment,
    encode_segment,
)
from marlbend.config import ServiceSpec
from marlbend.sockets import open_socket, start_reading

__all__ = ('RESPONSE_SEGMENTS', 'UpstreamCounts')

RESPONSE_SEGMENTS: Final = 3

_SYN_ACK: Final = tcp.TH_SYN | tcp.TH_ACK
_FIN_ACK: Final = tcp.TH_FIN | tcp.TH_ACK


class UpstreamCounts(msgspec.Struct):
    """Count the segments and connections of one upstream.

    `misdelivered` counts packets for other services, `resets` segments of
    unknown connections, and `accepted` connections opened.  `most_open` is the
    highest number of connections open at once.
    """

    misdelivered: int = 0
    resets: int = 0
    accepted: int = 0
    segments: int = 0
    most_open: int = 0


@final
class SimulatedUpstream:
    """Hold the socket, connections and counts of one upstream.

    Connections are identified by the caller's endpoint.
    """

    __slots__ = (
        'closed_connections',
        'connections',
        'counts',
        'endpoints',
        'name',
        'socket',
    )

    def __init__(
        self,
        name: str,
        endpoints: frozenset[Endpoint],
        upstream_socket: socket.socket,
    ) -> None:
        """Initialize without connections."""
        self.name = name
        self.endpoints = endpoints
        self.socket = upstream_socket
        self.connections: set[Endpoint] = set()
        self.closed_connections: set[Endpoint] = set()
        self.counts = UpstreamCounts()


def handle_packet(upstream: SimulatedUpstream, packet: bytes) -> None:
    """Handle a packet as the server side of TCP."""
    segment = decode_segment(packet)
    upstream.counts.segments += 1
    if segment.destination in upstream.endpoints:
        _handle_segment(upstream, segment)
    else:
        upstream.counts.misdelivered += 1


def _handle_segment(upstream: SimulatedUpstream, segment: Segment) -> None:
    if segment.flags & tcp.TH_SYN:
        _accept(upstream, segment)
    elif segment.source in upstream.connections:
        _handle_connection_segment(upstream, segment)
    elif segment.source in upstream.closed_connections:
        _send(upstream, segment, _FIN_ACK)
    else:
        upstream.counts.resets += 1
        _send(upstream, segment, tcp.TH_RST)


def _handle_connection_segment(
    upstream: SimulatedUpstream, segment: Segment
) -> None:
    if segment.flags & tcp.TH_RST:
        upstream.connections.discard(segment.source)
    elif segment.flags & tcp.TH_FIN:
        upstream.connections.discard(segment.source)
        upstream.closed_connections.add(segment.source)
        _send(upstream, segment, _FIN_ACK)
    else:
        _respond(upstream, segment)


def _accept(upstream: SimulatedUpstream, segment: Segment) -> None:
    if segment.source not in upstream.connections:
        upstream.connections.add(segment.source)
        upstream.closed_connections.discard(segment.source)
        upstream.counts.accepted += 1
        upstream.counts.most_open = max(
            upstream.counts.most_open, len(upstream.connections)
        )
    _send(upstream, segment, _SYN_ACK, payload=upstream.name.encode())


def _respond(upstream: SimulatedUpstream, segment: Segment) -> None:
    if not segment.payload:
        return
    body = b'%s %s' % (upstream.name.encode(), segment.payload)
    for sequence in range(RESPONSE_SEGMENTS):
        _send(upstream, segment, tcp.TH_ACK, sequence, body)


def _send(
    upstream: SimulatedUpstream,
    segment: Segment,
    flags: int,
    sequence: int = 0,
    payload: bytes = b'',
) -> None:
    response = Segment(
        segment.destination, segment.source, flags, sequence, payload
    )
    caller_host = (segment.source[0], CALLER_PORT)
    upstream.socket.sendto(encode_segment(response), caller_host)


async def serve(spec: ServiceSpec) -> None:
    """Simulate the upstreams of a service until SIGTERM."""
    endpoints = frozenset(
        (address, port) for address in spec.addresses for port in spec.ports
    )
    simulated_upstreams = []
    for upstream in spec.upstreams:
        upstream_socket = open_socket(upstream.address, upstream.port)
        simulated = SimulatedUpstream(upstream.name, endpoints, upstream_socket)
        start_reading(upstream_socket, _make_receiver(simulated), lambda: None)
        simulated_upstreams.append(simulated)
    stop_requested = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, stop_requested.set
    )
    await stop_requested.wait()
    counts = {each.name: each.counts for each in simulated_upstreams}
    sys.stdout.write(msgspec.json.encode(counts).decode())


def _make_receiver(upstream: SimulatedUpstream) -> Callable[[bytes], None]:
    def receive(packet: bytes) -> None:
        handle_packet(upstream, packet)

    return receive


def run() -> None:
    """Simulate the upstreams of the service file given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--service', required=True)
    arguments = parser.parse_args()
    raw = pathlib.Path(arguments.service).read_bytes()
    asyncio.run(serve(msgspec.json.decode(raw, type=ServiceSpec)))


if __name__ == '__main__':
    run()
