"""Hold what exchanging heartbeats and topics with other instances needs."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from marlbend.clock import steady_seconds
from marlbend.observe.control_traffic import ControlTraffic
from marlbend.steering.gossip import GossipState
from marlbend.steering.state import Steering
from marlbend.topics.knowledge import Topic

__all__ = ('Address', 'GossipNode')

Address = tuple[str, int]

# If most instances start at once, the first that are asked know nothing more.
MAX_UNLISTED_REQUESTS: Final = 8


@final
class GossipNode:
    """Hold the state of this instance and what exchanging heartbeats needs.

    `seeds` holds the control endpoints of the configured seeds.  `send` sends a
    datagram to an address.  `fetching` holds the topics that are being fetched,
    and `tasks` the tasks that fetch them; those in `whole_needed` are fetched
    whole, since changes did not apply.  `unlisted_requests_left` is how many
    more instances are asked, one at a time, for what the store's lists lack;
    see `marlbend.topics.unlisted`.  `urgent_sent_at` is when urgent heartbeats
    were last sent, and `started_at` the start of this instance, in steady
    seconds.  `traffic` counts what was sent.
    """

    __slots__ = (
        'fetching',
        'gossip',
        'is_fetching_unlisted',
        'seeds',
        'send',
        'started_at',
        'steering',
        'tasks',
        'traffic',
        'unlisted_requests_left',
        'urgent_sent_at',
        'whole_needed',
    )

    def __init__(
        self,
        gossip: GossipState,
        steering: Steering,
        seeds: tuple[Address, ...],
        send: Callable[[bytes, Address], None],
    ) -> None:
        """Start without fetches."""
        self.gossip = gossip
        self.steering = steering
        self.seeds = seeds
        self.send = send
        self.urgent_sent_at: float = 0
        self.fetching: set[Topic] = set()
        self.whole_needed: set[Topic] = set()
        self.unlisted_requests_left = MAX_UNLISTED_REQUESTS
        self.is_fetching_unlisted = False
        self.started_at = steady_seconds()
        self.tasks: set[asyncio.Task[None]] = set()
        self.traffic = ControlTraffic()
