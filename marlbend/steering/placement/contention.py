"""Tell which services are in contention.

Designed for services whose callers compete for too little capacity at times.
What begins contention is recorded by `marlbend.steering.placement.admission`,
and, for a service that is placed by counts of requests, here.
"""

from collections.abc import Iterator

from marlbend.steering.placement.admission import (
    AdmissionState,
    extend_contention,
    find_service,
)

__all__ = ('is_in_contention', 'list_contended', 'record_refusal_by_counts')


def is_in_contention(state: AdmissionState, service: str, now: float) -> bool:
    """Return whether a service is in contention.

    It is from when its pressure is high, or a flow is refused for load, until
    some time after the last shed response or refusal.
    """
    known = state.by_service.get(service)
    return known is not None and now < known.contention_ends_at


def list_contended(state: AdmissionState, now: float) -> Iterator[str]:
    """Yield the services in contention."""
    for service, known in state.by_service.items():
        if now < known.contention_ends_at:
            yield service


def record_refusal_by_counts(
    state: AdmissionState, service: str, now: float
) -> None:
    """Begin contention when the limit on counts refuses a flow for load.

    There is no verdict of admission control on that flow, so a log line must
    not show the latest one, which concerns another flow.
    """
    state.latest = None
    known = find_service(state, service)
    extend_contention(known, now, now, is_evident=True)
