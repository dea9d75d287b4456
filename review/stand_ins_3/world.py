"""Bring instances, hosts, clients, routers and the store together.

The instances are the project's own program, a process each.  All else runs in
this process, on loopback addresses of one network.
"""

import asyncio
import itertools
import os
import random
import shutil
import socket
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

from clients import Client
from hosts import Host, beat
from nodes import Node, end_nodes, start_node
from records import Record
from routers import choose_node, poll_readiness
from store import Store, start_store

CASE_SECONDS = 110
READY_SECONDS = 15
READY_CHECK_SECONDS = 0.01
SETTLE_SECONDS = 4
# The second byte of the loopback addresses, so that runs do not meet.
NETWORKS = (40, 250)
ID_BITS = 40
ID_FORMAT = '010x'
COULD_NOT_RUN = 2


class World:
    """Hold everything of one run.

    `holder_by_ends` holds the host of each open flow, `node_by_ends` the name
    of the instance that got its latest packet.  `arrivals` holds when each host
    took an opening packet, and from which instance.  Requests take the time on
    the users' sheet, times `work_scale`.
    """

    def __init__(self, case_folder, seed):
        """Choose free ports and a network."""
        self.random = random.Random(seed)
        self.record = Record(Path(case_folder) / 'record.txt')
        self.folder = Path(tempfile.mkdtemp(prefix='review-3-'))
        network = random.SystemRandom().randint(*NETWORKS)
        self.net = f'127.{network}'
        self.ports = _find_free_ports('store', 'ready', 'control', 'data')
        self.store = Store()
        self.nodes = []
        self.gone_nodes = []
        self.seeds = []
        self.host_by_address = {}
        self.holder_by_ends = {}
        self.arrivals = []
        self.node_by_ends = {}
        self.work_scale = 1
        self.tasks = set()
        self._router = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    @property
    def has_trouble(self):
        """Return whether the disruption of the case happens."""
        return os.environ.get('TROUBLE') != '0'

    def route(self, zone, ends, raw):
        """Send a client's packet to the instance that the routers choose."""
        node = choose_node(self.nodes, zone, ends)
        if node is not None:
            self.node_by_ends[ends] = node.name
            self._router.sendto(raw, (node.address, self.ports['data']))

    def judge_reset(self, flow, packet, sender):
        """Judge a reset that a client took."""
        if packet.is_system_reset:
            who = 'the system'
        else:
            who = self.host_by_address[sender].name
        self.record.note(f'{flow.ends} is reset by {who}')
        holder = self.holder_by_ends.get(flow.ends)
        if holder is None or not flow.is_open or not holder.is_alive:
            return
        if who != holder.name:
            self.record.fail(
                'FLOW', f'{flow.ends} of {holder.name} is reset by {who}'
            )

    def store_address(self, node):
        """Return the address of the store for an instance."""
        number = node.address.rpartition('.')[2]
        return self.join_port(f'{self.net}.0.{number}', 'store')

    def join_port(self, address, name):
        """Return an address with the port of a name."""
        port = self.ports[name]
        return f'{address}:{port}'

    def run(self, awaitable):
        """Run a task until the end of the case."""
        task = asyncio.ensure_future(awaitable)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def add_node(world, zone):
    """Add an instance without starting it."""
    number = len(world.nodes) + len(world.gone_nodes) + 1
    address = f'{world.net}.1.{number}'
    node = Node(world, f'front-{zone}-{number}', zone, address)
    world.nodes.append(node)
    return node


async def run_node(node):
    """Start an instance, and let the routers poll it."""
    world = node.world
    address, _, port = world.store_address(node).partition(':')
    await start_store(world.store, address, int(port), node.name)
    start_node(node)
    world.run(poll_readiness(node))


async def start_nodes(world, zones, seed_numbers):
    """Start all instances; return whether they become ready."""
    for zone in zones:
        add_node(world, zone)
    seeds = [world.nodes[number] for number in seed_numbers]
    world.seeds = list_endpoints(seeds)
    for node in world.nodes:
        await run_node(node)
    is_ready = await wait_ready(world, READY_SECONDS)
    await asyncio.sleep(SETTLE_SECONDS)
    return is_ready


def list_endpoints(nodes):
    """Return the control endpoints of instances, as seeds name them."""
    return [node.world.join_port(node.address, 'control') for node in nodes]


async def wait_ready(world, seconds):
    """Wait until all instances are in rotation; return whether they are."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if all(node.in_rotation for node in world.nodes):
            return True
        await asyncio.sleep(READY_CHECK_SECONDS)
    return False


def add_host(world, service, zone, slots):
    """Start a host, which registers at once."""
    number = len(world.host_by_address) + 1
    address = (f'{world.net}.2.{number}', world.ports['data'])
    digits = format(world.random.getrandbits(ID_BITS), ID_FORMAT)
    host = Host(world, f'i-{digits}', (service, zone, slots), address)
    world.host_by_address[address] = host
    world.run(beat(host))
    return host


def add_clients(world, zones, count):
    """Return client addresses, in turn in each of some zones."""
    in_turn = itertools.islice(itertools.cycle(zones), count)
    return [
        Client(world, _join_address(world, number), zone)
        for number, zone in enumerate(in_turn, 1)
    ]


def _join_address(world, number):
    return f'{world.net}.3.{number}'


def run_case(play, rule):
    """Play a case in the folder that is named, and exit with its result."""
    world = World(sys.argv[1], 1)
    try:
        code = asyncio.run(_play_in_time(world, play, rule))
    except Exception as error:
        world.record.note(f'could not run: {type(error).__name__}: {error}')
        code = COULD_NOT_RUN
    finally:
        _clean_up(world)
    world.record.note(f'exit code {code}')
    world.record.close()
    sys.exit(code)


def _clean_up(world):
    end_nodes([*world.nodes, *world.gone_nodes])
    logs_folder = os.environ.get('KEEP')
    if logs_folder is not None:
        shutil.copytree(world.folder, logs_folder, dirs_exist_ok=True)
    shutil.rmtree(world.folder, ignore_errors=True)


async def _play_in_time(world, play, rule):
    loop = asyncio.get_running_loop()
    # Tasks that still wait at the end are of no interest.
    loop.set_exception_handler(lambda _, context: None)
    async with asyncio.timeout(CASE_SECONDS):
        has_run = await play(world)
    for task in tuple(world.tasks):
        task.cancel()
    if not has_run or not world.record.counts['served']:
        return COULD_NOT_RUN
    return int(any(broken == rule for broken, _ in world.record.broken))


def _find_free_ports(*names):
    with ExitStack() as stack:
        probes = [stack.enter_context(socket.socket()) for _ in names]
        return {
            name: _find_free_port(probe)
            for name, probe in zip(names, probes, strict=True)
        }


def _find_free_port(probe):
    probe.bind(('127.0.0.1', 0))
    return probe.getsockname()[1]
