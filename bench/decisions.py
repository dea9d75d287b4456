"""Time the decisions whose cost grows with the size of the deployment."""

import time
from collections.abc import Callable
from random import Random
from typing import Final

import msgspec

from marlbend.config import (
    Configuration,
    ServiceSpec,
    UpstreamSpec,
)
from marlbend.observe.memory import resident_bytes
from marlbend.ownership.active import ActiveConfig, apply_configuration
from marlbend.ownership.flows import FlowTable, choose_upstream
from marlbend.ownership.flows.handover import group_by_owner
from marlbend.ownership.flows.table import (
    ESTABLISHED,
    SHARD_COUNT,
    Timeouts,
    record_flow,
    sweep_shard,
)
from marlbend.ownership.members import Member
from marlbend.ownership.members.hash_slots import (
    HashSlotTable,
    add_member,
    remove_member,
)
from marlbend.ownership.upstreams import Upstream

__all__ = ('DecisionSlopes', 'measure_decisions')

# Members and slots of a failure domain.
DOMAIN_SIZES: Final = ((8, 1024), (32, 4096), (128, 4096), (128, 16_384))
SERVICE_COUNTS: Final = (10, 100, 1000)
UPSTREAM_COUNTS: Final = (7, 28, 112)
UPSTREAMS_A_SERVICE: Final = 7
DOMAIN_NAMES: Final = ('a', 'b', 'c')
OCTETS: Final = 256
CONNECTIONS: Final = 2000
FLOWS: Final = 20_000
CHOICES: Final = 2000
DIGEST_BITS: Final = 60
MICROSECONDS: Final = 1_000_000.0
MILLISECONDS: Final = 1000.0


class ViewSlope(msgspec.Struct, frozen=True):
    """Give the time of a join and of a departure in one failure domain."""

    members: int
    slots: int
    join_ms: float
    departure_ms: float


class ConfigSlope(msgspec.Struct, frozen=True):
    """Give the time to put a configuration in force.

    `first_ms` is for all services new, `change_ms` for one of them changed,
    `decode_ms` for decoding the document, of `bytes` bytes; `resident_bytes`
    is what holding it takes.
    """

    services: int
    bytes: int
    decode_ms: float
    first_ms: float
    change_ms: float
    resident_bytes: int


class ChoiceSlope(msgspec.Struct, frozen=True):
    """Give the time to choose the upstream of a new flow."""

    upstreams: int
    choice_us: float


class DecisionSlopes(msgspec.Struct, frozen=True):
    """Hold all of them; scan and sweep are microseconds a flow."""

    views: tuple[ViewSlope, ...]
    configs: tuple[ConfigSlope, ...]
    choices: tuple[ChoiceSlope, ...]
    scan_us_per_flow: float
    sweep_us_per_flow: float


def measure_decisions(seed: int) -> DecisionSlopes:
    """Time every decision at several sizes."""
    random = Random(seed)
    return DecisionSlopes(
        views=tuple(_time_view(*size) for size in DOMAIN_SIZES),
        configs=tuple(map(_time_config, SERVICE_COUNTS)),
        choices=tuple(_time_choice(count, random) for count in UPSTREAM_COUNTS),
        scan_us_per_flow=_time_scan(random),
        sweep_us_per_flow=_time_sweep(random),
    )


def _elapsed(work: Callable[[], object]) -> float:
    started = time.perf_counter()
    work()
    return time.perf_counter() - started


def _time_view(members: int, slots: int) -> ViewSlope:
    table = HashSlotTable(slots)
    for number in range(members):
        add_member(table, _make_member(f'i{number}'), 0)
    joiner = _make_member('joiner')
    join = _elapsed(lambda: add_member(table, joiner, 0))
    departure = _elapsed(lambda: remove_member(table, joiner.name, 0))
    return ViewSlope(
        members, slots, join * MILLISECONDS, departure * MILLISECONDS
    )


