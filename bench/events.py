"""Run the events of a simulation in the order of their times."""

import heapq
import itertools
from collections.abc import Callable, Iterator
from random import Random

__all__ = (
    'Action',
    'EventQueue',
    'draw_arrival_times',
    'run_events',
    'schedule',
)

# An event of the simulation.
Action = Callable[[], None]
# The time, a number that orders events of the same time, and the event.
ScheduledAction = tuple[float, int, Action]


class EventQueue:
    """Hold the clock and the events to come."""

    __slots__ = ('action_numbers', 'now', 'scheduled_actions')

    def __init__(self) -> None:
        """Start at time zero without an event."""
        self.now: float = 0
        self.scheduled_actions: list[ScheduledAction] = []
        self.action_numbers = itertools.count()


def schedule(queue: EventQueue, at: float, action: Action) -> None:
    """Add an event."""
    heapq.heappush(
        queue.scheduled_actions, (at, next(queue.action_numbers), action)
    )


def run_events(queue: EventQueue, until: float) -> None:
    """Run the events up to a time, also those that are added meanwhile."""
    while queue.scheduled_actions:
        at, _, action = heapq.heappop(queue.scheduled_actions)
        if at > until:
            break
        queue.now = at
        action()


def draw_arrival_times(
    random: Random, per_second: float, seconds: float
) -> Iterator[float]:
    """Yield the times of random arrivals; the last one is after the end."""
    arrived_at: float = 0
    while arrived_at < seconds:
        arrived_at += random.expovariate(per_second)
        yield arrived_at
