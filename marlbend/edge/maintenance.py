"""Run periodic maintenance that neither packets nor gossip trigger.

Twice a second it copies the confirmation times and the live members from the
gossip state into the steering state, which therefore has them up to half a
second late.  It also expires idle flows, ends upstreams that stayed missing,
restores failure domains that have returned, and logs new partitions, ejections
and changes of contention.  Now and then it logs what was sent to other
instances.
"""

import asyncio
import itertools
from collections.abc import Callable
from typing import Final

from marlbend.clock import steady_seconds
from marlbend.edge.node import GossipNode
from marlbend.events import Event, emit
from marlbend.observe.control_traffic import Cause, ControlTraffic
from marlbend.steering import Steering
from marlbend.steering.flows import expire_flows
from marlbend.steering.gossip import list_live_members
from marlbend.steering.placement.admission import (
    ServiceAdmission,
    find_limit,
    find_pressure,
)
from marlbend.steering.placement.contention import list_contended
from marlbend.steering.placement.method import keeps_estimates
from marlbend.steering.upstream_expiry import ENDED_SECONDS, expire_upstreams
from marlbend.steering.upstreams import has_missing
from marlbend.steering.upstreams_restored import keep_domain_cold
from marlbend.topics.contents import register_kept_entries
from marlbend.topics.knowledge import Topic

__all__ = (
    'end_missing_upstreams',
    'make_change_logger',
    'restore_domains',
    'run_maintenance',
)

MAINTENANCE_INTERVAL_SECONDS: Final = 0.5
# While upstreams are missing, these are checked this often.
EXPIRY_CHECK_SECONDS: Final = 0.1
CONTROL_LOG_ROUNDS: Final = 20


async def run_maintenance(node: GossipNode) -> None:
    """Run maintenance periodically, until cancelled."""
    steering = node.steering
    gossip = node.gossip
    log_changes = make_change_logger(steering)
    logged_bytes = dict(node.traffic.bytes_by_cause)
    for round_number in itertools.count(1):
        await asyncio.sleep(MAINTENANCE_INTERVAL_SECONDS)
        steering.now = steady_seconds()
        if not round_number % CONTROL_LOG_ROUNDS:
            _log_control_traffic(node.traffic, logged_bytes)
        log_changes()
        _copy_confirmations(node)
        restore_domains(steering)
        if steering.now - node.started_at > ENDED_SECONDS:
            steering.pool.knows_ended = True
        steering.local_instance.live_members = tuple(
            (each.name, each.domain)
            for each in list_live_members(gossip, steering.now)
        )
        expire_flows(steering)
        register_kept_entries(steering)
        _end_missing(steering)


async def end_missing_upstreams(node: GossipNode) -> None:
    """End each upstream soon after it has been missing for too long.

    A round of maintenance takes longer, and may be half a second late.
    """
    steering = node.steering
    while True:
        is_missing = has_missing(steering.pool)
        if is_missing:
            steering.now = steady_seconds()
            _copy_confirmations(node)
            _end_missing(steering)
        await asyncio.sleep(
            EXPIRY_CHECK_SECONDS if is_missing else MAINTENANCE_INTERVAL_SECONDS
        )


def _copy_confirmations(node: GossipNode) -> None:
    steering = node.steering
    gossip = node.gossip
    steering.upstreams_confirmed_at = gossip.confirmed_at_by_topic[
        Topic.UPSTREAMS
    ]
    steering.platform_recovered_at = gossip.recovered_at_by_topic[
        Topic.UPSTREAMS
    ]


def _end_missing(steering: Steering) -> None:
    """End upstreams that stayed missing, and log what this rests on.

    `missing`, `recovered` and `unheard` are how many seconds ago the
    registration went missing, the platform recovered from an outage, and it was
    last heard.
    """
    now = steering.now
    recovered_at = steering.platform_recovered_at
    heard_at = steering.upstreams_confirmed_at
    confirmed = (recovered_at, heard_at)
    for ended in expire_upstreams(steering.pool, now, confirmed):
        emit(
            Event.UPSTREAM_ENDED,
            upstream=ended.name,
            reason='missing',
            missing=round(now - ended.missing_since, 2),
            recovered=round(now - recovered_at, 2) if recovered_at > 0 else -1,
            unheard=round(now - heard_at, 2),
        )


def make_change_logger(steering: Steering) -> Callable[[], None]:
    """Return a function that logs what has changed since its last call."""
    logged_partitions: set[str] = set()
    logged_ejections: dict[str, float] = {}
    logged_contended: set[str] = set()

    def log_changes() -> None:
        _log_partitions(steering, logged_partitions)
        _log_ejections(steering, logged_ejections)
        _log_contention(steering, logged_contended)

    return log_changes


def _log_control_traffic(
    traffic: ControlTraffic, logged_bytes: dict[Cause, int]
) -> None:
    """Log what was sent to other instances since `logged_bytes`."""
    size_by_cause = {
        cause.value: total - logged_bytes[cause]
        for cause, total in traffic.bytes_by_cause.items()
    }
    logged_bytes.update(traffic.bytes_by_cause)
    emit(
        Event.CONTROL_SENT,
        size=sum(size_by_cause.values()),
        seconds=CONTROL_LOG_ROUNDS * MAINTENANCE_INTERVAL_SECONDS,
        **size_by_cause,
    )


def _log_ejections(steering: Steering, logged: dict[str, float]) -> None:
    """Log each ejection of an upstream once.

    `logged` holds the end of the last logged ejection by upstream.
    """
    for upstream in steering.pool.by_name.values():
        until = upstream.outlier_state.ejected_until
        if until > steering.now and logged.get(upstream.name) != until:
            logged[upstream.name] = until
            seconds = round(until - steering.now, 1)
            emit(
                Event.UPSTREAM_EJECTED, upstream=upstream.name, seconds=seconds
            )


def _log_partitions(steering: Steering, logged: set[str]) -> None:
    for domain in logged.symmetric_difference(steering.partition_by_domain):
        event = Event.PARTITION_ENDED
        if domain in steering.partition_by_domain:
            event = Event.PARTITION_DETECTED
        emit(event, domain=domain)
    logged.clear()
    logged.update(steering.partition_by_domain)


def _log_contention(steering: Steering, logged: set[str]) -> None:
    """Log the begin and the end of contention of each service once.

    `logged` holds the services whose contention was logged and has not ended.
    """
    admission = steering.estimates.admission
    contended = set(
        list_contended(admission, steering.now)
        if keeps_estimates(steering)
        else ()
    )
    for service in sorted(logged ^ contended):
        known = admission.by_service.get(service) or ServiceAdmission()
        limit = find_limit(admission, service, 0, steering.now)
        emit(
            Event.CONTENTION_STARTED
            if service in contended
            else Event.CONTENTION_ENDED,
            service=service,
            pressure=round(find_pressure(known, steering.now), 2),
            limit=round(limit, 3),
        )
    logged.clear()
    logged.update(contended)


def restore_domains(steering: Steering) -> None:
    """Restore each domain whose return is older than the list of upstreams.

    Upstreams may have become cold while their domain was out, so the list of
    upstreams must have been confirmed at the time of its return or later.
    """
    for domain, returned_at in tuple(steering.domains_out.items()):
        if steering.upstreams_confirmed_at >= returned_at:
            steering.domains_out.pop(domain)
            keep_domain_cold(steering.pool, domain)
            emit(Event.DOMAIN_STATE_CHANGED, domain=domain, state='in')
