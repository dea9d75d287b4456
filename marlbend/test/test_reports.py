"""Bring about faults that operators of similar systems reported.

docs/reports.md lists the reports, and the test of each.
"""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

import msgspec
import pytest

from bench.fuzz import feed_decoders
from marlbend.clock import steady_seconds
from marlbend.config import UpstreamSpec
from marlbend.edge.node import GossipNode
from marlbend.edge.peers import receive_heartbeat
from marlbend.edge.serving import is_ready
from marlbend.edge.tasks import run_forever
from marlbend.edge.upstream_updates import updates_for_local_domain
from marlbend.errors import MarlbendError
from marlbend.hashing import HASH_BITS, rendezvous_score
from marlbend.http import Connection
from marlbend.ownership.daemon.loads import count_loads
from marlbend.ownership.packets.header import RST
from marlbend.steering.budgets import make_budgets
from marlbend.steering.state import OUT_INDEFINITELY
from marlbend.steering.steer import MAX_UNKNOWN_COOKIES
from marlbend.steering.upstreams import register_upstream
from marlbend.test.edge import Fleet, run_with_fleet, wait_until
from marlbend.test.network import SERVICE, Network
from marlbend.test.steering import SteeringDriver, make_entry
from marlbend.topics.contents import decode_topic, encode_topic
from marlbend.topics.fetching import make_topic_handlers
from marlbend.topics.knowledge import Topic
from marlbend.topics.reader import TopicWatcher, watch_topic
from marlbend.wire.heartbeats import (
    Heartbeat,
    MemberUpdate,
    TopicRevision,
    decode_heartbeat,
    encode_heartbeat,
)

FIRST = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst'
SECOND = b'HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond'
# A path that no JSON parser follows to its end.
DEEP_BODY = b'[' * 100_000

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def request_twice(serve: Serve, pause: float) -> list[bytes]:
    """Return the bodies of two requests on one connection to a server."""
    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    connection = Connection(server.sockets[0].getsockname())
    bodies = []
    for _ in range(2):
        response = await connection.request('GET', '/', 1)
        bodies.append(response.body)
        await asyncio.sleep(pause)
    connection.close()
    server.close()
    return bodies


@pytest.mark.parametrize('delay', (0, 0.05))
def test_second_copy_of_a_response_is_not_taken_for_the_next(
    delay: float,
) -> None:
    responses = iter((FIRST, SECOND))
    copies = iter((FIRST, b''))

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(1000):
            writer.write(next(responses))
            await asyncio.sleep(delay)
            writer.write(next(copies))

    bodies = asyncio.run(request_twice(serve, 0.1))
    assert bodies == [b'first', b'second']


def test_response_after_the_time_limit_is_not_taken_for_the_next() -> None:
    delayed_responses = iter(((0.2, FIRST), (0, SECOND)))

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(1000):
            seconds, response = next(delayed_responses)
            await asyncio.sleep(seconds)
            writer.write(response)

    async def scenario() -> bytes:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        connection = Connection(server.sockets[0].getsockname())
        with pytest.raises(MarlbendError):
            await connection.request('GET', '/', 0.1)
        await asyncio.sleep(0.2)
        response = await connection.request('GET', '/', 1)
        connection.close()
        server.close()
        return response.body

    assert asyncio.run(scenario()) == b'second'


def test_leaving_instance_does_not_say_that_it_reads_the_platform() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: instance.version == 3)
        instance.gossip.is_leaving = True
        instance.gossip.myself.can_read = False
        await fleet.publish(4)
        await wait_until(lambda: instance.version == 4)
        await asyncio.sleep(0.2)
        assert not instance.gossip.myself.can_read

    run_with_fleet(scenario)


def test_instance_is_not_ready_before_it_knows_the_domains_out() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        await wait_until(lambda: is_ready(instance.node))
        instance.gossip.revision_by_topic[Topic.DOMAINS_OUT] = 0
        assert not is_ready(instance.node)

    run_with_fleet(scenario)


