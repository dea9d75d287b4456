"""Stand in for the hosts: start, end, register in the store."""

import asyncio
import time

from host_packets import read_packets
from sockets import open_socket
from store import delete_object, put_object

MILLISECONDS = 1000
BEAT_SECONDS = 1.2


class Host:
    """Hold one host; `world` is told what it sees.

    `flow_by_ends` holds its flows by the ends of the client's packets.  While
    `is_alive` is not set, nothing listens, but the machine answers with resets.
    """

    __slots__ = (
        'address',
        'born',
        'busy',
        'entry',
        'flow_by_ends',
        'is_alive',
        'name',
        'place',
        'sock',
        'state',
        'waiting',
        'warm_at',
        'world',
    )

    def __init__(self, world, name, place, address):
        """Bind the address; `place` is the service and the zone."""
        self.world = world
        self.name = name
        self.place = place
        self.address = address
        self.born = int(time.time() * MILLISECONDS)
        self.state = 'ready'
        self.warm_at = time.monotonic()
        self.entry = None
        self.flow_by_ends = {}
        self.busy = 0
        self.waiting = []
        self.is_alive = True
        self.sock = open_socket(address)
        asyncio.get_running_loop().add_reader(self.sock, read_packets, self)


def register(host):
    """Write the entry of a host; without a change there is no write."""
    service, zone, slots = host.place
    left_seconds = max(host.warm_at - time.monotonic(), 0)
    entry = {
        'service': service,
        'address': ':'.join(map(str, host.address)),
        'zone': zone,
        'version': 'v1',
        'slots': slots,
        'state': host.state,
        'warmup_left_ms': int(left_seconds * MILLISECONDS),
        'born': host.born,
    }
    if entry != host.entry:
        host.entry = entry
        seq = int(time.monotonic() / BEAT_SECONDS)
        put_object(
            host.world.store, 'servers', host.name, {**entry, 'seq': seq}
        )


async def beat(host):
    """Write the entry of a host regularly while it lives."""
    while host.is_alive:
        register(host)
        await asyncio.sleep(BEAT_SECONDS)


def crash(host):
    """End the process of a host, with all its flows."""
    host.is_alive = False
    host.flow_by_ends.clear()
    host.waiting.clear()
    host.busy = 0
    host.world.record.note(f'{host.name} ends')


def restart(host, cold_seconds):
    """Start a host again under its id, cold; it registers at once."""
    host.is_alive = True
    host.born = int(time.time() * MILLISECONDS)
    host.warm_at = time.monotonic() + cold_seconds
    host.world.record.note(f'{host.name} starts again, cold')
    register(host)


def leave(host):
    """End a host for good; its entry goes with it."""
    crash(host)
    delete_object(host.world.store, 'servers', host.name)
