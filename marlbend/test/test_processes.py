"""Run real processes on loopback: the whole path, and bytes from strangers."""

import asyncio
import itertools
import socket
from random import Random

from bench.callers import FlowPlan
from bench.changes import change_upstream, publish_and_time, stop_instance
from bench.deployment import Deployment, ask_statuses, end_upstreams, open_stage
from bench.load import Background, finish_background, start_background
from bench.segments import TUNNEL_PORT
from bench.sinks import make_packet, open_sink_deployment, sink_address
from marlbend.sockets import open_socket

RANDOM_DATAGRAMS = 10_000
BATCH = 200
WAIT_SECONDS = 60
LONG_FLOWS = 60


def test_flows_survive_a_drain_and_a_stop() -> None:
    async def run() -> None:
        async with open_stage('ukhozi', 4, 71) as deployment:
            plan = FlowPlan(deployment.endpoint('listen'), 10, 0.5)
            background = Background(deployment.callers)
            open_now = await start_background(
                background,
                list(itertools.repeat(plan, LONG_FLOWS)),
                FlowPlan(deployment.endpoint('studio'), 1, 0),
                20,
            )
            assert len(open_now) == LONG_FLOWS
            change_upstream(deployment, 'listen', 'listen-1', draining=True)
            await publish_and_time(deployment)
            await stop_instance(deployment, 'i2')
            faults = await finish_background(background)
            assert not faults
            counts = await end_upstreams(deployment)
            assert not sum(count.misdelivered for count in counts.values())

    asyncio.run(run())


def test_random_datagrams_at_an_instance_are_counted() -> None:
    """Whatever strangers send is counted by kind and goes nowhere."""

    async def run() -> None:
        async with open_sink_deployment(72, 1) as deployment:
            with open_socket(sink_address(deployment), TUNNEL_PORT) as sink:
                await send_random(deployment)
                assert not received_anything(sink)

    asyncio.run(run())


async def send_random(deployment: Deployment) -> None:
    """Send random and truncated datagrams, none faster than counted."""
    random = Random(1)
    whole = make_packet((deployment.address(4, 1), 5000))
    listed = next(iter(deployment.listed_by_name.values()))
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect((listed.address, TUNNEL_PORT))
    with sender:
        for sent in range(1, RANDOM_DATAGRAMS + 1):
            kept = random.randrange(len(whole))
            noise = random.randbytes(random.randrange(1, 60))
            sender.send(random.choice((whole[:kept] or noise, noise)))
            if sent % BATCH == 0:
                await wait_until_counted(deployment, sent)


async def wait_until_counted(deployment: Deployment, expected: int) -> None:
    """Wait until the instance has counted so many datagrams, all dropped."""
    counted = 0
    async with asyncio.timeout(WAIT_SECONDS):
        while counted != expected:
            statuses = (await ask_statuses(deployment)).values()
            packets = [status.packets for status in statuses]
            assert not any('forwarded' in counts for counts in packets)
            counted = sum(sum(counts.values()) for counts in packets)


def received_anything(sink: socket.socket) -> bool:
    """Tell whether a datagram has come."""
    try:
        return bool(sink.recv(1))
    except BlockingIOError:
        return False
