"""Define what admission control decides on, and its decisions."""

import enum
import math
from typing import Final, final

__all__ = (
    'CALLER_SHARE',
    'NO_ROOM',
    'PRIORITY',
    'ROOM',
    'WAIT',
    'AdmissionRequest',
    'Verdict',
    'VerdictKind',
)

ROOM: Final = 'room'
NO_ROOM: Final = 'no room in time'
PRIORITY: Final = 'priority'
CALLER_SHARE: Final = 'caller share'
WAIT: Final = 'wait'


@enum.unique
@final
class VerdictKind(enum.Enum):
    """Name what is done with a new flow."""

    ADMIT = 'admit'
    HOLD = 'hold'
    REFUSE = 'refuse'


@final
class Verdict:
    """Hold a decision, and the reason that logs and metrics show."""

    __slots__ = ('kind', 'reason')

    def __init__(self, kind: VerdictKind, reason: str) -> None:
        """Set both."""
        self.kind = kind
        self.reason = reason


@final
class AdmissionRequest:
    """Hold what one decision depends on.

    `caller` is the four bytes of an address.  `priority_steps` counts the steps
    above the lowest priority of the service.  `completion_seconds` is the
    expected time to complete the request at the best candidate, and
    `cost_seconds` the expected service time.  `flow_seconds` is that of all
    requests that the flow is expected to bring, zero if unknown.
    `room_seconds` is the expected time until that candidate has capacity,
    infinite if unknown.

    `has_free_slot` is set if an upstream that may get the flow has a free slot,
    `is_measured` if the service times of the route are known, and
    `is_route_served` if a flow of the route was admitted within the last
    second.
    """

    __slots__ = (
        'caller',
        'completion_seconds',
        'cost_seconds',
        'endpoint',
        'flow_seconds',
        'has_free_slot',
        'is_measured',
        'is_route_served',
        'priority_steps',
        'room_seconds',
        'service',
        'target_seconds',
    )

    def __init__(self, service: str, endpoint: bytes, caller: bytes) -> None:
        """Initialize as a flow of a route without a target."""
        self.service = service
        self.endpoint = endpoint
        self.caller = caller
        self.target_seconds: float = 0
        self.priority_steps = 0
        self.completion_seconds: float = 0
        self.cost_seconds: float = 0
        self.flow_seconds: float = 0
        self.room_seconds = math.inf
        self.has_free_slot = False
        self.is_measured = False
        self.is_route_served = True
