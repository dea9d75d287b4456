"""Decide where packets go, from the cookie that each of them carries.

Nothing here touches a socket or a clock, and nothing knows the format of a
packet or of the platform's objects: time, randomness and ways out are given.
"""

from marlbend.steering.documents import (
    Publication,
    RouteSpec,
    ServiceLimits,
    UpstreamEntry,
)
from marlbend.steering.packet import Packet
from marlbend.steering.routes import RouteTable, publish_routes
from marlbend.steering.state import Callbacks, LocalInstance, Outcome, Steering
from marlbend.steering.upstreams import Upstream, UpstreamPool

__all__ = (
    'Callbacks',
    'LocalInstance',
    'Outcome',
    'Packet',
    'Publication',
    'RouteSpec',
    'RouteTable',
    'ServiceLimits',
    'Steering',
    'Upstream',
    'UpstreamEntry',
    'UpstreamPool',
    'publish_routes',
)
