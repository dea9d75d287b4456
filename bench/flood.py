"""Send prepared packets at a rate, or as fast as one process can.

The packets come from a file: each is two bytes of length and the packet.
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

BATCH_PACKETS: Final = 100

_LENGTH: Final = struct.Struct('!H')


def join_packets(packets: Iterable[bytes]) -> bytes:
    """Return the file that holds the packets."""
    joined = bytearray()
    for packet in packets:
        joined += _LENGTH.pack(len(packet))
        joined += packet
    return bytes(joined)


def split_packets(joined: bytes) -> Iterator[bytes]:
    """Yield the packets of a file."""
    offset = 0
    while offset < len(joined):
        size = _LENGTH.unpack_from(joined, offset)[0]
        start = offset + _LENGTH.size
        offset = start + size
        yield joined[start:offset]


def send_packets(
    packets: Iterable[bytes],
    targets: Sequence[str],
    rate: int,
    seconds: float,
) -> None:
    """Send until the packets or the time are used up; rate 0 is no limit.

    Several targets take turns.
    """
    senders = itertools.cycle([_connect(target) for target in targets])
    started = time.monotonic()
    for number, packet in enumerate(packets):
        next(senders).send(packet)
        if number % BATCH_PACKETS == 0:
            elapsed = time.monotonic() - started
            if elapsed > seconds:
                return
            if rate:
                time.sleep(max(0, number / rate - elapsed))


def _connect(target: str) -> socket.socket:
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect((target, PACKET_PORT))
    return sender


def run() -> None:
    """Read the command line and send."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--target', required=True)
    parser.add_argument('--packets', required=True)
    parser.add_argument('--seconds', type=float, required=True)
    parser.add_argument('--rate', type=int, default=0)
    parser.add_argument('--repeat', action='store_true')
    arguments = parser.parse_args()
    joined = pathlib.Path(arguments.packets).read_bytes()
    packets: Iterable[bytes] = list(split_packets(joined))
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
