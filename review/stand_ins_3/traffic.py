"""Let clients send requests, and count the flows that a cold host takes."""

import asyncio
import itertools
import time

from clients import FlowEndedError, close_flow, open_flow, send_request
from hosts import beat, crash, restart
from nodes import BOUNDS_BY_NAME

SEQ_BITS = 32


class Load:
    """Describe the flows of a case: how many a second, and what each does."""

    __slots__ = ('flows_per_second', 'pause_seconds', 'requests', 'route')

    def __init__(self, route, flows_per_second, requests=1):
        """Set the pauses between requests as well."""
        self.route = route
        self.flows_per_second = flows_per_second
        self.requests = requests
        self.pause_seconds = (0.1, 0.6)


async def send_load(world, clients, load):
    """Open flows at a rate until cancelled."""
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    for number in itertools.count(1):
        client = clients[number % len(clients)]
        world.run(_use_flow(client, load, f'r{number}'))
        due_at = began_at + number / load.flows_per_second
        await asyncio.sleep(max(due_at - loop.time(), 0))


async def _use_flow(client, load, name):
    world = client.world
    try:
        await _send_requests(client, load, name)
    except FlowEndedError as error:
        world.record.counts[f'flow ended: {error}'] += 1


async def _send_requests(client, load, name):
    world = client.world
    seq = world.random.getrandbits(SEQ_BITS)
    flow = await open_flow(client, load.route, seq)
    for number in range(load.requests):
        if number:
            pause = world.random.uniform(*load.pause_seconds)
            await asyncio.sleep(pause)
        request = f'{name}.{number}'
        world.record.note(f'{request} is sent on {flow.ends}')
        await send_request(flow, request)
        world.record.note(f'{request} is answered')
        world.record.counts['served'] += 1
    await close_flow(flow)


def judge_cold_host(world, name, began_at, warm_at, per_second):
    """Judge by FAILBACK how many flows reached a host while it was cold."""
    limit = (
        per_second * BOUNDS_BY_NAME['warmup_overage']
        + BOUNDS_BY_NAME['warmup_slack']
    )
    times = [
        at
        for at, host, _ in world.arrivals
        if host == name and began_at <= at <= warm_at
    ]
    most = max(
        (sum(start <= at < start + 1 for at in times) for start in times),
        default=0,
    )
    text = f'{name} took {most} flows in a second while cold, limit {limit}'
    world.record.note(text)
    if most > limit:
        world.record.fail('FAILBACK', text)


async def restart_and_judge(host, down_seconds, cold_seconds, per_second):
    """Restart a host under its id, cold, and judge it when it is warm."""
    crash(host)
    await asyncio.sleep(down_seconds)
    began_at = time.monotonic()
    restart(host, cold_seconds)
    host.world.run(beat(host))
    await asyncio.sleep(cold_seconds)
    judge_cold_host(host.world, host.name, began_at, host.warm_at, per_second)
