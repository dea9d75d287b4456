"""Report the estimates and the decisions of placement, as metrics."""

from collections.abc import Iterator
from typing import Final

from marlbend.steering.placement.admission import find_limit
from marlbend.steering.placement.contention import is_in_contention
from marlbend.steering.placement.method import keeps_estimates
from marlbend.steering.placement.outstanding_work import total_work
from marlbend.steering.placement.service_times import seconds_by_quantile
from marlbend.steering.state import Steering

__all__ = ('placement_lines',)

_UNKNOWN_ROUTE: Final = 'other'


def placement_lines(steering: Steering) -> Iterator[str]:
    """Yield the metrics, none unless estimates are kept."""
    if not keeps_estimates(steering):
        return
    yield from _verdict_lines(steering)
    yield from _service_time_lines(steering)
    yield from _service_lines(steering)
    yield from _upstream_lines(steering)
    held = len(steering.estimates.held_flows.by_key)
    yield f'marlbend_held_flows {held}'


def _verdict_lines(steering: Steering) -> Iterator[str]:
    for key, count in steering.estimates.admission.counts.items():
        endpoint, verdict, reason = key
        route = _route_name(steering, endpoint)
        labels = f'{{route="{route}",verdict="{verdict}",reason="{reason}"}}'
        yield f'marlbend_placement_total{labels} {count}'


def _service_time_lines(steering: Steering) -> Iterator[str]:
    times = steering.estimates.service_times
    for endpoint in tuple(times.by_endpoint):
        route = _route_name(steering, endpoint)
        for quantile, seconds in seconds_by_quantile(times, endpoint).items():
            labels = f'{{route="{route}",quantile="{quantile}"}}'
            yield f'marlbend_service_seconds{labels} {seconds:.4f}'


def _service_lines(steering: Steering) -> Iterator[str]:
    admission = steering.estimates.admission
    for service in admission.by_service:
        labels = f'{{service="{service}"}}'
        limit = find_limit(admission, service, 0, steering.now)
        is_contended = is_in_contention(admission, service, steering.now)
        yield f'marlbend_admission_limit{labels} {limit:.3f}'
        yield f'marlbend_contention{labels} {int(is_contended)}'


def _upstream_lines(steering: Steering) -> Iterator[str]:
    for name, upstream in sorted(steering.pool.by_name.items()):
        if upstream.ended_at:
            continue
        labels = f'{{upstream="{name}"}}'
        work = total_work(steering, upstream)
        slowdown = upstream.work.slowdown
        yield f'marlbend_upstream_work_seconds{labels} {work:.3f}'
        yield f'marlbend_upstream_slowdown{labels} {slowdown:.2f}'


def _route_name(steering: Steering, endpoint: bytes) -> str:
    route = steering.routes.by_endpoint.get(endpoint)
    return route.spec.name if route else _UNKNOWN_ROUTE
