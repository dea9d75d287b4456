"""Define the messages that instances and the tool exchange.

All are encoded with MessagePack by `msgspec`, over gRPC for what is bulky or
answers the tool and in datagrams for liveness.
"""

import msgspec

from marlbend.members.member import Member

__all__ = (
    'FlowGroup',
    'HandOver',
    'HandOverReply',
    'MemberStatus',
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
    flows_by_upstream: dict[str, int]
    control_bytes_sent: int
    control_bytes_received: int
    control_malformed: int
    processor_seconds: float
    resident_bytes: int


class FlowGroup(msgspec.Struct, frozen=True, array_like=True):
    """Carry flows that share an upstream and a phase, by digest."""

    service: str
    address: str
    port: int
    phase: int
    digests: tuple[int, ...]


class HandOver(msgspec.Struct, frozen=True):
    """Give flows to their new home."""

    sender: Member
    groups: tuple[FlowGroup, ...]


class HandOverReply(msgspec.Struct, frozen=True):
    """Tell how many flows were taken."""

    taken: int
