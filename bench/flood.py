"""Send prepared packets at a fixed rate, or as fast as one process can.

The packets are read from a file, where each has a length prefix of two bytes.
"""

import argparse
import itertools
import pathlib
import socket
import struct
import time
from collections.abc import Iterable, Iterator, Sequence
from typing import Final

from bench.segments import PACKET_PORT

__all__ = ('join_packets', 'run', 'split_packets')

# The time and rate are checked once per batch.
BATCH_PACKETS: Final = 100

_LENGTH_PREFIX: Final = struct.Struct('!H')


def join_packets(packets: Iterable[bytes]) -> bytes:
    """Return the contents of a file that holds the packets."""
    encoded = bytearray()
    for packet in packets:
        encoded += _LENGTH_PREFIX.pack(len(packet))
        encoded += packet
    return bytes(encoded)


def split_packets(encoded: bytes) -> Iterator[bytes]:
    """Yield the packets in the contents of a file."""
    offset = 0
    while offset < len(encoded):
        packet_bytes = _LENGTH_PREFIX.unpack_from(encoded, offset)[0]
        start = offset + _LENGTH_PREFIX.size
        offset = start + packet_bytes
        yield encoded[start:offset]


def send_packets(
    packets: Iterable[bytes],
    targets: Sequence[str],
    rate: int,
    seconds: float,
) -> None:
    """Send packets to the targets in turn, until they or the time run out.

    The rate is in packets per second; zero means no limit.
    """
    sender_cycle = itertools.cycle([_connect(target) for target in targets])
    started_at = time.monotonic()
    for number, packet in enumerate(packets):
        next(sender_cycle).send(packet)
        if number % BATCH_PACKETS == 0:
            elapsed_seconds = time.monotonic() - started_at
            if elapsed_seconds > seconds:
                return
            if rate:
                time.sleep(max(0, number / rate - elapsed_seconds))


def _connect(target: str) -> socket.socket:
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    # Instances and the bare forwarder receive on this port.
    udp_socket.connect((target, PACKET_PORT))
    return udp_socket


def run() -> None:
    """Send the packets of the file given on the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--target', required=True)
    parser.add_argument('--packets', required=True)
    parser.add_argument('--seconds', type=float, required=True)
    parser.add_argument('--rate', type=int, default=0)
    parser.add_argument('--repeat', action='store_true')
    arguments = parser.parse_args()
    encoded = pathlib.Path(arguments.packets).read_bytes()
    packets: Iterable[bytes] = list(split_packets(encoded))
    if arguments.repeat:
        packets = itertools.cycle(packets)
    send_packets(
        packets,
        arguments.target.split(','),
        arguments.rate,
        arguments.seconds,
    )


if __name__ == '__main__':
    run()
