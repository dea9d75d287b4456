"""Decide whether a new flow is admitted, held for a moment, or refused.

Designed for more requests than the upstreams can serve in time, on many
instances that know only a part of the load.
"""

import enum
from typing import final

__all__ = ('AdmissionState', 'Verdict', 'VerdictKind')


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
class AdmissionState:
    """Hold the limit of each service, and the shares of callers."""

    __slots__ = ('limit_by_service',)

    def __init__(self) -> None:
        """Initialize without a limit."""
        self.limit_by_service: dict[str, float] = {}
