"""Tell admission control how the requests of a service end.

A response that looks shed shows that the sum over all instances is too much,
and one in time that there is room, whatever this instance knows of the others.
"""

from marlbend.steering.documents import RouteSpec
from marlbend.steering.placement.admission import record_served, record_shed
from marlbend.steering.placement.outlier_detection import is_short
from marlbend.steering.state import Flow, Steering

__all__ = ('record_outcome',)


def record_outcome(
    steering: Steering,
    flow: Flow,
    spec: RouteSpec,
    size: int,
    *,
    is_complete: bool,
) -> None:
    """Record the response to the latest request of a flow, once.

    A short part of a response may be the start of a longer one, so only a
    complete one counts as shed.
    """
    looks_shed = is_short(steering, spec.endpoint, size)
    outcome = flow.pending_outcome
    if outcome is None or outcome.response_seconds is None:
        return
    if looks_shed and not is_complete:
        return
    admission = steering.estimates.admission
    service = flow.upstream.entry.service
    now = steering.now
    if looks_shed:
        lowest = steering.routes.lowest_priority_by_service.get(service, 0)
        record_shed(
            admission,
            service,
            now,
            had_free_slot=outcome.had_free_slot,
            priority_steps=max(lowest - spec.priority, 0),
        )
    else:
        in_time = outcome.response_seconds <= spec.target_seconds
        record_served(admission, service, in_time=in_time, now=now)
    outcome.response_seconds = None
