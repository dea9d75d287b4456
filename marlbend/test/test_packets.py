"""Test the validation of well-formed, malformed and random packets."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from marlbend.ownership.packets import Outcome
from marlbend.ownership.packets.header import (
    ACK,
    SYN,
    flow_digest,
    validate_packet,
)
from marlbend.ownership.wire.control import decode
from marlbend.ownership.wire.relay import (
    HOP_LIMIT,
    RelayKind,
    find_frame,
    read_frame,
)
from marlbend.test.network import Network, make_packet
from marlbend.test.test_network import make_upstream

RANDOM_DATAGRAMS = 10_000


def replace_byte(packet: bytes, offset: int, octet: int) -> bytes:
    """Return a packet with one byte replaced."""
    return packet[:offset] + bytes((octet,)) + packet[offset + 1 :]


def test_each_header_fault_has_its_outcome() -> None:
    packet = make_packet(1, ACK)
    assert validate_packet(packet) == Outcome.ACCEPTED
    assert validate_packet(packet[:-1]) == Outcome.DROPPED_TRUNCATED
    assert validate_packet(b'') == Outcome.DROPPED_TRUNCATED
    assert (
        validate_packet(replace_byte(packet, 3, 41))
        == Outcome.DROPPED_TRUNCATED
    )
    assert (
        validate_packet(replace_byte(packet, 0, 0x46))
        == Outcome.DROPPED_OPTIONS
    )
    assert (
        validate_packet(replace_byte(packet, 0, 0x65))
        == Outcome.DROPPED_MALFORMED
    )
    assert (
        validate_packet(replace_byte(packet, 6, 0x20))
        == Outcome.DROPPED_FRAGMENT
    )
    assert (
        validate_packet(replace_byte(packet, 7, 1)) == Outcome.DROPPED_FRAGMENT
    )
    assert (
        validate_packet(replace_byte(packet, 9, 17)) == Outcome.DROPPED_PROTOCOL
    )
    assert (
        validate_packet(replace_byte(packet, 32, 0x40))
        == Outcome.DROPPED_MALFORMED
    )
    assert (
        validate_packet(replace_byte(packet, 32, 0x60))
        == Outcome.DROPPED_MALFORMED
    )


@given(st.binary(max_size=64))
@settings(max_examples=500, derandomize=True, database=None)
def test_arbitrary_bytes_get_an_outcome(packet: bytes) -> None:
    outcome = validate_packet(packet)
    assert outcome in Outcome
    if outcome == Outcome.ACCEPTED:
        assert flow_digest(packet) >> 60 == 0


@given(st.binary(max_size=64))
@settings(max_examples=500, derandomize=True, database=None)
def test_arbitrary_bytes_are_decoded_or_rejected(datagram: bytes) -> None:
    decode(datagram)
    frame = read_frame(datagram)
    if frame is not None:
        assert datagram.startswith(frame.raw)
        assert frame.hops


def test_no_frame_exists_beyond_the_hop_limit() -> None:
    assert find_frame(RelayKind.OWNER, HOP_LIMIT, 0) is not None
    assert find_frame(RelayKind.OWNER, HOP_LIMIT + 1, 0) is None


def test_random_datagrams_are_counted_and_not_forwarded() -> None:
    network = Network(1)
    node = network.add('i1', 'a')
    network.announce_member(node.member, ['i1'])
    network.publish([make_upstream('u1')], ['i1'])
    random = Random(1)
    valid = make_packet(7, SYN, '198.51.100.9')
    for _ in range(RANDOM_DATAGRAMS):
        length = random.randrange(len(valid) + 1)
        datagram = valid[:length] + random.randbytes(random.randrange(40))
        node.receive_fabric(datagram)
        node.receive_relay(datagram, ('10.9.9.9', 2))
    counts = Counter(
        {outcome: node.path.counts[outcome] for outcome in Outcome}
    )
    assert counts.total() == 2 * RANDOM_DATAGRAMS
    assert counts[Outcome.DROPPED_UNKNOWN_PEER] == RANDOM_DATAGRAMS
    assert not network.deliveries
    assert not len(node.path.table)
