"""Agree with other instances on the pressure of a service in contention.

Designed for an overload that begins suddenly, on many instances that each see
few of the responses that upstreams shed.  Each instance reports its pressure,
and moves it towards those that others report, so that all have about the mean
of the fleet.  Without that, an instance limits flows only after it saw several
shed responses itself, and more in a failure domain with more demand.
"""

import heapq
import math
from collections.abc import Iterator
from operator import itemgetter
from typing import Final

from marlbend.steering.placement.admission import (
    AdmissionState,
    ServiceAdmission,
    extend_contention,
    find_pressure,
)
from marlbend.steering.placement.limits import (
    CONTENTION_PRESSURE,
    PRESSURE_SLACK,
    find_highest_pressure,
    pressure_left,
)
from marlbend.wire.heartbeats import (
    MAX_PRESSURE,
    MAX_PRESSURES,
    PressureUpdate,
)

__all__ = ('describe_pressures', 'merge_pressure')

# How far a report moves the own pressure towards the reported one.  A quarter
# of the heartbeats comes from other failure domains, four a second: with 0.2,
# a third of a difference between domains would be left after a second.
MERGE_SHARE: Final = 0.5
# Reports whose latest shed response is older are ignored.  After that, all
# pressures decay alike, and no report can prolong a contention.
MAX_AGE_SECONDS: Final = 1.0
# The time that a report took is unknown.  A pressure decays for the usual time,
# so that the mean is preserved.  The age of the latest shed response grows by a
# time that few reports exceed: if it were too low, the response would look more
# recent with each instance that passes it on, and the contention would go on.
USUAL_DELAY_SECONDS: Final = 0.005
MAX_DELAY_SECONDS: Final = 0.05
_MILLISECONDS_PER_SECOND: Final = 1000
_PERCENT: Final = 100


def describe_pressures(
    state: AdmissionState, now: float
) -> Iterator[PressureUpdate]:
    """Yield the pressures to report, the highest first.

    An instance in contention reports a low pressure as well, so that a single
    one that sees many failures is outweighed.
    """
    reported = (
        (find_pressure(known, now), service, known)
        for service, known in state.by_service.items()
        if _is_reported(known, now)
    )
    highest = heapq.nlargest(MAX_PRESSURES, reported, key=itemgetter(0))
    for pressure, service, known in highest:
        # Rounded up: an age that is too low would add up with each hop.
        age = math.ceil((now - known.shed_at) * _MILLISECONDS_PER_SECOND)
        hundredths = min(round(pressure * _PERCENT), MAX_PRESSURE)
        yield PressureUpdate(service, hundredths, max(age, 0))


def merge_pressure(
    state: AdmissionState, update: PressureUpdate, now: float
) -> None:
    """Move the pressure of a service towards a reported one.

    The mean of all instances is preserved, as each is moved by the others.  An
    instance without contention does not report its pressure, so only a reported
    pressure above the slack moves that of the instance.  Contention begins once
    its own pressure is high enough: one other instance alone may be wrong.
    """
    known = state.by_service.get(update.service)
    age = update.age / _MILLISECONDS_PER_SECOND + MAX_DELAY_SECONDS
    if known is None or age > MAX_AGE_SECONDS:
        return
    reported = update.pressure / _PERCENT
    if reported <= PRESSURE_SLACK and now >= known.contention_ends_at:
        return
    reported *= pressure_left(now - USUAL_DELAY_SECONDS, now - age, now)
    reported = min(reported, find_highest_pressure(known.steps))
    own = find_pressure(known, now)
    known.pressure = own + MERGE_SHARE * (reported - own)
    known.updated_at = now
    known.shed_at = max(known.shed_at, now - age)
    extend_contention(
        known,
        now - age,
        now,
        is_evident=known.pressure > CONTENTION_PRESSURE,
    )


def _is_reported(known: ServiceAdmission, now: float) -> bool:
    is_recent = now - known.shed_at <= MAX_AGE_SECONDS
    return is_recent and now < known.contention_ends_at
