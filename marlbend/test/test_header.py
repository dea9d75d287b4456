"""Check the packet header against the examples in the platform's docs."""

import pytest

from marlbend.platform.header import (
    decode_packet,
    encapsulate_packet,
    find_request_id,
    make_reset,
)

SYN_PACKET = bytes.fromhex(
    '010000000000112233440000000000000000644000079c4101bbc6120001a1b2c3d50000'
)
RST_PACKET = bytes.fromhex(
    '020000000000000000000000000000000000c612000101bb9c4164400007000000000000'
)


def test_syn_is_decoded() -> None:
    packet = decode_packet(SYN_PACKET)
    assert packet is not None
    assert packet.is_syn
    assert (packet.attempt, packet.cookie, packet.payload_size) == (0, 0, 0)
    assert packet.sequence == 0x11223344
    assert packet.endpoint == bytes.fromhex('01bbc6120001')
    assert packet.flow_key == bytes.fromhex('644000079c4101bbc6120001')


def test_reset_matches_the_documented_example() -> None:
    packet = decode_packet(SYN_PACKET)
    assert packet is not None
    assert make_reset(packet) == (RST_PACKET, '100.64.0.7')


def test_encapsulation_writes_only_cookie_and_host_number() -> None:
    packet = decode_packet(SYN_PACKET)
    assert packet is not None
    datagram = encapsulate_packet(packet, 0x7F3A91C2, 0xAABBCCDD)
    assert datagram[:8] == bytes.fromhex('000000007f3a91c2')
    inner = datagram[8:]
    assert inner[14:18] == bytes.fromhex('aabbccdd')
    assert inner[:14] + inner[18:] == SYN_PACKET[:14] + SYN_PACKET[18:]


@pytest.mark.parametrize(
    'datagram',
    (
        b'',
        SYN_PACKET[:-1],
        SYN_PACKET + b'x',
        b'\x11' + SYN_PACKET[1:],
        b'\x03' + SYN_PACKET[1:],
        SYN_PACKET[:-2] + b'\xff\xff',
    ),
    ids=(
        'empty',
        'truncated',
        'trailing-byte',
        'syn-ack',
        'syn-rst',
        'payload-size-too-large',
    ),
)
def test_invalid_caller_packet_is_rejected(datagram: bytes) -> None:
    assert decode_packet(datagram) is None


def test_request_id_is_found_in_payload() -> None:
    request = b'GET / HTTP/1.1\r\nX-Request-Id: ab12\r\n\r\n'
    header = b'\x10' + SYN_PACKET[1:-2] + len(request).to_bytes(2)
    packet = decode_packet(header + request)
    assert packet is not None
    assert find_request_id(packet) == 'ab12'
    assert packet.payload_size == len(request)
