"""Know the upstreams of each service and their load."""

from marlbend.upstreams.load import Loads
from marlbend.upstreams.pool import Upstream, UpstreamPool

__all__ = ('Loads', 'Upstream', 'UpstreamPool')
