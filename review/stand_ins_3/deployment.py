"""Set up the deployment that the cases share, like the one on the sheet."""

from configuration import ROUTE_PORT, make_configuration
from store import put_object
from world import add_host, start_nodes

BOLE = 'bole'
KALITY = 'kality'
YEKA = 'yeka'
ZONES = (BOLE, KALITY, YEKA)
NODE_ZONES = (BOLE, BOLE, BOLE, KALITY, KALITY, KALITY, YEKA, YEKA)
# The numbers of the seeds among the instances, one in each zone.
SEEDS = (0, 3, 6)
CLIENTS = 30


def find_route(world):
    """Return the address and port of the only route."""
    return (f'{world.net}.9.1', ROUTE_PORT)


def add_hosts(world, service, zones, slots):
    """Start the hosts of a service, one in each of some zones."""
    return [add_host(world, service, zone, slots) for zone in zones]


async def start_deployment(world, service, warmup_s, warmup_per_s):
    """Write the configuration, and start the instances; return if they run."""
    configuration = make_configuration(
        find_route(world), service, warmup_s, warmup_per_s
    )
    put_object(world.store, 'config', 'main', configuration)
    return await start_nodes(world, NODE_ZONES, SEEDS)
