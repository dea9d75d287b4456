"""Decide where packets go, based on the cookie that each of them carries.

This package uses no socket and no clock, and does not depend on the format of
packets or of the platform's objects: the time, a source of randomness and the
callbacks for all output are passed in.
"""

from marlbend.steering.documents import (
    Publication,
    RouteSpec,
    ServiceLimits,
    UpstreamEntry,
)
from marlbend.steering.packet import Packet
from marlbend.steering.routes import RouteTable, update_routes
from marlbend.steering.state import (
    Callbacks,
    LocalInstance,
    Outcome,
    Steering,
)
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
    'update_routes',
)
