"""Run a whole deployment on loopback for a measurement.

The second octet of every address is derived from the seed, so that a run can be
repeated.  If another measurement uses that octet, the next free one is taken,
and the run differs from others with this seed.
"""

import asyncio
import pathlib
import socket
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from random import Random
from typing import Final, final

import msgspec

from bench.callers import Callers, Fabric, close_hosts, open_hosts
from bench.processes import (
    Processes,
    kill_all,
    start_instance,
    start_module,
    stop_process,
)
from bench.segments import Endpoint
from bench.upstreams import UpstreamCounts
from marlbend.config import Configuration, ServiceSpec
from marlbend.config.publish import publish_configuration
from marlbend.errors import MarlbendError
from marlbend.ownership.daemon.wiring import HASH_SLOT_COUNT
from marlbend.ownership.instances import INSTANCES_PATH, ListedInstance
from marlbend.ownership.wire.messages import Status
from marlbend.ownership.wire.rpc import call_status
from marlbend.platform.client import PlatformClient
from marlbend.sockets import open_socket

__all__ = ('Deployment', 'open_deployment')

EXAMPLES: Final = pathlib.Path(__file__).parent.parent / 'examples'
PLATFORM_PORT: Final = 6090
# Equal to `PACKET_PORT` of `bench.segments`, to which floods are sent.
FABRIC_PORT: Final = 6080
RELAY_PORT: Final = 6081
CONTROL_PORT: Final = 6082
ADMIN_PORT: Final = 6083
CALLER_HOST_COUNT: Final = 4
START_TIMEOUT_SECONDS: Final = 20
POLL_SECONDS: Final = 0.05

# The third octets of addresses, by their use.  `load_services` puts the
# upstreams of examples into nets 20 to 29.
PLATFORM_NET: Final = 0
INSTANCE_NET: Final = 1
SINK_NET: Final = 2
CALLER_NET: Final = 3
SOURCE_NET: Final = 4

_FIRST_OCTET: Final = 30
_OCTET_COUNT: Final = 200
_LOCK_PORT: Final = 6099


@final
class Deployment:
    """Hold the processes, callers and configuration of one measurement.

    `listed_by_name` is the platform's list of instances.  The fabric's
    instances are set separately, since the fabric learns of changes later.
    """

    __slots__ = (
        'callers',
        'hash_slot_count',
        'instances_started',
        'limits',
        'listed_by_name',
        'octet',
        'octet_lock',
        'platform',
        'processes',
        'publication_count',
        'spec_by_service',
    )

    def __init__(self, seed: int) -> None:
        """Initialize without starting a process."""
        self.octet_lock = _claim_octet(seed)
        self.octet = socket.inet_aton(self.octet_lock.getsockname()[0])[1]
        self.processes = Processes()
        self.callers = Callers(Fabric((), Random(seed)))
        self.platform = PlatformClient(
            f'http://{self.address(PLATFORM_NET, 1)}:{PLATFORM_PORT}'
        )
        self.listed_by_name: dict[str, ListedInstance] = {}
        self.spec_by_service: dict[str, ServiceSpec] = {}
        self.publication_count = 0
        self.limits: dict[str, int] = {}
        self.instances_started = 0
        self.hash_slot_count = HASH_SLOT_COUNT

    def address(self, net: int, host: int) -> str:
        """Return the address with this third and this last octet."""
        return f'127.{self.octet}.{net}.{host}'

    def endpoint(self, service: str) -> Endpoint:
        """Return the endpoint at which callers reach a service."""
        spec = self.spec_by_service[service]
        return spec.addresses[0], spec.ports[0]


@asynccontextmanager
async def open_deployment(
    example: str,
    instance_count: int,
    seed: int,
) -> AsyncIterator[Deployment]:
    """Run the platform, upstreams, instances and callers of an example."""
    async with open_empty_deployment(seed) as deployment:
        await _start_upstreams(deployment, example)
        hosts = [
            deployment.address(CALLER_NET, host + 1)
            for host in range(CALLER_HOST_COUNT)
        ]
        open_hosts(deployment.callers, hosts)
        await start_instances(deployment, instance_count)
        yield deployment


@asynccontextmanager
async def open_empty_deployment(seed: int) -> AsyncIterator[Deployment]:
    """Run a deployment that has only the platform."""
    deployment = Deployment(seed)
    async with AsyncExitStack() as stack:
        stack.callback(deployment.octet_lock.close)
        stack.callback(close_hosts, deployment.callers)
        stack.push_async_callback(kill_all, deployment.processes)
        await start_module(
            deployment.processes,
            'platform',
            'bench.platform',
            [
                '--address',
                deployment.address(PLATFORM_NET, 1),
                '--port',
                str(PLATFORM_PORT),
            ],
        )
        await _wait_for_platform(deployment.platform)
        yield deployment


async def start_instances(deployment: Deployment, instance_count: int) -> None:
    """Start instances across the failure domains and wait until they serve."""
    domains = sorted(
        {
            upstream.domain
            for spec in deployment.spec_by_service.values()
            for upstream in spec.upstreams
        }
    )
    for number in range(instance_count):
        await add_instance(deployment, domains[number % len(domains)])
    await write_instance_list(deployment)
    await publish(deployment)
    await wait_until_serving(deployment)


