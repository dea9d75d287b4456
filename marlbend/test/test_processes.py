"""Test whole deployments of real processes on loopback."""

import asyncio
import itertools
import socket
from random import Random

from bench.callers import FlowPlan
from bench.changes import publish_and_time, set_draining, stop_instance
from bench.deployment import (
    Deployment,
    fetch_statuses,
    open_deployment,
    stop_upstreams,
)
from bench.load import (
    BackgroundLoad,
    finish_background_load,
    start_background_load,
)
from bench.segments import PACKET_PORT
from bench.sinks import make_packet, open_sink_deployment, sink_address
from marlbend.sockets import open_socket

RANDOM_DATAGRAMS = 10_000
BATCH_SIZE = 200
COUNT_TIMEOUT_SECONDS = 60
LONG_FLOWS = 60


def test_flows_survive_a_drain_and_a_stop() -> None:
    """Test that a drain and a graceful stop under load break no flow."""

    async def run() -> None:
        async with open_deployment('ukhozi', 4, 71) as deployment:
            plan = FlowPlan(deployment.endpoint('listen'), 10, 0.5)
            background = BackgroundLoad(deployment.callers)
            open_flows = await start_background_load(
                background,
                list(itertools.repeat(plan, LONG_FLOWS)),
                FlowPlan(deployment.endpoint('studio'), 1, 0),
                20,
            )
            assert len(open_flows) == LONG_FLOWS
            set_draining(deployment, 'listen', 'listen-1', draining=True)
            await publish_and_time(deployment)
            await stop_instance(deployment, 'i2')
            faults = await finish_background_load(background)
            assert not faults
            counts = await stop_upstreams(deployment)
            assert not sum(count.misdelivered for count in counts.values())

    asyncio.run(run())


def test_random_datagrams_at_an_instance_are_counted() -> None:
    """Test that invalid datagrams from unknown senders are counted and dropped.

    Each is counted by its kind, and none is forwarded to an upstream.
    """

    async def run() -> None:
        async with open_sink_deployment(72, 1) as deployment:
            with open_socket(sink_address(deployment), PACKET_PORT) as sink:
                await send_invalid_datagrams(deployment)
                assert not has_received_datagram(sink)

    asyncio.run(run())


async def send_invalid_datagrams(deployment: Deployment) -> None:
    """Send random and truncated datagrams.

    Each batch is sent once the instance has counted all earlier datagrams.
    """
    random = Random(1)
    valid_packet = make_packet((deployment.address(4, 1), 5000))
    listed = next(iter(deployment.listed_by_name.values()))
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sender.connect((listed.address, PACKET_PORT))
    with sender:
        for sent in range(1, RANDOM_DATAGRAMS + 1):
            kept_bytes = random.randrange(len(valid_packet))
            noise = random.randbytes(random.randrange(1, 60))
            sender.send(
                random.choice((valid_packet[:kept_bytes] or noise, noise))
            )
            if sent % BATCH_SIZE == 0:
                await wait_until_counted(deployment, sent)


async def wait_until_counted(deployment: Deployment, expected: int) -> None:
    """Wait until the instance has counted the datagrams, all as dropped."""
    counted = 0
    async with asyncio.timeout(COUNT_TIMEOUT_SECONDS):
        while counted != expected:
            statuses = (await fetch_statuses(deployment)).values()
            packets = [status.packets for status in statuses]
            assert not any('forwarded' in counts for counts in packets)
            counted = sum(sum(counts.values()) for counts in packets)


def has_received_datagram(sink: socket.socket) -> bool:
    """Return whether a datagram has arrived."""
    try:
        return bool(sink.recv(1))
    except BlockingIOError:
        return False
