"""Bound the new flows of a cold upstream, as a sum over all instances.

Instances may disagree for a while on how many they are, so the rate is split
over a fixed few that are chosen by rank, and each of those may send one flow
at once.  Answers the load on upstreams that have just started, or that come
back with their failure domain.
"""

import zlib
from typing import Final

from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('may_open', 'spend_open')

# Each of the senders may be one flow ahead of its rate; the platform bears
# five flows above it.
SENDERS: Final = 4


def may_open(steering: Steering, upstream: Upstream) -> bool:
    """Tell whether a new flow may go to an upstream now."""
    rate = _rate_of(steering, upstream)
    if not rate or upstream.cold_until <= steering.now:
        return True
    if not _is_sender(steering, upstream):
        return False
    return steering.now - upstream.last_cold_flow_at >= SENDERS / rate


def spend_open(steering: Steering, upstream: Upstream) -> None:
    """Note that a new flow went to an upstream."""
    upstream.last_cold_flow_at = steering.now


def _rate_of(steering: Steering, upstream: Upstream) -> float:
    limits = steering.routes.publication.limits_by_service
    known = limits.get(upstream.entry.service)
    return known.cold_per_second if known else 0


def _is_sender(steering: Steering, upstream: Upstream) -> bool:
    """Tell whether this instance is one of the few, those near it first."""

    def rank(peer: tuple[str, str]) -> tuple[bool, int]:
        name, domain = peer
        far = domain != upstream.entry.domain
        return far, zlib.crc32(f'{upstream.name} {name}'.encode())

    first = sorted(steering.local_instance.peers, key=rank)[:SENDERS]
    return any(name == steering.local_instance.name for name, _ in first)
