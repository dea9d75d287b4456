"""Set a whole deployment up on loopback: the scene of a measurement.

The second octet of every address follows from the seed, so that a run can be
repeated, and is the next free one when another measurement holds it.
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
    end_process,
    kill_all,
    start_instance,
    start_module,
)
from bench.segments import Endpoint
from bench.upstreams import UpstreamCounts
from marlbend.config import Configuration, ServiceSpec
from marlbend.config.publish import publish_configuration
from marlbend.errors import MarlbendError
from marlbend.homes.daemon.wiring import HASH_SLOT_COUNT
from marlbend.homes.instances import INSTANCES_PATH, ListedInstance
from marlbend.homes.wire.messages import Status
from marlbend.homes.wire.rpc import call_status
from marlbend.platform.client import Platform
from marlbend.sockets import open_socket

__all__ = ('Deployment', 'open_stage')

EXAMPLES: Final = pathlib.Path(__file__).parent.parent / 'examples'
PLATFORM_PORT: Final = 6090
FABRIC_PORT: Final = 6080
RELAY_PORT: Final = 6081
CONTROL_PORT: Final = 6082
ADMIN_PORT: Final = 6083
CALLER_HOSTS: Final = 4
START_SECONDS: Final = 20
POLL_SECONDS: Final = 0.05

_FIRST_OCTET: Final = 30
_OCTETS: Final = 200
_LOCK_PORT: Final = 6099


@final
class Deployment:
    """Hold everything that runs around one measurement.

    `listed_by_name` is the platform's list of instances; the fabric is told
    separately, as it lags behind.
    """

    __slots__ = (
        'callers',
        'limits',
        'listed_by_name',
        'lock',
        'octet',
        'platform',
        'processes',
        'publications',
        'slot_count',
        'specs',
        'started',
    )

    def __init__(self, seed: int) -> None:
        """Prepare; nothing runs yet."""
        self.lock = _claim_octet(seed)
        self.octet = socket.inet_aton(self.lock.getsockname()[0])[1]
        self.processes = Processes()
        self.callers = Callers(Fabric((), Random(seed)))
        self.platform = Platform(f'http://{self.address(0, 1)}:{PLATFORM_PORT}')
        self.listed_by_name: dict[str, ListedInstance] = {}
        self.specs: dict[str, ServiceSpec] = {}
        self.publications = 0
        self.limits: dict[str, int] = {}
        self.started = 0
        self.slot_count = HASH_SLOT_COUNT

    def address(self, net: int, host: int) -> str:
        """Return an address of this stage."""
        return f'127.{self.octet}.{net}.{host}'

    def endpoint(self, service: str) -> Endpoint:
        """Return where callers reach a service."""
        spec = self.specs[service]
        return spec.addresses[0], spec.ports[0]


@asynccontextmanager
async def open_stage(
    example: str,
    instances: int,
    seed: int,
) -> AsyncIterator[Deployment]:
    """Start platform, upstreams, instances and callers of a deployment."""
    async with open_platform(seed) as deployment:
        await _start_upstreams(deployment, example)
        hosts = [
            deployment.address(3, host + 1) for host in range(CALLER_HOSTS)
        ]
        open_hosts(deployment.callers, hosts)
        await start_instances(deployment, instances)
        yield deployment


@asynccontextmanager
async def open_platform(seed: int) -> AsyncIterator[Deployment]:
    """Start only the platform."""
    deployment = Deployment(seed)
    async with AsyncExitStack() as stack:
        stack.callback(deployment.lock.close)
        stack.callback(close_hosts, deployment.callers)
        stack.push_async_callback(kill_all, deployment.processes)
        await start_module(
            deployment.processes,
            'platform',
            'bench.platform',
            [
                '--address',
                deployment.address(0, 1),
                '--port',
                str(PLATFORM_PORT),
            ],
        )
        await _wait_for_platform(deployment.platform)
        yield deployment


async def start_instances(deployment: Deployment, instances: int) -> None:
    """Start instances, spread over the domains, and wait for them."""
    domains = sorted(
        {
            upstream.domain
            for spec in deployment.specs.values()
            for upstream in spec.upstreams
        }
    )
    for number in range(instances):
        await add_instance(deployment, domains[number % len(domains)])
    await write_instances(deployment)
    await publish(deployment)
    await wait_until_serving(deployment)


async def add_instance(deployment: Deployment, domain: str) -> str:
    """Start one more instance and return its name."""
    deployment.started += 1
    number = deployment.started
    name = f'i{number}'
    listed = ListedInstance(
        name=name,
        address=deployment.address(1, number),
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


async def write_instances(deployment: Deployment) -> None:
    """Let the platform list the instances as they should be known."""
    stored = await deployment.platform.read(*INSTANCES_PATH)
    body = msgspec.json.encode(
        {'instances': list(deployment.listed_by_name.values())}
    )
    await deployment.platform.write(*INSTANCES_PATH, body, stored.version)


async def publish(deployment: Deployment) -> int:
    """Publish the services of the stage and return the version."""
    deployment.publications += 1
    return await publish_configuration(
        deployment.platform,
        Configuration(tuple(deployment.specs.values())),
        f'stage-{deployment.publications}',
    )


async def ask_statuses(deployment: Deployment) -> dict[str, Status]:
    """Return the status of each instance that answers."""
    statuses = await asyncio.gather(
        *(_ask_status(listed) for listed in deployment.listed_by_name.values())
    )
    return {status.name: status for status in statuses if status is not None}


async def wait_until_serving(deployment: Deployment) -> None:
    """Wait until all instances serve and see each other; tell the fabric."""
    async with asyncio.timeout(START_SECONDS):
        for name in deployment.listed_by_name:
            await wait_until_home(deployment, name)


async def wait_until_home(deployment: Deployment, name: str) -> None:
    """Wait until all instances know an instance as a home; tell the fabric."""
    async with asyncio.timeout(START_SECONDS):
        while not await _is_home_everywhere(deployment, name):
            await asyncio.sleep(POLL_SECONDS)
    tell_fabric(deployment, tuple(deployment.listed_by_name))


async def _is_home_everywhere(deployment: Deployment, name: str) -> bool:
    statuses = await ask_statuses(deployment)
    shares = [
        member.home_share
        for status in statuses.values()
        for member in status.members
        if member.name == name
    ]
    return len(shares) == len(statuses) and min(shares, default=0) > 0


async def wait_in_force(deployment: Deployment, version: int) -> None:
    """Wait until a configuration is in force at every instance."""
    async with asyncio.timeout(START_SECONDS):
        while True:
            statuses = await ask_statuses(deployment)
            lowest = min(status.config_version for status in statuses.values())
            if lowest >= version:
                return
            await asyncio.sleep(POLL_SECONDS)


def tell_fabric(deployment: Deployment, names: Sequence[str]) -> None:
    """Let the fabric spray over the instances named."""
    deployment.callers.fabric.instances = [
        (deployment.listed_by_name[name].address, FABRIC_PORT) for name in names
    ]


async def end_upstreams(deployment: Deployment) -> dict[str, UpstreamCounts]:
    """Stop the upstreams and return what they counted, by name."""
    counts: dict[str, UpstreamCounts] = {}
    for service in deployment.specs:
        printed = await end_process(
            deployment.processes, f'upstreams-{service}'
        )
        counts.update(
            msgspec.json.decode(printed, type=dict[str, UpstreamCounts])
        )
    return counts


def load_deployment(name: str, octet: int) -> Mapping[str, ServiceSpec]:
    """Read the service files of a deployment, moved to other addresses."""
    specs: dict[str, ServiceSpec] = {}
    for path in sorted((EXAMPLES / name).glob('*.json')):
        if path.name != 'settings.json':
            text = path.read_text().replace('"127.20.', f'"127.{octet}.2')
            spec = msgspec.json.decode(text, type=ServiceSpec)
            specs[spec.service] = spec
    return specs


def _claim_octet(seed: int) -> socket.socket:
    """Return a socket that holds the first free octet from the seed on."""
    for offset in range(_OCTETS):
        octet = _FIRST_OCTET + (seed + offset) % _OCTETS
        with suppress(MarlbendError):
            return open_socket(f'127.{octet}.0.1', _LOCK_PORT)
    raise RuntimeError('every octet is taken')


async def _start_upstreams(deployment: Deployment, example: str) -> None:
    deployment.specs.update(load_deployment(example, deployment.octet))
    for service, spec in deployment.specs.items():
        path = deployment.processes.write_file(
            f'{service}.json', msgspec.json.encode(spec)
        )
        await start_module(
            deployment.processes,
            f'upstreams-{service}',
            'bench.upstreams',
            ['--service', path],
        )


async def _wait_for_platform(platform: Platform) -> None:
    async with asyncio.timeout(START_SECONDS):
        while True:
            try:
                await platform.read(*INSTANCES_PATH)
            except MarlbendError:
                await asyncio.sleep(POLL_SECONDS)
            else:
                return


async def _ask_status(listed: ListedInstance) -> Status | None:
    try:
        return await call_status(listed.address, listed.admin_port, listed.name)
    except MarlbendError:
        return None
