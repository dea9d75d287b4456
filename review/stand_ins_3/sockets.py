"""Open UDP sockets, and read what waits there."""

import socket

BATCH = 256
DATAGRAM_BYTES = 4096
BUFFER_BYTES = 4_194_304


def open_socket(address):
    """Bind a UDP socket that takes a burst."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    sock.bind(address)
    return sock


def read_datagrams(sock):
    """Yield datagrams that wait, each with the address of its sender."""
    for _ in range(BATCH):
        try:
            received = sock.recvfrom(DATAGRAM_BYTES)
        except BlockingIOError:
            return
        yield received
