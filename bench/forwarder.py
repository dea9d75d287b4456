"""Forward datagrams with nothing but asyncio: the baseline of `cost`."""

import argparse
import asyncio
from typing import cast, final

from bench.segments import PACKET_PORT, Endpoint

__all__ = ('run',)


@final
class Forwarder(asyncio.DatagramProtocol):
    """Send each datagram on to one target."""

    def __init__(self, target: Endpoint) -> None:
        """Keep the target; the transport comes with the connection."""
        self.target = target
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        # The library's transport has the methods of this type, not its base.
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, packet: bytes, address: Endpoint) -> None:
        """Forward a datagram."""
        if self.transport is not None:
            self.transport.sendto(packet, self.target)


async def serve(address: str, target: str) -> None:
    """Forward from one address to another until the process is ended."""
    loop = asyncio.get_running_loop()
    await loop.create_datagram_endpoint(
        lambda: Forwarder((target, PACKET_PORT)),
        local_addr=(address, PACKET_PORT),
    )
    await loop.create_future()


def run() -> None:
    """Read the addresses from the command line and forward."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--address', required=True)
    parser.add_argument('--target', required=True)
    arguments = parser.parse_args()
    asyncio.run(serve(arguments.address, arguments.target))


if __name__ == '__main__':
    run()
