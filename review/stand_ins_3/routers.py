"""Stand in for the routers: poll readiness, choose an instance for a flow."""

import asyncio
import time
import zlib
from contextlib import closing

POLL_SECONDS = 0.5
TIMEOUT_SECONDS = 0.45
MISSES = 2
_REQUEST = b'GET /api/ready HTTP/1.1\r\nHost: marlbend\r\n\r\n'


async def poll_readiness(node):
    """Poll an instance twice a second, until cancelled."""
    while True:
        began_at = time.monotonic()
        node.misses = 0 if await _is_ready(node) else node.misses + 1
        in_rotation = not node.misses or (
            node.in_rotation and node.misses < MISSES
        )
        if in_rotation != node.in_rotation:
            node.in_rotation = in_rotation
            where = 'in' if in_rotation else 'out of'
            node.world.record.note(f'{node.name} is {where} rotation')
        elapsed = time.monotonic() - began_at
        await asyncio.sleep(max(POLL_SECONDS - elapsed, 0))


def choose_node(nodes, zone, ends):
    """Return the instance that gets the packets of a flow, by `mod`.

    If fewer than half of a zone's instances are in rotation, all of them are
    used; if none is, those of the other zones, which are all as near.
    """
    in_zone = [node for node in nodes if node.zone == zone]
    usable = [node for node in in_zone if node.in_rotation]
    if usable and 2 * len(usable) < len(in_zone):
        usable = in_zone
    usable = usable or [node for node in nodes if node.in_rotation]
    if not usable:
        return None
    digest = zlib.crc32('|'.join(map(str, ends)).encode())
    return usable[digest % len(usable)]


async def _is_ready(node):
    port = node.world.ports['ready']
    try:
        async with asyncio.timeout(TIMEOUT_SECONDS):
            line = await _ask(node.address, port)
    except OSError:
        return False
    return b' 200 ' in line


async def _ask(address, port):
    reader, writer = await asyncio.open_connection(address, port)
    with closing(writer.transport):
        writer.write(_REQUEST)
        return await reader.readline()
