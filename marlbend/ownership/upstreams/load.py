"""Track the load that other owners place on the upstreams.

Each owner sees its own flows immediately and those of other owners through
load reports, which lag.  If every owner trusted the reports fully, all would
send new flows to the same least loaded upstream at the same time (herding).
So the reported load is weighted: by one while few flows arrive between two
reports, down to one divided by the number of owners when many do.  Any weight
above zero still balances the total load.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Final, final

from marlbend.ownership.upstreams.pool import Upstream

__all__ = (
    'Loads',
    'apply_report',
    'count_new_flow',
    'drop_reports',
    'others_load_weight',
    'update_arrival_rates',
)

# Interval between the reports of an owner that the weight assumes.  The actual
# interval is longer when the byte budget for reports is used up, which depends
# on the number of owners.
REPORT_SECONDS: Final = 0.5
# Weight of the last second in the moving average of the arrival rate.
RATE_SMOOTHING: Final = 0.5

ReportKey = tuple[str, str]


@final
class Loads:
    """Hold the load reports of other owners and the arrival rates of flows.

    `reported_by_number` is the sum of the flows in all reports, by the number
    of the upstream.
    """

    __slots__ = (
        'arrivals_by_service',
        'rate_by_service',
        'report_by_key',
        'reported_by_number',
    )

    def __init__(self) -> None:
        """Start without reports."""
        self.report_by_key: dict[ReportKey, dict[int, int]] = {}
        self.reported_by_number: dict[int, int] = defaultdict(int)
        self.arrivals_by_service: dict[str, int] = defaultdict(int)
        self.rate_by_service: dict[str, float] = defaultdict(float)


def apply_report(
    loads: Loads,
    origin: str,
    service: str,
    upstreams: Sequence[Upstream],
    counts: Sequence[int],
) -> None:
    """Replace the last report of an owner about a service."""
    report = {
        upstream.number: count
        for upstream, count in zip(upstreams, counts, strict=False)
    }
    _replace_report(loads, (origin, service), report)


def drop_reports(loads: Loads, present: frozenset[str]) -> None:
    """Drop the reports of owners that are not in `present`."""
    for key in tuple(loads.report_by_key):
        if key[0] not in present:
            _replace_report(loads, key, {})
            loads.report_by_key.pop(key)


def count_new_flow(loads: Loads, service: str) -> None:
    """Count a new flow of a service."""
    loads.arrivals_by_service[service] += 1


def update_arrival_rates(loads: Loads) -> None:
    """Update the arrival rates; call this once a second."""
    services = loads.arrivals_by_service.keys() | loads.rate_by_service.keys()
    for service in services:
        arrived = loads.arrivals_by_service.pop(service, 0)
        rate = loads.rate_by_service[service]
        loads.rate_by_service[service] = rate + RATE_SMOOTHING * (
            arrived - rate
        )


def others_load_weight(loads: Loads, service: str, owner_count: int) -> float:
    """Return the weight of load reported by other owners, from 0 to 1.

    `owner_count` is the number of owners, including this one.
    """
    rate = loads.rate_by_service.get(service, 0)
    unreported = rate * REPORT_SECONDS * (owner_count - 1)
    return max(1 / owner_count, 1 / (1 + unreported))


def _replace_report(
    loads: Loads,
    key: ReportKey,
    report: Mapping[int, int],
) -> None:
    for number, old_count in loads.report_by_key.get(key, {}).items():
        loads.reported_by_number[number] -= old_count
    for updated, count in report.items():
        loads.reported_by_number[updated] += count
    loads.report_by_key[key] = dict(report)
