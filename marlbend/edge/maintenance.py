"""Do twice a second what no packet and no news brings about.

Idle flows are forgotten, upstreams that stayed missing have ended, domains that
were taken back are used again, and what changed is logged once.
"""

import asyncio
from typing import Final

from marlbend.clock import steady_seconds
from marlbend.events import Event, emit
from marlbend.steering import Steering
from marlbend.steering.flows import expire_flows
from marlbend.steering.gossip import GossipState, Topic, list_live_members
from marlbend.steering.upstreams import expire_upstreams

__all__ = ('end_returns', 'sweep')

SWEEP_SECONDS: Final = 0.5


async def sweep(steering: Steering, gossip: GossipState) -> None:
    """Do what only time brings about, until cancelled."""
    cut: set[str] = set()
    avoided: dict[str, float] = {}
    while True:
        await asyncio.sleep(SWEEP_SECONDS)
        steering.now = steady_seconds()
        _tell_partitions(steering, cut)
        _tell_avoided(steering, avoided)
        steering.upstreams_confirmed_at = gossip.confirmed_at_by_topic[
            Topic.UPSTREAMS
        ]
        steering.platform_recovered_at = gossip.recovered_at_by_topic[
            Topic.UPSTREAMS
        ]
        end_returns(steering)
        steering.local_instance.peers = tuple(
            (each.name, each.domain)
            for each in list_live_members(gossip, steering.now)
        )
        expire_flows(steering)
        confirmed = (
            steering.platform_recovered_at,
            steering.upstreams_confirmed_at,
        )
        for ended in expire_upstreams(steering.pool, steering.now, confirmed):
            emit(Event.UPSTREAM_ENDED, upstream=ended.name, reason='missing')


def _tell_avoided(steering: Steering, told: dict[str, float]) -> None:
    """Log each pause of an upstream once; `told` holds when each ends."""
    for known in steering.pool.by_name.values():
        until = known.outlier_state.ejected_until
        if until > steering.now and told.get(known.name) != until:
            told[known.name] = until
            seconds = round(until - steering.now, 1)
            emit(Event.UPSTREAM_AVOIDED, upstream=known.name, seconds=seconds)


def _tell_partitions(steering: Steering, told: set[str]) -> None:
    for domain in told.symmetric_difference(steering.partition_by_domain):
        event = Event.PARTITION_OVER
        if domain in steering.partition_by_domain:
            event = Event.PARTITION_SEEN
        emit(event, domain=domain)
    told.clear()
    told.update(steering.partition_by_domain)


def end_returns(steering: Steering) -> None:
    """Use domains again whose upstreams are known as of their return."""
    for domain, since in tuple(steering.domains_out.items()):
        if steering.upstreams_confirmed_at >= since:
            steering.domains_out.pop(domain)
            emit(Event.DOMAIN_MOVED, domain=domain, state='in')