def _make_member(name: str) -> Member:
    return Member(name, '10.0.0.1', 'a', 1, 2, 3, 4)


def _time_config(services: int) -> ConfigSlope:
    encoded = _encode_services(services)
    before = resident_bytes()
    decode = _elapsed(lambda: msgspec.json.decode(encoded, type=Configuration))
    document = msgspec.json.decode(encoded, type=Configuration)
    active = ActiveConfig()
    first = _elapsed(lambda: apply_configuration(active, 1, document, 0))
    held = resident_bytes() - before
    change = _elapsed(
        lambda: apply_configuration(active, 2, _change_first(document), 0)
    )
    return ConfigSlope(
        services=services,
        bytes=len(encoded),
        decode_ms=decode * MILLISECONDS,
        first_ms=first * MILLISECONDS,
        change_ms=change * MILLISECONDS,
        resident_bytes=held,
    )


def _encode_services(services: int) -> bytes:
    made = tuple(map(_make_service, range(services)))
    return msgspec.json.encode(Configuration(made))


def _change_first(document: Configuration) -> Configuration:
    """Return a configuration in which one service has no upstream left."""
    first, *others = document.services
    emptied = msgspec.structs.replace(first, upstreams=())
    return Configuration((emptied, *others))


def _make_service(number: int) -> ServiceSpec:
    high, low = divmod(number, OCTETS)
    net = f'{high}.{low}'
    return ServiceSpec(
        service=f's{number}',
        addresses=(f'10.{net}.1',),
        ports=(443,),
        refusal='silence',
        upstreams=tuple(
            UpstreamSpec(
                name=f's{number}-{host}',
                address=f'11.{net}.{host}',
                domain=DOMAIN_NAMES[host % len(DOMAIN_NAMES)],
                slots=4,
                connections=CONNECTIONS,
            )
            for host in range(UPSTREAMS_A_SERVICE)
        ),
    )


def _time_choice(count: int, random: Random) -> ChoiceSlope:
    upstreams = _make_upstreams(count)
    digests = [random.getrandbits(DIGEST_BITS) for _ in range(CHOICES)]

    def load_of(upstream: Upstream) -> float:
        return upstream.number

    def choose_all() -> None:
        for digest in digests:
            choose_upstream(digest, upstreams, load_of)

    return ChoiceSlope(count, _elapsed(choose_all) * MICROSECONDS / CHOICES)


def _make_upstreams(count: int) -> list[Upstream]:
    upstreams = []
    for number in range(1, count + 1):
        upstream = Upstream(number, 's0', (f'10.0.0.{number}', 6080))
        upstream.connections = CONNECTIONS
        upstreams.append(upstream)
    return upstreams


def _fill_table(active: ActiveConfig, random: Random) -> FlowTable:
    table = FlowTable(FLOWS)
    numbers = sorted(active.pool.by_number)
    for _ in range(FLOWS):
        digest = random.getrandbits(DIGEST_BITS)
        number = random.choice(numbers)
        record_flow(table, digest, number, ESTABLISHED, 1)
    return table


def _time_scan(random: Random) -> float:
    """Time the search for flows with a new home, without their homes."""
    active = ActiveConfig()
    apply_configuration(active, 1, Configuration((_make_service(0),)), 0)
    table = _fill_table(active, random)

    def scan_all() -> None:
        for shard in range(SHARD_COUNT):
            group_by_owner(active, table, shard, lambda service, digest: None)

    return _elapsed(scan_all) * MICROSECONDS / FLOWS


def _time_sweep(random: Random) -> float:
    active = ActiveConfig()
    apply_configuration(active, 1, Configuration((_make_service(0),)), 0)
    table = _fill_table(active, random)
    timeouts = Timeouts(10, 100, 10)

    def sweep_all() -> None:
        for shard in range(SHARD_COUNT):
            sweep_shard(table, shard, 2, timeouts)

    return _elapsed(sweep_all) * MICROSECONDS / FLOWS
