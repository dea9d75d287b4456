"""Time the operations whose cost grows with the size of a deployment.

These are joins, configuration changes, upstream choices, and scans of flows.
"""

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

__all__ = ('DecisionTimings', 'measure_decisions')

# Members and hash slots of a failure domain.
DOMAIN_SIZES: Final = ((8, 1024), (32, 4096), (128, 4096), (128, 16_384))
SERVICE_COUNTS: Final = (10, 100, 1000)
UPSTREAM_COUNTS: Final = (7, 28, 112)
UPSTREAMS_PER_SERVICE: Final = 7
DOMAIN_NAMES: Final = ('a', 'b', 'c')
OCTET_VALUES: Final = 256
MAX_CONNECTIONS: Final = 2000
FLOW_COUNT: Final = 20_000
CHOICE_COUNT: Final = 2000
# Equal to `DIGEST_BITS` of `marlbend.ownership.packets.header`.
DIGEST_BITS: Final = 60
MICROSECONDS_PER_SECOND: Final = 1_000_000.0
MILLISECONDS_PER_SECOND: Final = 1000.0


class MembershipTiming(msgspec.Struct, frozen=True):
    """Report the time of a join and of a departure in one failure domain."""

    members: int
    slots: int
    join_ms: float
    departure_ms: float


class ConfigTiming(msgspec.Struct, frozen=True):
    """Report the time and memory to apply a configuration.

    `first_ms` is the time if all services are new, `change_ms` if one of them
    changed, and `decode_ms` the time to decode the document, whose size is
    `bytes`.  `resident_bytes` is the memory that the document and the applied
    configuration take.
    """

    services: int
    bytes: int
    decode_ms: float
    first_ms: float
    change_ms: float
    resident_bytes: int


class ChoiceTiming(msgspec.Struct, frozen=True):
    """Report the time to choose the upstream of a new flow."""

    upstreams: int
    choice_us: float


class DecisionTimings(msgspec.Struct, frozen=True):
    """Report all timings.

    `scan_us_per_flow` is the time to check whether a flow has a new owner, and
    `sweep_us_per_flow` the time to check whether it has timed out.
    """

    views: tuple[MembershipTiming, ...]
    configs: tuple[ConfigTiming, ...]
    choices: tuple[ChoiceTiming, ...]
    scan_us_per_flow: float
    sweep_us_per_flow: float


def measure_decisions(seed: int) -> DecisionTimings:
    """Time the operations at several sizes of a deployment."""
    random = Random(seed)
    return DecisionTimings(
        views=tuple(_time_membership_changes(*size) for size in DOMAIN_SIZES),
        configs=tuple(map(_time_config, SERVICE_COUNTS)),
        choices=tuple(_time_choice(count, random) for count in UPSTREAM_COUNTS),
        scan_us_per_flow=_time_owner_scan(random),
        sweep_us_per_flow=_time_expiry_sweep(random),
    )


def _time_call(operation: Callable[[], object]) -> float:
    started_at = time.perf_counter()
    operation()
    return time.perf_counter() - started_at


def _time_membership_changes(members: int, slots: int) -> MembershipTiming:
    table = HashSlotTable(slots)
    for number in range(members):
        add_member(table, _make_member(f'i{number}'), 0)
    joiner = _make_member('joiner')
    join_seconds = _time_call(lambda: add_member(table, joiner, 0))
    departure_seconds = _time_call(lambda: remove_member(table, joiner.name, 0))
    return MembershipTiming(
        members,
        slots,
        join_seconds * MILLISECONDS_PER_SECOND,
        departure_seconds * MILLISECONDS_PER_SECOND,
    )


def _make_member(name: str) -> Member:
    return Member(name, '10.0.0.1', 'a', 1, 2, 3, 4)


def _time_config(services: int) -> ConfigTiming:
    encoded = _encode_services(services)
    bytes_before = resident_bytes()
    decode_seconds = _time_call(
        lambda: msgspec.json.decode(encoded, type=Configuration)
    )
    document = msgspec.json.decode(encoded, type=Configuration)
    active = ActiveConfig()
    first_seconds = _time_call(
        lambda: apply_configuration(active, 1, document, 0)
    )
    growth_bytes = resident_bytes() - bytes_before
    change_seconds = _time_call(
        lambda: apply_configuration(
            active, 2, _empty_first_service(document), 0
        )
    )
    return ConfigTiming(
        services=services,
        bytes=len(encoded),
        decode_ms=decode_seconds * MILLISECONDS_PER_SECOND,
        first_ms=first_seconds * MILLISECONDS_PER_SECOND,
        change_ms=change_seconds * MILLISECONDS_PER_SECOND,
        resident_bytes=growth_bytes,
    )


def _encode_services(services: int) -> bytes:
    specs = tuple(map(_make_service, range(services)))
    return msgspec.json.encode(Configuration(specs))


def _empty_first_service(document: Configuration) -> Configuration:
    """Return the configuration without the upstreams of its first service."""
    first_service, *others = document.services
    without_upstreams = msgspec.structs.replace(first_service, upstreams=())
    return Configuration((without_upstreams, *others))


def _make_service(number: int) -> ServiceSpec:
    high, low = divmod(number, OCTET_VALUES)
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
                connections=MAX_CONNECTIONS,
            )
            for host in range(UPSTREAMS_PER_SERVICE)
        ),
    )


def _time_choice(count: int, random: Random) -> ChoiceTiming:
    upstreams = _make_upstreams(count)
    digests = [random.getrandbits(DIGEST_BITS) for _ in range(CHOICE_COUNT)]

    # The loads differ, so that a choice may prefer another upstream than the
    # default.
    def load_of(upstream: Upstream) -> float:
        return upstream.number

    def choose_all() -> None:
        for digest in digests:
            choose_upstream(digest, upstreams, load_of)

    return ChoiceTiming(
        count, _time_call(choose_all) * MICROSECONDS_PER_SECOND / CHOICE_COUNT
    )


def _make_upstreams(count: int) -> list[Upstream]:
    upstreams = []
    for number in range(1, count + 1):
        upstream = Upstream(number, 's0', (f'10.0.0.{number}', 6080))
        upstream.connections = MAX_CONNECTIONS
        upstreams.append(upstream)
    return upstreams


def _fill_table(active: ActiveConfig, random: Random) -> FlowTable:
    table = FlowTable(FLOW_COUNT)
    numbers = sorted(active.pool.by_number)
    for _ in range(FLOW_COUNT):
        digest = random.getrandbits(DIGEST_BITS)
        number = random.choice(numbers)
        record_flow(table, digest, number, ESTABLISHED, 1)
    return table


def _time_owner_scan(random: Random) -> float:
    """Time the scan for flows with a new owner, without the owner lookups."""
    active = ActiveConfig()
    apply_configuration(active, 1, Configuration((_make_service(0),)), 0)
    table = _fill_table(active, random)

    def scan_shards() -> None:
        for shard in range(SHARD_COUNT):
            group_by_owner(active, table, shard, lambda service, digest: None)

    return _time_call(scan_shards) * MICROSECONDS_PER_SECOND / FLOW_COUNT


def _time_expiry_sweep(random: Random) -> float:
    active = ActiveConfig()
    apply_configuration(active, 1, Configuration((_make_service(0),)), 0)
    table = _fill_table(active, random)
    timeouts = Timeouts(10, 100, 10)

    def sweep_shards() -> None:
        for shard in range(SHARD_COUNT):
            sweep_shard(table, shard, 2, timeouts)

    return _time_call(sweep_shards) * MICROSECONDS_PER_SECOND / FLOW_COUNT
