"""Spread records of instances on messages that are sent anyway.

Each new record is sent a number of times that grows with the logarithm of the
fleet, the least sent first, which reaches every instance with near certainty
(Das, Gupta, Motivala 2002).
"""

import math
from typing import Final, final

from marlbend.homes.members.fleet import Fleet
from marlbend.homes.members.member import Member

__all__ = ('News', 'add_news', 'pick_news')

NEWS_IN_MESSAGE: Final = 6
NEWS_FACTOR: Final = 3


@final
class News:
    """Count by name how often a record is still to be sent."""

    __slots__ = ('left_by_name',)

    def __init__(self) -> None:
        """Start without news."""
        self.left_by_name: dict[str, int] = {}


def add_news(news: News, fleet: Fleet, name: str) -> None:
    """Send the record of an instance from now on, often enough."""
    doublings = math.ceil(math.log2(len(fleet.member_by_name) + 2))
    news.left_by_name[name] = NEWS_FACTOR * doublings


def pick_news(news: News, fleet: Fleet) -> tuple[Member, ...]:
    """Take the records that were sent least often so far."""
    left = news.left_by_name
    names = sorted(left, key=left.__getitem__, reverse=True)[:NEWS_IN_MESSAGE]
    for name in names:
        left[name] -= 1
        if not left[name]:
            left.pop(name)
    return tuple(filter(None, map(fleet.member_by_name.get, names)))
