"""Move datagrams between sockets and the packet path.

A readable socket is drained in bounded batches, which costs less than one
event-loop callback for each datagram and still lets other sockets have their
turn.
"""

import asyncio
import socket
from collections.abc import Callable
from typing import Final

from marlbend import messages
from marlbend.errorcodes import ErrorKind
from marlbend.errors import MarlbendError

__all__ = (
    'bind_error',
    'make_sender',
    'open_socket',
    'start_reading',
    'start_reading_with_sender',
)

MAXIMUM_DATAGRAM_BYTES: Final = 9216
BATCH_DATAGRAMS: Final = 64
_BUFFER_BYTES: Final = 4_194_304
_ERRNO_IN_USE: Final = 98

Address = tuple[str, int]


def open_socket(address: str, port: int) -> socket.socket:
    """Bind a UDP socket; raise ADDRESS_IN_USE or ADDRESS_UNAVAILABLE."""
    endpoint = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    endpoint.setblocking(False)
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)
    endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _BUFFER_BYTES)
    try:
        endpoint.bind((address, port))
    except OSError as error:
        endpoint.close()
        raise bind_error(error, address, port) from None
    return endpoint


def start_reading(
    endpoint: socket.socket,
    receive: Callable[[bytes], None],
    wake: Callable[[], None],
) -> None:
    """Call `receive` for each datagram, `wake` before each batch."""

    def drain() -> None:
        wake()
        read = endpoint.recv
        try:
            for _ in range(BATCH_DATAGRAMS):
                receive(read(MAXIMUM_DATAGRAM_BYTES))
        except BlockingIOError:
            return

    asyncio.get_running_loop().add_reader(endpoint, drain)


def start_reading_with_sender(
    endpoint: socket.socket,
    receive: Callable[[bytes, Address], None],
    wake: Callable[[], None],
) -> None:
    """Do the same, with the sender of each datagram."""

    def drain() -> None:
        wake()
        read = endpoint.recvfrom
        try:
            for _ in range(BATCH_DATAGRAMS):
                receive(*read(MAXIMUM_DATAGRAM_BYTES))
        except BlockingIOError:
            return

    asyncio.get_running_loop().add_reader(endpoint, drain)


def make_sender(
    endpoint: socket.socket,
    on_failure: Callable[[], None],
) -> Callable[[bytes, Address], None]:
    """Return a function that sends a datagram and counts what is lost."""
    send = endpoint.sendto

    def send_counted(datagram: bytes, address: Address) -> None:
        try:
            send(datagram, address)
        except OSError:
            on_failure()

    return send_counted


def bind_error(error: OSError, address: str, port: int) -> MarlbendError:
    """Return ADDRESS_IN_USE or ADDRESS_UNAVAILABLE for a failed bind."""
    if error.errno == _ERRNO_IN_USE:
        return MarlbendError(
            ErrorKind.ADDRESS_IN_USE,
            messages.ADDRESS_IN_USE.format(address=address, port=port),
        )
    return MarlbendError(
        ErrorKind.ADDRESS_UNAVAILABLE,
        messages.ADDRESS_UNAVAILABLE.format(
            address=address,
            port=port,
            reason=error.strerror,
        ),
    )
