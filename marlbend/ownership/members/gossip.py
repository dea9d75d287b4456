"""Piggyback membership updates on the messages of the failure detector.

Each update is sent a number of times that grows with the logarithm of the
fleet size, and updates sent least often go first.  This reaches every instance
with high probability (Das, Gupta, Motivala 2002).
"""

import math
from typing import Final, final

from marlbend.ownership.members.member import Member
from marlbend.ownership.members.view import MembershipView

__all__ = ('GossipQueue', 'queue_update', 'take_updates')

UPDATES_PER_MESSAGE: Final = 6
# Multiple of the logarithm of the fleet size (lambda in SWIM).
RETRANSMIT_FACTOR: Final = 3


@final
class GossipQueue:
    """Hold how many more times the record of each instance is sent."""

    __slots__ = ('remaining_sends_by_name',)

    def __init__(self) -> None:
        """Start with an empty queue."""
        self.remaining_sends_by_name: dict[str, int] = {}


def queue_update(queue: GossipQueue, view: MembershipView, name: str) -> None:
    """Queue the record of an instance for dissemination."""
    log_size = math.ceil(math.log2(len(view.member_by_name) + 2))
    queue.remaining_sends_by_name[name] = RETRANSMIT_FACTOR * log_size


def take_updates(
    queue: GossipQueue, view: MembershipView
) -> tuple[Member, ...]:
    """Return the records sent least often so far, and count this send."""
    remaining = queue.remaining_sends_by_name
    names = sorted(remaining, key=remaining.__getitem__, reverse=True)[
        :UPDATES_PER_MESSAGE
    ]
    for name in names:
        remaining[name] -= 1
        if not remaining[name]:
            remaining.pop(name)
    return tuple(filter(None, map(view.member_by_name.get, names)))