def test_domain_that_is_back_is_not_sent_as_out() -> None:
    steering = SteeringDriver().steering
    steering.domains_out = {'b': OUT_INDEFINITELY, 'c': steady_seconds()}
    body = encode_topic(steering, Topic.DOMAINS_OUT)
    assert decode_topic(Topic.DOMAINS_OUT, body) == ('b',)


def test_heartbeat_with_an_unknown_topic_is_not_dropped() -> None:
    """A later release may have more topics."""
    member = MemberUpdate('n2', ('127.9.2.2', 6071), 'a', 0, can_read=True)
    datagram = encode_heartbeat(
        Heartbeat((member,), (TopicRevision(7, 5, 0), TopicRevision(0, 5, 0)))
    )
    assert decode_heartbeat(datagram) is not None

    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        receive_heartbeat(instance.node, datagram, member.endpoint)
        assert 'n2' in instance.gossip.members.by_name

    run_with_fleet(scenario)


def test_many_unknown_cookies_do_not_restart_the_delay_of_each() -> None:
    driver = SteeringDriver()
    driver.route('web', 'catalog')
    driver.upstream('a1', 'catalog', 'a')
    driver.open('f', 'web')
    driver.establish('f')
    since_by_cookie = driver.steering.pool.unknown_cookie_since
    for cookie in range(1, MAX_UNKNOWN_COOKIES + 1):
        driver.callers['f'].cookie = cookie
        driver.send('f')
        driver.now += 0.001
    driver.callers['f'].cookie = MAX_UNKNOWN_COOKIES + 1
    driver.send('f')
    assert len(since_by_cookie) == MAX_UNKNOWN_COOKIES
    assert MAX_UNKNOWN_COOKIES in since_by_cookie


@pytest.mark.parametrize('hash_code', (0, (1 << HASH_BITS) - 1))
@pytest.mark.parametrize('weight', (0, 1, 1000))
def test_rendezvous_score_does_not_divide_by_zero(
    hash_code: int, weight: int
) -> None:
    assert rendezvous_score(hash_code, weight) >= 0


def test_topics_are_served_within_the_budget() -> None:
    """Whoever is turned away fetches from the sender of a later heartbeat."""

    async def scenario(fleet: Fleet) -> None:
        for number in range(1, 201):
            await fleet.register(f'i-{number:04x}')
        instance = await fleet.add('n1')
        await wait_until(lambda: len(instance.upstreams) > 200)
        local_instance = instance.steering.local_instance
        local_instance.budgets = make_budgets(1, 1)
        serve = make_topic_handlers(instance.node)['/beliefs/1']
        statuses = [serve('')[0] for _ in range(100)]
        assert statuses[0] == 200
        assert statuses[-1] == 503

    run_with_fleet(scenario)


@pytest.mark.parametrize('count', (30, 300, 3000))
def test_heartbeat_fits_into_a_datagram_however_many_upstreams(
    count: int,
) -> None:
    driver = SteeringDriver()
    for number in range(count):
        entry = make_entry(f'h-{number:04x}', 'catalog', 'a')
        register_upstream(driver.steering.pool, entry, driver.now)
    for upstream in driver.steering.pool.by_name.values():
        upstream.busy = 2
    failing = driver.steering.pool.by_name['h-0007']
    failing.liveness.last_unanswered_at = driver.now
    failing.liveness.unanswered = 2
    member = MemberUpdate('n2', ('127.9.2.2', 6071), 'a', 0, can_read=True)
    updates = tuple(updates_for_local_domain(driver.steering, driver.now))
    assert failing.cookie in {update.cookie for update in updates}
    assert len(encode_heartbeat(Heartbeat((member,), (), updates))) < 4000


def test_deeply_nested_response_does_not_end_the_process() -> None:
    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while await reader.read(1000):
            size = len(DEEP_BODY)
            head = f'HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n'
            writer.write(head.encode() + DEEP_BODY)

    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        connection = Connection(server.sockets[0].getsockname())
        watcher = TopicWatcher(
            Topic.UPSTREAMS,
            connection,
            instance.steering,
            instance.gossip,
            lambda changes: None,
        )
        watcher.list_needed = True
        task = asyncio.create_task(watch_topic(watcher))
        await asyncio.sleep(0.5)
        assert not task.done()
        task.cancel()
        server.close()

    run_with_fleet(scenario)


