"""Assign each upstream of each service a permanent number.

A number identifies one pair of service and tunnel address for the lifetime of
the process, so a flow table entry never refers to another service.
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

    `tunnel` is the address and port that receive IP-in-UDP; `domain`, `slots`
    and `connections` come from the service file; `seed` is the seed of its
    hash.  `accepting` is false once the upstream is draining or no longer in
    the configuration.  No packet is forwarded to it from `forward_until` on
    (monotonic time in seconds).

    The choice of an upstream reads `connections`, and which upstreams accept
    new flows from `Service.accepting_upstreams`.  Nothing in the ownership mode
    reads `accepting`, `domain` or `slots`.
    """

    __slots__ = (
        'accepting',
        'connections',
        'domain',
        'forward_until',
        'number',
        'seed',
        'service',
        'slots',
        'tunnel',
    )

    def __init__(self, number: int, service: str, tunnel: tuple[str, int]):
        """Start as an upstream that accepts no new flows yet."""
        self.number = number
        self.service = service
        self.tunnel = tunnel
        self.seed = hash_text(f'{tunnel[0]}:{tunnel[1]}')
        self.domain = ''
        self.slots = 0
        self.connections = 0
        self.accepting = False
        self.forward_until = math.inf


@final
class UpstreamPool:
    """Hold every upstream seen in this process, by number and by key."""

    __slots__ = ('_by_key', 'by_number')

    def __init__(self) -> None:
        """Start empty."""
        self._by_key: dict[UpstreamKey, Upstream] = {}
        self.by_number: dict[int, Upstream] = {}

    def intern(self, service: str, address: str, port: int) -> Upstream:
        """Return the upstream of a key; assign a number to a new one."""
        key = (service, address, port)
        upstream = self._by_key.get(key)
        if upstream is None:
            number = len(self._by_key) + _FIRST_NUMBER
            upstream = Upstream(number, service, (address, port))
            self._by_key[key] = upstream
            self.by_number[number] = upstream
        return upstream
