"""Know how the other homes have loaded the upstreams.

Each home sees its own flows at once and those of the others through their
reports, which are a little old.  If every home trusted the reports fully, all
would fill the same gap at the same time.  So the load of the others counts for
a share only: one while few flows arrive between two reports, and down to one
home's part when many do.  Any share above zero still levels the sum.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence
from typing import Final, final

from marlbend.homes.upstreams.pool import Upstream

__all__ = (
    'Loads',
    'apply_report',
    'count_arrival',
    'drop_reports',
    'others_share',
    'update_arrival_rates',
)

# Homes report at least this often while their counts change.
REPORT_SECONDS: Final = 0.5
# The rate of the last second counts for this much of the estimate.
RATE_WEIGHT: Final = 0.5

ReportKey = tuple[str, str]


@final
class Loads:
    """Hold the reports of other homes and the rates of arriving flows.

    `others_by_number` is the sum of all reports by upstream.
    """

    __slots__ = (
        'arrivals_by_service',
        'others_by_number',
        'rate_by_service',
        'report_by_key',
    )

    def __init__(self) -> None:
        """Start without reports."""
        self.report_by_key: dict[ReportKey, dict[int, int]] = {}
        self.others_by_number: dict[int, int] = defaultdict(int)
        self.arrivals_by_service: dict[str, int] = defaultdict(int)
        self.rate_by_service: dict[str, float] = defaultdict(float)


def apply_report(
    loads: Loads,
    origin: str,
    service: str,
    upstreams: Sequence[Upstream],
    counts: Sequence[int],
) -> None:
    """Replace what a home reported of a service before."""
    report = {
        upstream.number: count
        for upstream, count in zip(upstreams, counts, strict=False)
    }
    _replace_report(loads, (origin, service), report)


def drop_reports(loads: Loads, present: frozenset[str]) -> None:
    """Drop the reports of homes that are not present any more."""
    for key in tuple(loads.report_by_key):
        if key[0] not in present:
            _replace_report(loads, key, {})
            loads.report_by_key.pop(key)


def count_arrival(loads: Loads, service: str) -> None:
    """Note a new flow of a service."""
    loads.arrivals_by_service[service] += 1


def update_arrival_rates(loads: Loads) -> None:
    """Renew the rates of arrival; to be called once a second."""
    services = loads.arrivals_by_service.keys() | loads.rate_by_service.keys()
    for service in services:
        arrived = loads.arrivals_by_service.pop(service, 0)
        rate = loads.rate_by_service[service]
        loads.rate_by_service[service] = rate + RATE_WEIGHT * (arrived - rate)


def others_share(loads: Loads, service: str, homes: int) -> float:
    """Return how much the load of other homes counts, in 0 to 1.

    `homes` is the number of homes of the service, this one included.
    """
    rate = loads.rate_by_service.get(service, 0)
    unseen = rate * REPORT_SECONDS * (homes - 1)
    return max(1 / homes, 1 / (1 + unseen))


def _replace_report(
    loads: Loads,
    key: ReportKey,
    report: Mapping[int, int],
) -> None:
    for number, known in loads.report_by_key.get(key, {}).items():
        loads.others_by_number[number] -= known
    for changed, count in report.items():
        loads.others_by_number[changed] += count
    loads.report_by_key[key] = dict(report)
