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

__all__ = ('Links', 'Peace', 'Place', 'Trouble', 'carry')

# Networks lose a datagram now and then, which excuses nobody.
USUAL_LOSS: Final = 0.0005


class Place(msgspec.Struct, frozen=True):
    """Name one end of a link and its failure domain."""

    name: str
    domain: str


class Trouble(msgspec.Struct, frozen=True):
    """Say what a link does: shares of datagrams, and seconds of delay."""

    loss: float = 0
    repeat: float = 0
    delay_seconds: float = 0


class Links(msgspec.Struct):
    """Hold what is wrong with links, by where they start and end.

    Either part of a key may be the name of a place, of a domain, or empty for
    any.
    """

    random: Random
    trouble_by_ends: dict[tuple[str, str], Trouble] = {}


def carry(
    links: Links, start: Place, end: Place, deliver: Callable[[], None]
) -> None:
    """Deliver a datagram as the links between two places do."""
    random = links.random
    troubles = list(_find_troubles(links, start, end))
    losses = [USUAL_LOSS, *(trouble.loss for trouble in troubles)]
    if any(random.random() < loss for loss in losses):
        return
    repeated = any(random.random() < each.repeat for each in troubles)
    slowest = max((each.delay_seconds for each in troubles), default=0)
    for _ in range(1 + repeated):
        if slowest:
            delay = slowest * random.random()
            asyncio.get_running_loop().call_later(delay, deliver)
        else:
            deliver()


def _find_troubles(links: Links, start: Place, end: Place) -> Iterator[Trouble]:
    if not links.trouble_by_ends:
        return
    for first in (start.name, start.domain, ''):
        for second in (end.name, end.domain, ''):
            trouble = links.trouble_by_ends.get((first, second))
            if trouble is not None:
                yield trouble


class Peace(msgspec.Struct):
    """Hold which parties are disturbed, and until when they last were."""

    count_by_name: Counter[str] = msgspec.field(default_factory=Counter)
    ended_by_name: dict[str, float] = {}

    def disturb(self, names: Iterable[str]) -> None:
        """Note that a disturbance of some parties begins."""
        self.count_by_name.update(names)

    def calm(self, names: Iterable[str]) -> None:
        """Note that one disturbance of each of some parties ends."""
        now = steady_seconds()
        for name in names:
            self.count_by_name[name] -= 1
            self.ended_by_name[name] = now

    def holds(self, seconds: float, *names: str) -> bool:
        """Tell whether all parties have been in peace for so long."""
        now = steady_seconds()
        return not any(
            self.count_by_name[name]
            or now - self.ended_by_name.get(name, float('-inf')) < seconds
            for name in names
        )
