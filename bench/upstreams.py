"""Stand in for the upstreams of one service.

Each upstream is a UDP socket on an address of its own.  It takes IP-in-UDP,
plays the server's side of TCP as far as a balancer can see it, and answers
straight to the caller.  A request is answered in several segments that name
the upstream and repeat the request.  A segment of no known connection gets a
reset, as a kernel would send it.

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
    build_segment,
    read_segment,
)
from marlbend.config import ServiceSpec
from marlbend.sockets import open_socket, start_reading

__all__ = ('ANSWER_SEGMENTS', 'UpstreamCounts')

ANSWER_SEGMENTS: Final = 3

_SYN_ACK: Final = tcp.TH_SYN | tcp.TH_ACK
_FIN_ACK: Final = tcp.TH_FIN | tcp.TH_ACK


class UpstreamCounts(msgspec.Struct):
    """Count what one upstream saw.

    `misdelivered` are packets for another service, `resets` segments of
    connections it does not have, `accepted` connections begun.
    """

    misdelivered: int = 0
    resets: int = 0
    accepted: int = 0
    segments: int = 0
    most_open: int = 0


@final
class UpstreamHost:
    """Hold one upstream: its socket and its connections."""

    __slots__ = (
        'closed',
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
        own_socket: socket.socket,
    ) -> None:
        """Start without connections."""
        self.name = name
        self.endpoints = endpoints
        self.socket = own_socket
        self.connections: set[Endpoint] = set()
        self.closed: set[Endpoint] = set()
        self.counts = UpstreamCounts()


def receive_packet(host: UpstreamHost, packet: bytes) -> None:
    """Play the server's side for one packet."""
    segment = read_segment(packet)
    host.counts.segments += 1
    if segment.destination in host.endpoints:
        _serve_segment(host, segment)
    else:
        host.counts.misdelivered += 1


def _serve_segment(host: UpstreamHost, segment: Segment) -> None:
    if segment.flags & tcp.TH_SYN:
        _accept(host, segment)
    elif segment.source in host.connections:
        _serve_connection(host, segment)
    elif segment.source in host.closed:
        _send(host, segment, _FIN_ACK)
    else:
        host.counts.resets += 1
        _send(host, segment, tcp.TH_RST)


def _serve_connection(host: UpstreamHost, segment: Segment) -> None:
    if segment.flags & tcp.TH_RST:
        host.connections.discard(segment.source)
    elif segment.flags & tcp.TH_FIN:
        host.connections.discard(segment.source)
        host.closed.add(segment.source)
        _send(host, segment, _FIN_ACK)
    else:
        _answer(host, segment)


def _accept(host: UpstreamHost, segment: Segment) -> None:
    if segment.source not in host.connections:
        host.connections.add(segment.source)
        host.closed.discard(segment.source)
        host.counts.accepted += 1
        host.counts.most_open = max(
            host.counts.most_open, len(host.connections)
        )
    _send(host, segment, _SYN_ACK, payload=host.name.encode())


def _answer(host: UpstreamHost, segment: Segment) -> None:
    if not segment.payload:
        return
    body = b'%s %s' % (host.name.encode(), segment.payload)
    for part in range(ANSWER_SEGMENTS):
        _send(host, segment, tcp.TH_ACK, part, body)


def _send(
    host: UpstreamHost,
    segment: Segment,
    flags: int,
    sequence: int = 0,
    payload: bytes = b'',
) -> None:
    answer = Segment(
        segment.destination, segment.source, flags, sequence, payload
    )
    caller_host = (segment.source[0], CALLER_PORT)
    host.socket.sendto(build_segment(answer), caller_host)


async def serve(spec: ServiceSpec) -> None:
    """Run every upstream of a service until SIGTERM."""
    endpoints = frozenset(
        (address, port) for address in spec.addresses for port in spec.ports
    )
    hosts = []
    for upstream in spec.upstreams:
        own_socket = open_socket(upstream.address, upstream.port)
        host = UpstreamHost(upstream.name, endpoints, own_socket)
        start_reading(own_socket, _make_receiver(host), lambda: None)
        hosts.append(host)
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    await stopped.wait()
    counts = {host.name: host.counts for host in hosts}
    sys.stdout.write(msgspec.json.encode(counts).decode())


def _make_receiver(host: UpstreamHost) -> Callable[[bytes], None]:
    def receive(packet: bytes) -> None:
        receive_packet(host, packet)

    return receive


def run() -> None:
    """Read the service file named on the command line and serve."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--service', required=True)
    arguments = parser.parse_args()
    raw = pathlib.Path(arguments.service).read_bytes()
    asyncio.run(serve(msgspec.json.decode(raw, type=ServiceSpec)))


if __name__ == '__main__':
    run()
