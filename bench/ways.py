"""Choose upstreams in several ways, to compare them with the daemon's."""

import zlib
from types import MappingProxyType
from typing import Final

import msgspec

from bench.placing import (
    BEAT_SECONDS,
    DOMAINS,
    SERVICE,
    Field,
    PlacingFigures,
    Way,
    replay_arrivals,
)
from marlbend.steering import Upstream
from marlbend.steering.choice import choose_upstream
from marlbend.steering.upstreams import PeerReport

__all__ = ('PlacingReport', 'run_placing')

# As many as the daemon tells, and beats that come late.
NEAR_TARGETS: Final = 3
STALE_BEAT_SECONDS: Final = 2.0


class PlacingReport(msgspec.Struct, frozen=True):
    """Give the figures of every way, for the same arrivals."""

    seed: int
    by_way: dict[str, PlacingFigures]


async def run_placing(seed: int) -> PlacingReport:
    """Replay the arrivals of a seed in every way."""
    return PlacingReport(
        seed, {name: replay_arrivals(seed, way) for name, way in _WAYS.items()}
    )


def _choose_by_view(field: Field, instance: int) -> Upstream | None:
    """Choose as the daemon does, by what the instance saw and was told."""
    return choose_upstream(field.steerings[instance], SERVICE, [])


def _choose_of_two(field: Field, instance: int) -> Upstream | None:
    """Choose the less busy of two of the own domain, by the own view."""
    steering = field.steerings[instance]
    near = [
        each
        for each in steering.pool.by_name.values()
        if each.entry.domain == steering.local_instance.domain
    ]
    first, second = field.random.sample(near, 2)
    return min(first, second, key=lambda each: each.busy)


def _choose_by_hash(field: Field, instance: int) -> Upstream | None:
    """Choose without looking at load."""
    names = tuple(field.server_by_name)
    pool = field.steerings[instance].pool
    number = zlib.crc32(f'{field.now} {instance}'.encode())
    chosen = names[number % len(names)]
    return pool.by_name[chosen]


def _choose_by_placer(field: Field, instance: int) -> Upstream | None:
    """Let the first instance of the domain choose, which hears all others.

    It counts what it has placed since they told it last.
    """
    domain = field.steerings[instance].local_instance.domain
    placer = field.steerings[DOMAINS.index(domain)]
    placer.now = field.now
    upstream = choose_upstream(placer, SERVICE, [])
    if upstream is not None:
        told = upstream.report_by_member
        known = told.get('placed')
        fresh = (
            known is not None and field.now - known.received_at < BEAT_SECONDS
        )
        placed = known.busy if known is not None and fresh else 0
        told['placed'] = PeerReport(field.now, placed + 1)
    return upstream


_WAYS: Final = MappingProxyType(
    {
        'hash': Way(_choose_by_hash),
        'two_choices': Way(_choose_of_two),
        'own_view': Way(_choose_by_view),
        'told_by_some': Way(_choose_by_view, NEAR_TARGETS),
        'told_by_all': Way(_choose_by_view, -1),
        'told_late': Way(_choose_by_view, -1, STALE_BEAT_SECONDS),
        'placer': Way(_choose_by_placer, -1),
    }
)
