"""Hold what decisions on packets read and write."""

from collections.abc import Callable
from typing import Final, final

from marlbend.homes.active import ActiveConfig
from marlbend.homes.flows import FlowTable
from marlbend.homes.flows.referrals import Referrals, turn_referrals
from marlbend.homes.members import Fleet
from marlbend.homes.packets.outcomes import Outcome
from marlbend.homes.upstreams import Loads

__all__ = ('Address', 'PacketPath', 'Senders', 'update_clock')

# The clock moves at least once a second in a process that runs.
PAUSE_SECONDS: Final = 2.5

Address = tuple[str, int]
Send = Callable[[bytes, Address], None]


@final
class Senders:
    """Hold the two ways out: to an upstream's tunnel and to a peer."""

    __slots__ = ('forward', 'relay')

    def __init__(self, forward: Send, relay: Send) -> None:
        """Keep the functions that send a datagram to an address."""
        self.forward = forward
        self.relay = relay


@final
class PacketPath:
    """Hold the state that decisions read and write.

    `now` is monotonic seconds and `tick` the same in whole seconds.
    `homes` is the number of homes in the view.  While `catching_up`, after a
    pause of the process, nothing is decided.
    """

    __slots__ = (
        'active',
        'catching_up',
        'counts',
        'fleet',
        'half_open_limit',
        'homes',
        'loads',
        'now',
        'referrals',
        'senders',
        'table',
        'tick',
    )

    def __init__(
        self,
        active: ActiveConfig,
        fleet: Fleet,
        table: FlowTable,
        senders: Senders,
        half_open_limit: int,
    ) -> None:
        """Wire the parts; counters start at zero."""
        self.active = active
        self.fleet = fleet
        self.table = table
        self.senders = senders
        self.half_open_limit = half_open_limit
        self.counts = [0 for _ in Outcome]
        self.loads = Loads()
        self.referrals = Referrals()
        self.owner_count = 1
        self.catching_up = False
        self.now: float = 0
        self.tick = 0


def update_clock(path: PacketPath, now: float) -> None:
    """Move the clock; a large step means that this process was paused."""
    if path.now and now - path.now > PAUSE_SECONDS:
        path.catching_up = True
    path.now = now
    path.tick = int(now)
    turn_referrals(path.referrals, now)
