"""Hold the state of the packet path."""

from collections.abc import Callable
from typing import Final, final

from marlbend.ownership.active import ActiveConfig
from marlbend.ownership.flows import FlowTable
from marlbend.ownership.flows.owner_hints import OwnerHints, rotate_hints
from marlbend.ownership.members import MembershipView
from marlbend.ownership.packets.outcomes import Outcome
from marlbend.ownership.upstreams import Loads

__all__ = ('Address', 'PacketPath', 'Senders', 'update_clock')

# A running process updates the clock at least once a second.  The clock is also
# updated before the first packet after a pause is handled, which may be earlier
# than the next run of the probes, so a pause is detected here as well as there.
CLOCK_PAUSE_THRESHOLD_SECONDS: Final = 2.5

Address = tuple[str, int]
Send = Callable[[bytes, Address], None]


@final
class Senders:
    """Hold the callbacks that send to an upstream's tunnel and to a peer."""

    __slots__ = ('forward', 'relay')

    def __init__(self, forward: Send, relay: Send) -> None:
        """Store callbacks that send a datagram to an address."""
        self.forward = forward
        self.relay = relay


@final
class PacketPath:
    """Hold the state that handling a packet reads and writes.

    `now` is monotonic time in seconds and `tick` the same in whole seconds.
    `owner_count` is the number of instances in the membership view that own
    flows.  While `catching_up`, after the process was paused, packets of
    unknown flows are dropped, since the membership view may be stale.
    `update_clock` sets it, and each run of the probes sets it anew by the
    deadline `catch_up_until` of the failure detector.
    """

    __slots__ = (
        'active',
        'catching_up',
        'counts',
        'half_open_limit',
        'loads',
        'now',
        'owner_count',
        'owner_hints',
        'senders',
        'table',
        'tick',
        'view',
    )

    def __init__(
        self,
        active: ActiveConfig,
        view: MembershipView,
        table: FlowTable,
        senders: Senders,
        half_open_limit: int,
    ) -> None:
        """Start with empty counters, loads and owner hints."""
        self.active = active
        self.view = view
        self.table = table
        self.senders = senders
        self.half_open_limit = half_open_limit
        self.counts = [0 for _ in Outcome]
        self.loads = Loads()
        self.owner_hints = OwnerHints()
        self.owner_count = 1
        self.catching_up = False
        self.now: float = 0
        self.tick = 0


def update_clock(path: PacketPath, now: float) -> None:
    """Set the time; detect by a large step that the process was paused."""
    if path.now and now - path.now > CLOCK_PAUSE_THRESHOLD_SECONDS:
        path.catching_up = True
    path.now = now
    path.tick = int(now)
    rotate_hints(path.owner_hints, now)
