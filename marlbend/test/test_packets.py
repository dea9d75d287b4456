"""Read packets from anybody: whole ones, broken ones, random ones."""

from collections import Counter
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from marlbend.homes.packets import Outcome
from marlbend.homes.packets.header import ACK, SYN, flow_digest, judge_packet
from marlbend.homes.wire.control import decode
from marlbend.homes.wire.relay import (
    HOP_LIMIT,
    RelayKind,
    find_frame,
    read_frame,
)
from marlbend.test.network import Network, make_packet
from marlbend.test.test_network import make_upstream

RANDOM_DATAGRAMS = 10_000


def change(packet: bytes, offset: int, octet: int) -> bytes:
    """Return a packet with one byte replaced."""
    return packet[:offset] + bytes((octet,)) + packet[offset + 1 :]


def test_faults_are_told_apart() -> None:
    packet = make_packet(1, ACK)
    assert judge_packet(packet) == Outcome.ACCEPTED
    assert judge_packet(packet[:-1]) == Outcome.DROPPED_TRUNCATED
    assert judge_packet(b'') == Outcome.DROPPED_TRUNCATED
    assert judge_packet(change(packet, 3, 41)) == Outcome.DROPPED_TRUNCATED
    assert judge_packet(change(packet, 0, 0x46)) == Outcome.DROPPED_OPTIONS
    assert judge_packet(change(packet, 0, 0x65)) == Outcome.DROPPED_MALFORMED
    assert judge_packet(change(packet, 6, 0x20)) == Outcome.DROPPED_FRAGMENT
    assert judge_packet(change(packet, 7, 1)) == Outcome.DROPPED_FRAGMENT
    assert judge_packet(change(packet, 9, 17)) == Outcome.DROPPED_PROTOCOL
    assert judge_packet(change(packet, 32, 0x40)) == Outcome.DROPPED_MALFORMED
    assert judge_packet(change(packet, 32, 0x60)) == Outcome.DROPPED_MALFORMED


@given(st.binary(max_size=64))
@settings(max_examples=500, derandomize=True, database=None)
def test_any_bytes_are_judged(packet: bytes) -> None:
    outcome = judge_packet(packet)
    assert outcome in Outcome
    if outcome == Outcome.ACCEPTED:
        assert flow_digest(packet) >> 60 == 0


@given(st.binary(max_size=64))
@settings(max_examples=500, derandomize=True, database=None)
def test_any_bytes_are_decoded_or_refused(datagram: bytes) -> None:
    decode(datagram)
    frame = read_frame(datagram)
    if frame is not None:
        assert datagram.startswith(frame.raw)
        assert frame.hops


def test_frames_end_at_the_hop_limit() -> None:
    assert find_frame(RelayKind.HOME, HOP_LIMIT, 0) is not None
    assert find_frame(RelayKind.HOME, HOP_LIMIT + 1, 0) is None


def test_random_datagrams_are_counted_and_not_sent_on() -> None:
    network = Network(1)
    node = network.add('i1', 'a')
    network.announce_member(node.member, ['i1'])
    network.publish([make_upstream('u1')], ['i1'])
    random = Random(1)
    whole = make_packet(7, SYN, '198.51.100.9')
    for _ in range(RANDOM_DATAGRAMS):
        kept = random.randrange(len(whole) + 1)
        datagram = whole[:kept] + random.randbytes(random.randrange(40))
        node.receive_fabric(datagram)
        node.receive_relay(datagram, ('10.9.9.9', 2))
    counts = Counter(
        {outcome: node.path.counts[outcome] for outcome in Outcome}
    )
    assert counts.total() == 2 * RANDOM_DATAGRAMS
    assert counts[Outcome.DROPPED_UNKNOWN_PEER] == RANDOM_DATAGRAMS
    assert not network.deliveries
    assert not len(node.path.table)
