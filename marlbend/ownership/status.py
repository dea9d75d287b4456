"""Report the status of an instance to the command-line tool."""

import time
from collections import Counter
from collections.abc import Iterator
from typing import Final

from marlbend import VERSION
from marlbend.observe.memory import resident_bytes
from marlbend.observe.metrics import processor_seconds
from marlbend.ownership.daemon.state import Instance
from marlbend.ownership.flows.replicas import count_replicas
from marlbend.ownership.flows.table import (
    CLOSING,
    ESTABLISHED,
    HALF_OPEN,
    is_override,
)
from marlbend.ownership.members import MembershipView
from marlbend.ownership.packets import Outcome, PacketPath
from marlbend.ownership.wire.messages import MemberStatus, Status

__all__ = ('describe_instance',)

MEDIAN_PERCENTILE: Final = 50
TAIL_PERCENTILE: Final = 99


def describe_instance(instance: Instance) -> Status:
    """Return the current status of an instance."""
    path = instance.path
    metrics = instance.metrics
    phases = path.table.count_by_phase
    return Status(
        name=path.view.myself.name,
        domain=path.view.myself.domain,
        program_version=VERSION,
        state=str(instance.lifecycle.state),
        config_version=path.active.version,
        config_age_seconds=time.monotonic() - instance.config_applied_at,
        view_version=path.view.version,
        members=tuple(_describe_members(path.view)),
        packets=_count_packets(path),
        relay_share=_relay_share(path),
        decision_p50_us=metrics.decision_us(MEDIAN_PERCENTILE),
        decision_p99_us=metrics.decision_us(TAIL_PERCENTILE),
        open_flows=phases[ESTABLISHED],
        half_open_flows=phases[HALF_OPEN],
        closing_flows=phases[CLOSING],
        flows_taken=path.table.received_flows,
        departing_flows=_count_overrides(path),
        replicas=count_replicas(instance.replicas),
        flows_by_upstream=_count_flows(path),
        control_bytes_sent=metrics.control_bytes_sent,
        control_bytes_received=metrics.control_bytes_received,
        control_malformed=metrics.control_malformed,
        control_foreign=metrics.control_foreign,
        control_seconds=metrics.control_seconds,
        processor_seconds=processor_seconds(),
        resident_bytes=resident_bytes(),
    )


def _describe_members(view: MembershipView) -> Iterator[MemberStatus]:
    hash_slot_counts = Counter(
        owner.name
        for table in view.hash_slots_by_domain.values()
        for owner in table.owners
        if owner is not None
    )
    for name in sorted(view.member_by_name):
        member = view.member_by_name[name]
        yield MemberStatus(
            name=name,
            domain=member.domain,
            state=member.state.name.lower(),
            home_share=hash_slot_counts[name] / view.hash_slot_count,
        )


def _count_packets(path: PacketPath) -> dict[str, int]:
    return {
        outcome.name.lower(): path.counts[outcome]
        for outcome in Outcome
        if path.counts[outcome]
    }


def _relay_share(path: PacketPath) -> float:
    relayed = path.counts[Outcome.RELAYED]
    handled = relayed + path.counts[Outcome.FORWARDED]
    return relayed / handled if handled else 0


def _count_overrides(path: PacketPath) -> int:
    return sum(
        is_override(entry)
        for shard in path.table.shards
        for entry in shard.values()
    )


def _count_flows(path: PacketPath) -> dict[str, int]:
    counts = {}
    for number, flows in path.table.open_by_number.items():
        upstream = path.active.pool.by_number[number]
        address, port = upstream.tunnel
        counts[f'{upstream.service}/{address}:{port}'] = flows
    return counts
