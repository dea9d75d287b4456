"""Define placement strategies to compare with the one of the daemon."""

import zlib
from types import MappingProxyType
from typing import Final

import msgspec

from bench.placing import (
    DOMAINS,
    HEARTBEAT_SECONDS,
    SERVICE,
    PlacementStrategy,
    PlacingFigures,
    Simulation,
    replay_arrivals,
)
from marlbend.steering import Upstream
from marlbend.steering.placement.choice import choose_upstream
from marlbend.steering.reports import PeerReport, add_report

__all__ = ('PlacingReport', 'run_placing')

# The daemon sends each heartbeat to this many peers of its domain.
PEER_COUNT: Final = 3
# Heartbeats at this interval carry outdated load.
STALE_HEARTBEAT_SECONDS: Final = 2.0


class PlacingReport(msgspec.Struct, frozen=True):
    """Report the results of every strategy, by name, for the same arrivals."""

    seed: int
    by_way: dict[str, PlacingFigures]


async def run_placing(seed: int) -> PlacingReport:
    """Replay the arrivals of a seed under every strategy."""
    return PlacingReport(
        seed,
        {
            name: replay_arrivals(seed, strategy)
            for name, strategy in _STRATEGY_BY_NAME.items()
        },
    )


def _choose_by_reports(
    simulation: Simulation, instance: int
) -> Upstream | None:
    """Choose as the daemon does, by its own flows and the peers' reports."""
    return choose_upstream(simulation.instances[instance], SERVICE, [])


def _choose_less_busy_of_two(
    simulation: Simulation, instance: int
) -> Upstream | None:
    """Choose the less busy of two random local upstreams.

    Only the instance's own requests count as busy.
    """
    steering = simulation.instances[instance]
    local_upstreams = [
        each
        for each in steering.pool.by_name.values()
        if each.entry.domain == steering.local_instance.domain
    ]
    first, second = simulation.random.sample(local_upstreams, 2)
    return min(first, second, key=lambda each: each.busy)


def _choose_by_hash(simulation: Simulation, instance: int) -> Upstream | None:
    """Choose by a hash of the time and the instance, regardless of load."""
    names = tuple(simulation.upstream_by_name)
    pool = simulation.instances[instance].pool
    number = zlib.crc32(f'{simulation.now} {instance}'.encode())
    chosen = names[number % len(names)]
    return pool.by_name[chosen]


def _choose_centrally(simulation: Simulation, instance: int) -> Upstream | None:
    """Let the first instance of the domain choose for all of its instances.

    It receives the heartbeats of all others.  Between two heartbeats, it counts
    the flows that it placed itself.
    """
    domain = simulation.instances[instance].local_instance.domain
    central_instance = simulation.instances[DOMAINS.index(domain)]
    central_instance.now = simulation.now
    upstream = choose_upstream(central_instance, SERVICE, [])
    if upstream is not None:
        # The flows placed since the last heartbeat are stored like the report
        # of another peer.
        report = upstream.reports.by_member.get('placed')
        is_fresh = (
            report is not None
            and simulation.now - report.received_at < HEARTBEAT_SECONDS
        )
        placed = report.busy if report is not None and is_fresh else 0
        report = PeerReport(simulation.now, placed + 1)
        add_report(upstream.reports, 'placed', report)
    return upstream


_STRATEGY_BY_NAME: Final = MappingProxyType(
    {
        'hash': PlacementStrategy(_choose_by_hash),
        'two_choices': PlacementStrategy(_choose_less_busy_of_two),
        # Without heartbeats, an instance knows only its own flows.
        'own_view': PlacementStrategy(_choose_by_reports),
        'told_by_some': PlacementStrategy(_choose_by_reports, PEER_COUNT),
        'told_by_all': PlacementStrategy(_choose_by_reports, -1),
        'told_late': PlacementStrategy(
            _choose_by_reports, -1, STALE_HEARTBEAT_SECONDS
        ),
        # One instance of each domain chooses for all.
        'placer': PlacementStrategy(_choose_centrally, -1),
    }
)
