"""Give each upstream of each service a number that lasts.

A number stands for one pair of service and tunnel address as long as the
process lives, so a flow entry can never come to mean another service.
"""

import math
from typing import Final, final

from marlbend.hashing import hash_text

__all__ = ('Upstream', 'UpstreamKey', 'UpstreamPool')

UpstreamKey = tuple[str, str, int]

_FIRST_NUMBER: Final = 1


@final
class Upstream:
    """Describe one upstream of one service.

    `tunnel` is the address and port that take IP-in-UDP; `slots` and
    `connections` come from the service file; `seed` keys its hash.
    `accepting` is false once the upstream is draining or gone from the
    configuration; from `given_up_at` (monotonic seconds) nothing is sent there.
    """

    __slots__ = (
        'accepting',
        'connections',
        'domain',
        'given_up_at',
        'number',
        'seed',
        'service',
        'slots',
        'tunnel',
    )

    def __init__(self, number: int, service: str, tunnel: tuple[str, int]):
        """Start as an upstream that takes no new flows yet."""
        self.number = number
        self.service = service
        self.tunnel = tunnel
        self.seed = hash_text(f'{tunnel[0]}:{tunnel[1]}')
        self.domain = ''
        self.slots = 0
        self.connections = 0
        self.accepting = False
        self.given_up_at = math.inf


@final
class UpstreamPool:
    """Keep every upstream ever named, by number and by key."""

    __slots__ = ('_by_key', 'by_number')

    def __init__(self) -> None:
        """Start empty."""
        self._by_key: dict[UpstreamKey, Upstream] = {}
        self.by_number: dict[int, Upstream] = {}

    def intern(self, service: str, address: str, port: int) -> Upstream:
        """Return the upstream of this key, numbering it when it is new."""
        key = (service, address, port)
        upstream = self._by_key.get(key)
        if upstream is None:
            number = len(self._by_key) + _FIRST_NUMBER
            upstream = Upstream(number, service, (address, port))
            self._by_key[key] = upstream
            self.by_number[number] = upstream
        return upstream
