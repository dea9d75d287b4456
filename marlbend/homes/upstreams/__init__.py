"""Keep the upstreams of each service and their load."""

from marlbend.homes.upstreams.load import Loads
from marlbend.homes.upstreams.pool import Upstream, UpstreamPool

__all__ = ('Loads', 'Upstream', 'UpstreamPool')
