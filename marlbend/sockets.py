"""Receive and send UDP datagrams with the asyncio event loop.

A readable socket is read in bounded batches.  This costs less than one callback
of the event loop per datagram, and does not starve other sockets.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from marlbend import error_messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError

__all__ = (
    'bind_error',
    'make_sender',
    'open_socket',
    'start_reading',
    'start_reading_with_sender',
)

# Longer datagrams are truncated to this size.
MAX_DATAGRAM_BYTES: Final = 9216
# Other sockets wait for the event loop while a batch is read.
BATCH_DATAGRAMS: Final = 64
# Buffers hold the datagrams of a burst while the event loop is busy.
_SOCKET_BUFFER_BYTES: Final = 4_194_304
# The value of errno.EADDRINUSE on Linux.
_EADDRINUSE: Final = 98

Endpoint = tuple[str, int]


def open_socket(address: str, port: int) -> socket.socket:
    """Bind a UDP socket; raise ADDRESS_IN_USE or ADDRESS_UNAVAILABLE."""
    udp_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    udp_socket.setblocking(False)
    udp_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _SOCKET_BUFFER_BYTES
    )
    udp_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, _SOCKET_BUFFER_BYTES
    )
    try:
        udp_socket.bind((address, port))
    except OSError as error:
        udp_socket.close()
        raise bind_error(error, address, port) from None
    return udp_socket


def start_reading(
    udp_socket: socket.socket,
    receive: Callable[[bytes], None],
    on_batch: Callable[[], None],
) -> None:
    """Call `receive` for each datagram, and `on_batch` before each batch.

    In `on_batch`, the receiver can read the clock once for the whole batch.
    """

    def read_batch() -> None:
        on_batch()
        read = udp_socket.recv
        try:
            for _ in range(BATCH_DATAGRAMS):
                receive(read(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            return

    asyncio.get_running_loop().add_reader(udp_socket, read_batch)


def start_reading_with_sender(
    udp_socket: socket.socket,
    receive: Callable[[bytes, Endpoint], None],
    on_batch: Callable[[], None],
) -> None:
    """Call `receive` with each datagram and the endpoint of its sender.

    `on_batch` is called before each batch, as in `start_reading`.
    """

    def read_batch() -> None:
        on_batch()
        read = udp_socket.recvfrom
        try:
            for _ in range(BATCH_DATAGRAMS):
                receive(*read(MAX_DATAGRAM_BYTES))
        except BlockingIOError:
            return

    asyncio.get_running_loop().add_reader(udp_socket, read_batch)


def make_sender(
    udp_socket: socket.socket,
    on_failure: Callable[[], None],
) -> Callable[[bytes, Endpoint], None]:
    """Return a function that sends datagrams and calls back on a failure."""
    send = udp_socket.sendto

    def send_or_report(datagram: bytes, endpoint: Endpoint) -> None:
        try:
            send(datagram, endpoint)
        except OSError:
            on_failure()

    return send_or_report


def bind_error(error: OSError, address: str, port: int) -> MarlbendError:
    """Return ADDRESS_IN_USE or ADDRESS_UNAVAILABLE for a failed bind."""
    if error.errno == _EADDRINUSE:
        return MarlbendError(
            ErrorKind.ADDRESS_IN_USE,
            error_messages.ADDRESS_IN_USE.format(address=address, port=port),
        )
    return MarlbendError(
        ErrorKind.ADDRESS_UNAVAILABLE,
        error_messages.ADDRESS_UNAVAILABLE.format(
            address=address,
            port=port,
            reason=error.strerror,
        ),
    )
