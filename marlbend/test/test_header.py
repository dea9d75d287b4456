"""Read and write packets as the platform's pages show them."""

import pytest

from marlbend.platform.header import (
    decode_packet,
    encapsulate_packet,
    find_request_id,
    make_reset,
)

OPENING = bytes.fromhex(
    '010000000000112233440000000000000000644000079c4101bbc6120001a1b2c3d50000'
)
RESET = bytes.fromhex(
    '020000000000000000000000000000000000c612000101bb9c4164400007000000000000'
)


def test_opening_packet() -> None:
    packet = decode_packet(OPENING)
    assert packet is not None
    assert packet.is_syn
    assert (packet.attempt, packet.cookie, packet.payload_size) == (0, 0, 0)
    assert packet.sequence == 0x11223344
    assert packet.endpoint == bytes.fromhex('01bbc6120001')
    assert packet.flow_key == bytes.fromhex('644000079c4101bbc6120001')


def test_reset_is_the_one_of_the_pages() -> None:
    packet = decode_packet(OPENING)
    assert packet is not None
    assert make_reset(packet) == (RESET, '100.64.0.7')


def test_cookie_and_host_are_written_and_nothing_else() -> None:
    packet = decode_packet(OPENING)
    assert packet is not None
    sent = encapsulate_packet(packet, 0x7F3A91C2, 0xAABBCCDD)
    assert sent[:8] == bytes.fromhex('000000007f3a91c2')
    changed = sent[8:]
    assert changed[14:18] == bytes.fromhex('aabbccdd')
    assert changed[:14] + changed[18:] == OPENING[:14] + OPENING[18:]


@pytest.mark.parametrize(
    'datagram',
    (
        b'',
        OPENING[:-1],
        OPENING + b'x',
        b'\x11' + OPENING[1:],
        b'\x03' + OPENING[1:],
        OPENING[:-2] + b'\xff\xff',
    ),
    ids=('empty', 'short', 'long', 'syn-ack', 'syn-rst', 'length'),
)
def test_what_no_caller_sends_is_no_packet(datagram: bytes) -> None:
    assert decode_packet(datagram) is None


def test_request_id_is_found_for_the_log() -> None:
    request = b'GET / HTTP/1.1\r\nX-Request-Id: ab12\r\n\r\n'
    head = b'\x10' + OPENING[1:-2] + len(request).to_bytes(2)
    packet = decode_packet(head + request)
    assert packet is not None
    assert find_request_id(packet) == 'ab12'
    assert packet.payload_size == len(request)
