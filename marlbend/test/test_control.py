"""Take control messages from anybody, and believe only instances."""

from random import Random

from marlbend.homes.daemon.control import make_receiver
from marlbend.homes.members import Member, MemberState
from marlbend.homes.wire.control import encode
from marlbend.homes.wire.copies import Copies, LoadReport, ServiceLoad
from marlbend.homes.wire.liveness import Ack, Ping
from marlbend.test.network import Network, Node
from marlbend.test.test_network import make_upstream

STRANGER = ('10.66.0.1', 3)
RANDOM_DATAGRAMS = 10_000


def make_pair() -> tuple[Network, Node, Node]:
    """Return two instances that know each other, with a service."""
    network = Network(1)
    first = network.add('i1', 'a')
    second = network.add('i2', 'b')
    for node in (first, second):
        network.announce_member(node.member, ['i1', 'i2'])
    network.publish(map(make_upstream, ('u1', 'u2')), ['i1', 'i2'])
    return network, first, second


def bury(member: Member) -> Member:
    """Return a record that gives a member up."""
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


def test_strangers_change_nothing() -> None:
    """Trap 12: forged control messages are counted and dropped."""
    _, node, other = make_pair()
    receive = make_receiver(node.instance)
    before = node.path.fleet.digest
    forged = (
        Ping(1, 0, 99, (bury(other.member),)),
        Ack(1, 0, 99, (bury(other.member),)),
        Copies('i2', 1, 5, (), (1,)),
        LoadReport('i2', 1, (ServiceLoad('web', (9, 9)),)),
    )
    for message in forged:
        receive(encode(message), STRANGER)
    random = Random(1)
    for _ in range(RANDOM_DATAGRAMS):
        receive(random.randbytes(random.randrange(60)), STRANGER)
    metrics = node.instance.metrics
    assert metrics.control_foreign >= len(forged)
    refused = metrics.control_foreign + metrics.control_malformed
    assert refused == len(forged) + RANDOM_DATAGRAMS
    assert node.path.fleet.digest == before
    assert not node.path.loads.report_by_key
    assert not node.instance.replicas.by_origin


def test_known_instance_and_newcomer_are_heard() -> None:
    _, node, other = make_pair()
    receive = make_receiver(node.instance)
    known = (other.member.address, other.member.control_port)
    receive(encode(Copies('i2', 1, 5, (), ())), known)
    assert 'i2' in node.instance.replicas.by_origin
    newcomer = Member('i3', STRANGER[0], 'c', 1, 2, STRANGER[1], 4, 1)
    receive(encode(Ping(1, 0, 0, (newcomer,))), STRANGER)
    assert node.path.fleet.member_by_name['i3'] == newcomer
    assert not node.instance.metrics.control_foreign