async def add_instance(deployment: Deployment, domain: str) -> str:
    """Start an instance and return its name."""
    deployment.instances_started += 1
    number = deployment.instances_started
    name = f'i{number}'
    listed = ListedInstance(
        name=name,
        address=deployment.address(INSTANCE_NET, number),
        domain=domain,
        state='live',
        fabric_port=FABRIC_PORT,
        relay_port=RELAY_PORT,
        control_port=CONTROL_PORT,
        admin_port=ADMIN_PORT,
    )
    deployment.listed_by_name[name] = listed
    await start_instance(
        deployment.processes,
        {
            'name': name,
            'address': listed.address,
            'domain': domain,
            'platform': deployment.platform.url,
            'limits': deployment.limits,
        },
    )
    return name


async def write_instance_list(deployment: Deployment) -> None:
    """Write the list of instances to the platform."""
    stored = await deployment.platform.read(*INSTANCES_PATH)
    body = msgspec.json.encode(
        {'instances': list(deployment.listed_by_name.values())}
    )
    await deployment.platform.write(*INSTANCES_PATH, body, stored.revision)


async def publish(deployment: Deployment) -> int:
    """Publish the services of the deployment and return the version."""
    deployment.publication_count += 1
    return await publish_configuration(
        deployment.platform,
        Configuration(tuple(deployment.spec_by_service.values())),
        f'stage-{deployment.publication_count}',
    )


async def fetch_statuses(deployment: Deployment) -> dict[str, Status]:
    """Return the status of each instance that responds, by name."""
    statuses = await asyncio.gather(
        *(
            _fetch_status(listed)
            for listed in deployment.listed_by_name.values()
        )
    )
    return {status.name: status for status in statuses if status is not None}


async def wait_until_serving(deployment: Deployment) -> None:
    """Wait until every instance owns hash slots in the view of all instances.

    The fabric then sends to every listed instance.
    """
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        for name in deployment.listed_by_name:
            await add_to_fabric_when_owner(deployment, name)


async def add_to_fabric_when_owner(deployment: Deployment, name: str) -> None:
    """Wait until an instance owns hash slots, then make the fabric use it.

    All instances must see it as an owner.  The fabric then sends to every
    listed instance.
    """
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while not await _owns_slots_everywhere(deployment, name):
            await asyncio.sleep(POLL_SECONDS)
    set_fabric_instances(deployment, tuple(deployment.listed_by_name))


async def _owns_slots_everywhere(deployment: Deployment, name: str) -> bool:
    statuses = await fetch_statuses(deployment)
    shares = [
        member.home_share
        for status in statuses.values()
        for member in status.members
        if member.name == name
    ]
    return len(shares) == len(statuses) and min(shares, default=0) > 0


async def wait_until_applied(deployment: Deployment, version: int) -> None:
    """Wait until every instance has applied a configuration version."""
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while True:
            statuses = await fetch_statuses(deployment)
            lowest_version = min(
                status.config_version for status in statuses.values()
            )
            if lowest_version >= version:
                return
            await asyncio.sleep(POLL_SECONDS)


def set_fabric_instances(deployment: Deployment, names: Sequence[str]) -> None:
    """Make the fabric spray packets over only the named instances."""
    deployment.callers.fabric.instances = [
        (deployment.listed_by_name[name].address, FABRIC_PORT) for name in names
    ]


async def stop_upstreams(deployment: Deployment) -> dict[str, UpstreamCounts]:
    """Stop the upstreams and return their counts by name."""
    counts: dict[str, UpstreamCounts] = {}
    for service in deployment.spec_by_service:
        output = await stop_process(
            deployment.processes, f'upstreams-{service}'
        )
        counts.update(
            msgspec.json.decode(output, type=dict[str, UpstreamCounts])
        )
    return counts


def load_services(example: str, octet: int) -> Mapping[str, ServiceSpec]:
    """Read the service files of an example, moved to addresses of the octet.

    An upstream at 127.20.N.H in a file gets 127.OCTET.2N.H, in nets 20 to 29,
    which are clear of the nets of the deployment itself.
    """
    spec_by_service: dict[str, ServiceSpec] = {}
    for path in sorted((EXAMPLES / example).glob('*.json')):
        if path.name != 'settings.json':
            text = path.read_text().replace('"127.20.', f'"127.{octet}.2')
            spec = msgspec.json.decode(text, type=ServiceSpec)
            spec_by_service[spec.service] = spec
    return spec_by_service


def _claim_octet(seed: int) -> socket.socket:
    """Return a socket that reserves the first free octet from the seed on."""
    for offset in range(_OCTET_COUNT):
        octet = _FIRST_OCTET + (seed + offset) % _OCTET_COUNT
        with suppress(MarlbendError):
            return open_socket(f'127.{octet}.0.1', _LOCK_PORT)
    raise RuntimeError('no loopback octet is free for a deployment')


async def _start_upstreams(deployment: Deployment, example: str) -> None:
    deployment.spec_by_service.update(load_services(example, deployment.octet))
    for service, spec in deployment.spec_by_service.items():
        path = deployment.processes.write_file(
            f'{service}.json', msgspec.json.encode(spec)
        )
        await start_module(
            deployment.processes,
            f'upstreams-{service}',
            'bench.upstreams',
            ['--service', path],
        )


async def _wait_for_platform(platform: PlatformClient) -> None:
    async with asyncio.timeout(START_TIMEOUT_SECONDS):
        while True:
            try:
                await platform.read(*INSTANCES_PATH)
            except MarlbendError:
                await asyncio.sleep(POLL_SECONDS)
            else:
                return


async def _fetch_status(listed: ListedInstance) -> Status | None:
    try:
        return await call_status(listed.address, listed.admin_port, listed.name)
    except MarlbendError:
        return None
