"""Define the messages that instances and the tool exchange.

All are encoded with MessagePack by `msgspec`, over gRPC for what is bulky or
answers the tool and in datagrams for liveness.
"""

import msgspec

from marlbend.config import Configuration
from marlbend.homes.members.member import Member
from marlbend.homes.wire.flows import FlowGroup

__all__ = (
    'HandOver',
    'HandOverReply',
    'MemberStatus',
    'Snapshot',
    'SnapshotRequest',
    'Status',
    'StatusRequest',
)


class StatusRequest(msgspec.Struct, frozen=True):
    """Ask an instance what it knows of itself."""


class MemberStatus(msgspec.Struct, frozen=True):
    """Tell one member of a view: its state and its share of home slots."""

    name: str
    domain: str
    state: str
    home_share: float


class Status(msgspec.Struct, frozen=True):
    """Tell what an instance knows of itself.

    `packets` counts by outcome since the start; decision times are in
    microseconds; bytes and processor seconds count since the start.
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


class HandOver(msgspec.Struct, frozen=True):
    """Give flows to their new home.

    `completed_view` is the mark of the view for which the sender has now given
    everything to this receiver, or zero while more is to come.  Without flows
    and mark it only asks for the receiver's `given_view`.
    """

    sender: Member
    groups: tuple[FlowGroup, ...]
    completed_view: int = 0


class SnapshotRequest(msgspec.Struct, frozen=True):
    """Ask an instance for its view and its configuration."""


class Snapshot(msgspec.Struct, frozen=True):
    """Tell a joining instance what it needs to take part."""

    members: tuple[Member, ...]
    config_version: int
    configuration: Configuration


class HandOverReply(msgspec.Struct, frozen=True):
    """Tell how many flows were taken, and which belong elsewhere.

    `given_view` is the mark of the view for which the answering instance has
    itself given everything away.
    """

    taken: int
    refused: tuple[int, ...] = ()
    given_view: int = 0
