"""Test that control messages are accepted from instances only."""

from random import Random

from marlbend.ownership.daemon.control import make_receiver
from marlbend.ownership.members import Member, MemberState
from marlbend.ownership.wire.control import encode
from marlbend.ownership.wire.liveness import Ack, Ping
from marlbend.ownership.wire.replication import (
    LoadReport,
    ReplicaUpdate,
    ServiceLoad,
)
from marlbend.test.network import Network, Node
from marlbend.test.test_network import make_upstream

UNKNOWN_SENDER = ('10.66.0.1', 3)
RANDOM_DATAGRAMS = 10_000


def make_pair() -> tuple[Network, Node, Node]:
    """Return two instances that know each other, and configure a service."""
    network = Network(1)
    first = network.add('i1', 'a')
    second = network.add('i2', 'b')
    for node in (first, second):
        network.announce_member(node.member, ['i1', 'i2'])
    network.publish(map(make_upstream, ('u1', 'u2')), ['i1', 'i2'])
    return network, first, second


def make_gone_record(member: Member) -> Member:
    """Return a member's record with a higher incarnation and state GONE."""
    return Member(
        member.name,
        member.address,
        member.domain,
        1,
        2,
        3,
        4,
        9,
        MemberState.GONE,
    )


def test_messages_of_unknown_senders_change_nothing() -> None:
    """Forged and malformed messages are counted and dropped."""
    _, node, other = make_pair()
    receive = make_receiver(node.instance)
    before = node.path.view.membership_digest
    forged = (
        Ping(1, 0, 99, (make_gone_record(other.member),)),
        Ack(1, 0, 99, (make_gone_record(other.member),)),
        ReplicaUpdate('i2', 1, 5, (), (1,)),
        LoadReport('i2', 1, (ServiceLoad('web', (9, 9)),)),
    )
    for message in forged:
        receive(encode(message), UNKNOWN_SENDER)
    random = Random(1)
    for _ in range(RANDOM_DATAGRAMS):
        receive(random.randbytes(random.randrange(60)), UNKNOWN_SENDER)
    metrics = node.instance.metrics
    assert metrics.control_foreign >= len(forged)
    rejected = metrics.control_foreign + metrics.control_malformed
    assert rejected == len(forged) + RANDOM_DATAGRAMS
    assert node.path.view.membership_digest == before
    assert not node.path.loads.report_by_key
    assert not node.instance.replicas.by_origin


def test_known_and_joining_instances_are_accepted() -> None:
    _, node, other = make_pair()
    receive = make_receiver(node.instance)
    known = (other.member.address, other.member.control_port)
    receive(encode(ReplicaUpdate('i2', 1, 5, (), ())), known)
    assert 'i2' in node.instance.replicas.by_origin
    joining = Member(
        'i3', UNKNOWN_SENDER[0], 'c', 1, 2, UNKNOWN_SENDER[1], 4, 1
    )
    receive(encode(Ping(1, 0, 0, (joining,))), UNKNOWN_SENDER)
    assert node.path.view.member_by_name['i3'] == joining
    assert not node.instance.metrics.control_foreign
