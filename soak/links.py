"""Carry datagrams over links that lose, repeat, reorder and cut.

Also tells for how long each party has been left in peace, which is what the
promises with a time bound depend on.
"""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from random import Random
from typing import Final

import msgspec

from marlbend.clock import steady_seconds

__all__ = ('DisturbanceTracker', 'Impairment', 'Links', 'Node', 'transmit')

# Networks lose a datagram now and then, which excuses nobody.
BASE_LOSS: Final = 0.0005


class Node(msgspec.Struct, frozen=True):
    """Name one end of a link and its failure domain."""

    name: str
    domain: str


class Impairment(msgspec.Struct, frozen=True):
    """Say what a link does: shares of datagrams, and seconds of delay."""

    loss: float = 0
    duplicate: float = 0
    max_delay_seconds: float = 0


class Links(msgspec.Struct):
    """Hold what is wrong with links, by where they start and end.

    Either part of a key may be the name of a place, of a domain, or empty for
    any.
    """

    random: Random
    impairment_by_link: dict[tuple[str, str], Impairment] = {}


def transmit(
    links: Links, source: Node, destination: Node, deliver: Callable[[], None]
) -> None:
    """Deliver a datagram as the links between two places do."""
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
    for source_key in (source.name, source.domain, ''):
        for destination_key in (destination.name, destination.domain, ''):
            impairment = links.impairment_by_link.get(
                (source_key, destination_key)
            )
            if impairment is not None:
                yield impairment


class DisturbanceTracker(msgspec.Struct):
    """Hold which parties are disturbed, and until when they last were."""

    count_by_name: Counter[str] = msgspec.field(default_factory=Counter)
    ended_by_name: dict[str, float] = {}

    def begin(self, names: Iterable[str]) -> None:
        """Note that a disturbance of some parties begins."""
        self.count_by_name.update(names)

    def end(self, names: Iterable[str]) -> None:
        """Note that one disturbance of each of some parties ends."""
        now = steady_seconds()
        for name in names:
            self.count_by_name[name] -= 1
            self.ended_by_name[name] = now

    def is_quiet(self, seconds: float, *names: str) -> bool:
        """Tell whether all parties have been in peace for so long."""
        now = steady_seconds()
        return not any(
            self.count_by_name[name]
            or now - self.ended_by_name.get(name, float('-inf')) < seconds
            for name in names
        )
