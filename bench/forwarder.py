"""Forward datagrams with plain asyncio, as the baseline of measurements.

`cost` and `echo` compare the packet rate of an instance with this one.  It
receives and sends on the same port as the instances that they measure.
"""

import argparse
import asyncio
from typing import cast, final

from bench.segments import PACKET_PORT, Endpoint

__all__ = ('run',)


@final
class Forwarder(asyncio.DatagramProtocol):
    """Forward every datagram to one target."""

    def __init__(self, target: Endpoint) -> None:
        """Initialize without a transport, which `connection_made` sets."""
        self.target = target
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        # asyncio's datagram transport isn't an instance of DatagramTransport,
        # but has its methods.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, packet: bytes, address: Endpoint) -> None:
        """Forward a datagram to the target."""
        if self.transport is not None:
            self.transport.sendto(packet, self.target)


async def serve(address: str, target: str) -> None:
    """Forward datagrams between two addresses until the process is ended."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: Forwarder((target, PACKET_PORT)),
        local_addr=(address, PACKET_PORT),
    )
    await loop.create_future()


def run() -> None:
    """Forward datagrams between the addresses on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--address', required=True)
    parser.add_argument('--target', required=True)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.address, arguments.target))


if __name__ == '__main__':
    run()
