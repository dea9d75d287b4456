"""Know the upstreams of each service."""

from marlbend.upstreams.pool import Upstream, UpstreamPool

__all__ = ('Upstream', 'UpstreamPool')
