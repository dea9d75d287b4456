"""Compute when a new request would complete at each candidate upstream."""

from typing import Final, final

__all__ = (
    'COLD_SLOWDOWN',
    'REMOTE_SECONDS',
    'Candidate',
    'expected_completion',
)

# A cold upstream takes about 1.6 times as long for each request.
COLD_SLOWDOWN: Final = 1.6
# The way to another failure domain and back.
REMOTE_SECONDS: Final = 0.0028


@final
class Candidate:
    """Hold what is known of an upstream that may get a new flow.

    `work_seconds` is its outstanding work, and `idle_load` what its idle open
    flows are expected to bring, both in seconds without the `slowdown`.
    """

    __slots__ = (
        'idle_load',
        'is_cold',
        'is_remote',
        'name',
        'slots',
        'slowdown',
        'work_seconds',
    )

    def __init__(self, name: str, slots: int) -> None:
        """Initialize as an idle warm upstream of the local domain."""
        self.name = name
        self.slots = slots
        self.work_seconds: float = 0
        self.idle_load: float = 0
        self.slowdown: float = 1
        self.is_cold = False
        self.is_remote = False


def expected_completion(candidate: Candidate, cost_seconds: float) -> float:
    """Return the seconds until a request of some cost would be complete."""
    slowdown = candidate.slowdown
    if candidate.is_cold:
        slowdown *= COLD_SLOWDOWN
    backlog = (candidate.work_seconds + candidate.idle_load) / candidate.slots
    seconds = (backlog + cost_seconds) * slowdown
    return seconds + REMOTE_SECONDS if candidate.is_remote else seconds
