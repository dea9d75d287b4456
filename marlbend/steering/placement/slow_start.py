"""Limit the rate of new flows to a cold upstream, over all instances.

Instances may disagree for a while on how many instances there are, so the
warm-up rate is divided among a fixed number of them.  These are chosen by
rendezvous hashing of the names of the upstream and the instances, those in the
upstream's failure domain first.  Each of them may send its first flow at once.

Designed for the slow start of upstreams that have just started, or that return
with their failure domain.
"""

import zlib
from typing import Final

from marlbend.steering.documents import ServiceLimits
from marlbend.steering.failure_detection import is_silent
from marlbend.steering.state import Steering
from marlbend.steering.upstreams import Upstream

__all__ = ('can_open_flow', 'has_cold_limit', 'record_new_flow')

# How many instances send new flows to a cold upstream.  Each of them may exceed
# its rate by one flow; the platform tolerates five flows in excess of the rate.
MAX_SENDERS: Final = 4
_NO_LIMITS: Final = ServiceLimits()


def has_cold_limit(steering: Steering, service: str) -> bool:
    """Return whether the cold upstreams of a service have a limited rate."""
    return _find_limits(steering, service).cold_per_second > 0


def can_open_flow(steering: Steering, upstream: Upstream) -> bool:
    """Return whether a new flow may go to an upstream now."""
    limits = _find_limits(steering, upstream.entry.service)
    rate = limits.cold_per_second
    is_warm = upstream.cold_until <= steering.now
    if not rate or (
        is_warm and not _may_have_restarted(steering, upstream, limits)
    ):
        return True
    if not _is_sender(steering, upstream):
        return False
    return steering.now - upstream.last_new_flow_at >= MAX_SENDERS / rate


def record_new_flow(steering: Steering, upstream: Upstream) -> None:
    """Record that a new flow went to an upstream."""
    upstream.last_new_flow_at = steering.now


def _find_limits(steering: Steering, service: str) -> ServiceLimits:
    limits = steering.routes.publication.limits_by_service
    return limits.get(service, _NO_LIMITS)


def _may_have_restarted(
    steering: Steering, upstream: Upstream, limits: ServiceLimits
) -> bool:
    """Return whether an upstream may be cold although its entry is not.

    It was silent, and the list of upstreams is not yet as recent as its return:
    the reader of the platform passes changes on up to 0.3 s late, and none in
    an outage.
    """
    if is_silent(upstream, steering.now):
        return True
    recovered_at = upstream.liveness.recovered_at
    return (
        recovered_at > steering.upstreams_confirmed_at
        and steering.now - recovered_at < limits.cold_seconds
    )


def _is_sender(steering: Steering, upstream: Upstream) -> bool:
    """Return whether this instance may send new flows to a cold upstream.

    Instances in the failure domain of the upstream come first.
    """

    def sender_rank(member: tuple[str, str]) -> tuple[bool, int]:
        name, domain = member
        is_remote = domain != upstream.entry.domain
        return is_remote, zlib.crc32(f'{upstream.name} {name}'.encode())

    senders = sorted(steering.local_instance.live_members, key=sender_rank)[
        :MAX_SENDERS
    ]
    return any(name == steering.local_instance.name for name, _ in senders)
