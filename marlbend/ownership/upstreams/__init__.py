"""Keep the upstreams of each service and their load."""

from marlbend.ownership.upstreams.load import Loads
from marlbend.ownership.upstreams.pool import Upstream, UpstreamPool

__all__ = ('Loads', 'Upstream', 'UpstreamPool')