def test_unexpected_error_in_a_task_does_not_end_the_process() -> None:
    calls: list[float] = []

    async def fail_once() -> None:
        calls.append(steady_seconds())
        if len(calls) == 1:
            raise ZeroDivisionError
        await asyncio.sleep(10)

    async def scenario() -> None:
        task = asyncio.create_task(run_forever('failing', fail_once, 0.01))
        await asyncio.sleep(0.1)
        assert len(calls) == 2
        assert not task.done()
        task.cancel()

    asyncio.run(scenario())


def test_mutated_bytes_raise_only_documented_errors() -> None:
    report = feed_decoders(seed=2, inputs=40_000)
    assert not report.errors


def test_random_heartbeats_raise_nothing() -> None:
    async def scenario(fleet: Fleet) -> None:
        instance = await fleet.add('n1')
        random = Random(1)
        sender = ('127.9.2.2', 6071)
        for _ in range(20_000):
            receive_heartbeat(
                instance.node, mutate_heartbeat(random, sender), sender
            )
        assert isinstance(instance.node, GossipNode)

    run_with_fleet(scenario)


def mutate_heartbeat(random: Random, sender: tuple[str, int]) -> bytes:
    """Return an encoded heartbeat with some bytes replaced."""
    member = MemberUpdate('n2', sender, 'a', 0, can_read=True)
    revisions = tuple(
        TopicRevision(topic, random.randrange(9), random.randrange(9))
        for topic in range(3)
    )
    datagram = bytearray(
        msgspec.msgpack.encode(Heartbeat((member,), revisions))
    )
    for _ in range(random.randint(1, 4)):
        datagram[random.randrange(len(datagram))] = random.randrange(256)
    return bytes(datagram)


def test_instance_that_was_paused_opens_no_flow_by_what_it_knew() -> None:
    """A SYN that waited while it was paused is older than what changed."""
    driver = SteeringDriver()
    driver.route('web', 'catalog')
    driver.upstream('a1', 'catalog', 'a')
    driver.open('f1', 'web')
    assert driver.sent == ['a1']
    driver.sent.clear()
    driver.now += 5
    driver.steering.local_instance.resumed_at = driver.now
    driver.open('f2', 'web')
    assert not driver.sent
    driver.now += 1
    driver.open('f3', 'web')
    assert driver.sent == ['a1']


def test_flow_of_an_upstream_that_only_stopped_reporting_is_not_reset() -> None:
    driver = SteeringDriver()
    driver.route('web', 'catalog')
    driver.upstream('a1', 'catalog', 'a')
    driver.upstream('a2', 'catalog', 'a')
    driver.open('f1', 'web')
    name = driver.sent[-1]
    driver.establish('f1')
    driver.expire_registration(name)
    for _ in range(10):
        driver.send_data('f1')
        driver.wait('0.5')
        driver.ack('f1')
    assert driver.steering.pool.by_name[name].ended_at
    assert 'reset' not in driver.sent
    driver.wait('3')
    driver.send_data('f1')
    driver.wait('0.2')
    driver.retransmit('f1')
    assert 'reset' not in driver.sent
    driver.wait('0.8')
    driver.retransmit('f1')
    assert driver.sent[-1] == 'reset'


def test_loads_that_fall_to_zero_are_reported() -> None:
    """On a plain fabric, receivers would keep the last count otherwise."""
    network = Network(1)
    path = network.add('i1', 'a').path
    network.announce_member(network.node_by_name['i1'].member, ['i1'])
    upstream = UpstreamSpec('u1', '10.1.0.1', 'a', 4, 100, draining=False)
    network.publish([upstream], ['i1'])
    network.open_flow(1)
    assert [load.counts for load in count_loads(path, set())] == [(1,)]
    network.send(1, RST)
    assert not list(count_loads(path, set()))
    assert [load.counts for load in count_loads(path, {SERVICE})] == [(0,)]
