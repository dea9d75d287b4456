"""Hold SYNs for a moment, until an upstream has capacity for them.

Designed for short bursts: a refusal costs a caller one of two retries, although
capacity may become available within some milliseconds.  No packet of a held
flow was sent to an upstream, so it may still be refused.
"""

from collections.abc import Iterator
from typing import Final, final

from marlbend.steering.packet import Packet

__all__ = (
    'MAX_HELD_FLOWS',
    'MAX_HOLD_SECONDS',
    'HeldFlow',
    'HeldFlows',
    'drop_held',
    'find_deadline',
    'find_next',
    'hold',
    'release',
    'take_due',
)

MAX_HELD_FLOWS: Final = 64
MAX_HOLD_SECONDS: Final = 0.15
# A caller retransmits its SYN after 200 ms, and that one may open the flow at
# another instance.  So a SYN that a paused process held for longer than this is
# neither refused nor forwarded.
MAX_PAUSED_SECONDS: Final = 0.18


@final
class HeldFlow:
    """Hold a SYN that arrived at `held_at` and waits until `deadline`."""

    __slots__ = ('deadline', 'held_at', 'priority_steps', 'service', 'syn')

    def __init__(
        self,
        syn: Packet,
        deadline: float,
        priority_steps: int,
        now: float,
        service: str,
    ) -> None:
        """Start to wait now."""
        self.syn = syn
        self.service = service
        self.deadline = deadline
        self.priority_steps = priority_steps
        self.held_at = now


@final
class HeldFlows:
    """Hold the waiting SYNs, and how many were dropped after a pause."""

    __slots__ = ('by_key', 'dropped')

    def __init__(self) -> None:
        """Initialize as empty."""
        self.by_key: dict[bytes, HeldFlow] = {}
        self.dropped = 0


def find_deadline(
    target_seconds: float, cost_seconds: float, now: float
) -> float:
    """Return until when a SYN that arrives now may wait.

    Later, its request could not meet the target, even if served at once.
    """
    return now + min(MAX_HOLD_SECONDS, target_seconds - cost_seconds)


def hold(
    held: HeldFlows,
    packet: Packet,
    deadline: float,
    now: float,
    priority_steps: int = 0,
    service: str = '',
) -> bool:
    """Hold a SYN; return `False` if it cannot wait and must be refused.

    A retransmission changes nothing, so it neither extends the wait nor takes a
    second place.
    """
    if packet.flow_key in held.by_key:
        return True
    if len(held.by_key) >= MAX_HELD_FLOWS or deadline <= now:
        return False
    held.by_key[packet.flow_key] = HeldFlow(
        packet,
        min(deadline, now + MAX_HOLD_SECONDS),
        priority_steps,
        now,
        service,
    )
    return True


def find_next(
    held: HeldFlows, now: float, service: str = ''
) -> HeldFlow | None:
    """Return the flow that gets the next capacity of a service; it stays held.

    It is the one of the highest priority, and among these the first by
    deadline.  Whoever admits it releases it.
    """
    waiting = (
        flow
        for flow in held.by_key.values()
        if now < flow.deadline and flow.service == service
    )
    return min(
        waiting,
        key=lambda flow: (-flow.priority_steps, flow.deadline),
        default=None,
    )


def take_due(held: HeldFlows, now: float) -> Iterator[HeldFlow]:
    """Remove and yield the flows whose deadline has passed, in order.

    They are to be refused.  Those that were held during a pause of the process
    are dropped instead, as their callers have sent the SYN again.
    """
    due = [flow for flow in held.by_key.values() if flow.deadline <= now]
    for flow in sorted(due, key=lambda each: each.deadline):
        release(held, flow.syn.flow_key)
        if now - flow.held_at < MAX_PAUSED_SECONDS:
            yield flow
        else:
            held.dropped += 1


def drop_held(held: HeldFlows) -> None:
    """Remove all flows without a refusal, after a pause of the process."""
    held.dropped += len(held.by_key)
    held.by_key.clear()


def release(held: HeldFlows, key: bytes) -> None:
    """Stop holding a flow, if it is held."""
    held.by_key.pop(key, None)
