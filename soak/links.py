"""Transmit datagrams over links that lose, duplicate and delay them.

Also track for how long each participant has been undisturbed.  A participant is
an instance, an upstream, the store, or this machine.  Some invariants apply
only to undisturbed participants.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Final

import msgspec

from marlbend.clock import steady_seconds

__all__ = (
    'DisturbanceTracker',
    'Impairment',
    'Links',
    'Node',
    'transmit',
    'unplanned_key',
)

# Share of datagrams lost on every link, as networks lose a datagram now and
# then.  No invariant makes allowance for it.
BASE_LOSS: Final = 0.0005


class Node(msgspec.Struct, frozen=True):
    """Identify one end of a link, with its failure domain."""

    name: str
    domain: str


class Impairment(msgspec.Struct, frozen=True):
    """Describe a link's faults; loss and duplicate are shares of datagrams."""

    loss: float = 0
    duplicate: float = 0
    max_delay_seconds: float = 0


class Links(msgspec.Struct):
    """Hold the impairments of links, by source and destination.

    Either part of a key is the name of a node, the name of a domain, or empty,
    which matches every node.
    """

    random: Random
    impairment_by_link: dict[tuple[str, str], Impairment] = {}


def transmit(
    links: Links, source: Node, destination: Node, deliver: Callable[[], None]
) -> None:
    """Deliver a datagram subject to the impairments between two nodes."""
    random = links.random
    impairments = list(_find_impairments(links, source, destination))
    losses = [BASE_LOSS, *(impairment.loss for impairment in impairments)]
    if any(random.random() < loss for loss in losses):
        return
    duplicated = any(random.random() < each.duplicate for each in impairments)
    max_delay = max((each.max_delay_seconds for each in impairments), default=0)
    for _ in range(1 + duplicated):
        if max_delay:
            delay = max_delay * random.random()
            asyncio.get_running_loop().call_later(delay, deliver)
        else:
            deliver()


def _find_impairments(
    links: Links, source: Node, destination: Node
) -> Iterator[Impairment]:
    if not links.impairment_by_link:
        return
    for from_key in (source.name, source.domain, ''):
        for to_key in (destination.name, destination.domain, ''):
            impairment = links.impairment_by_link.get((from_key, to_key))
            if impairment is not None:
                yield impairment


def unplanned_key(instance: str) -> str:
    """Return the name that tracks an instance's unplanned disturbances."""
    return f'{instance} unplanned'


class DisturbanceTracker(msgspec.Struct):
    """Track the disturbances of participants, which may overlap."""

    count_by_name: Counter[str] = msgspec.field(default_factory=Counter)
    ended_at_by_name: dict[str, float] = {}

    def begin(self, names: Iterable[str]) -> None:
        """Record that a disturbance of each participant begins."""
        self.count_by_name.update(names)

    def end(self, names: Iterable[str]) -> None:
        """Record that one disturbance of each participant ends."""
        now = steady_seconds()
        for name in names:
            self.count_by_name[name] -= 1
            self.ended_at_by_name[name] = now

    def is_quiet(self, seconds: float, *names: str) -> bool:
        """Return whether all were undisturbed for the last `seconds`."""
        now = steady_seconds()
        return not any(
            self.count_by_name[name]
            or now - self.ended_at_by_name.get(name, float('-inf')) < seconds
            for name in names
        )
