"""Define the gRPC messages between instances, and for the tool.

They are encoded with MessagePack by `msgspec`.  gRPC is used for large messages
and for requests of the tool; the failure detector uses datagrams.
"""

import msgspec

from marlbend.config import Configuration
from marlbend.ownership.members.member import Member
from marlbend.ownership.wire.flows import FlowGroup

__all__ = (
    'Handover',
    'HandoverReply',
    'MemberStatus',
    'Snapshot',
    'SnapshotRequest',
    'Status',
    'StatusRequest',
)


class StatusRequest(msgspec.Struct, frozen=True):
    """Ask an instance for its status."""


class MemberStatus(msgspec.Struct, frozen=True):
    """Report the state of one member.

    `home_share` is the share of the hash slots of its failure domain that it
    owns.
    """

    name: str
    domain: str
    state: str
    home_share: float


class Status(msgspec.Struct, frozen=True):
    """Report the status of an instance.

    `packets` counts packets by outcome.  Decision times are in microseconds.
    Packets, bytes and processor seconds are counted since the start.
    `open_flows` counts established flows only, while `flows_by_upstream` counts
    half-open and established ones.  `flows_taken` counts the flows received in
    handovers, and `departing_flows` the overrides.
    """

    name: str
    domain: str
    program_version: str
    state: str
    config_version: int
    config_age_seconds: float
    view_version: int
    members: tuple[MemberStatus, ...]
    packets: dict[str, int]
    relay_share: float
    decision_p50_us: float
    decision_p99_us: float
    open_flows: int
    half_open_flows: int
    closing_flows: int
    flows_taken: int
    departing_flows: int
    replicas: int
    flows_by_upstream: dict[str, int]
    control_bytes_sent: int
    control_bytes_received: int
    control_malformed: int
    control_foreign: int
    control_seconds: float
    processor_seconds: float
    resident_bytes: int


class Handover(msgspec.Struct, frozen=True):
    """Hand over flows to their new owner.

    `completed_view` is the ownership digest for which the sender has handed
    over everything to this receiver, or zero while more follows.  A message
    with neither flows nor a digest only requests the receiver's `given_view`.
    """

    sender: Member
    groups: tuple[FlowGroup, ...]
    completed_view: int = 0


class SnapshotRequest(msgspec.Struct, frozen=True):
    """Ask an instance for its membership view and its configuration."""


class Snapshot(msgspec.Struct, frozen=True):
    """Provide a joining or lagging instance with members and configuration.

    An instance fetches it when it joins, when a peer has a newer configuration
    and when its membership view differs from that of its peers for too long.
    """

    members: tuple[Member, ...]
    config_version: int
    configuration: Configuration


class HandoverReply(msgspec.Struct, frozen=True):
    """Report how many flows were accepted and which were rejected.

    `taken` counts the flows that were new to the replying instance, and
    `refused` has the digests of flows that it does not own.  `given_view` is
    the latest ownership digest for which it has handed over its own flows.
    """

    taken: int
    refused: tuple[int, ...] = ()
    given_view: int = 0
