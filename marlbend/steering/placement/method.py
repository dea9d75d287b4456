"""Select the method by which the flows of each service are placed.

Designed for deployments that are in contention only at times: with `adaptive`,
a service is placed by counts of requests until it is in contention, and by
outstanding work, with admission control, until the contention ends.
"""

import enum
from typing import TYPE_CHECKING, final

from marlbend.steering.placement.contention import is_in_contention

if TYPE_CHECKING:
    from marlbend.steering.state import Steering

__all__ = ('PlacementMethod', 'keeps_estimates', 'places_by_work')


@enum.unique
@final
class PlacementMethod(enum.Enum):
    """Enumerate the values of the setting `placement`."""

    REQUESTS = 'requests'
    WORK = 'work'
    ADAPTIVE = 'adaptive'


def places_by_work(steering: 'Steering', service: str) -> bool:
    """Return whether the flows of a service are placed by work now.

    It is asked for each SYN.
    """
    method = steering.local_instance.placement
    if method is PlacementMethod.ADAPTIVE:
        admission = steering.estimates.admission
        return is_in_contention(admission, service, steering.now)
    return method is PlacementMethod.WORK


def keeps_estimates(steering: 'Steering') -> bool:
    """Return whether service times, speeds, work and pressures are kept.

    With `adaptive` they also are without contention, so that they are available
    when it begins.
    """
    return steering.local_instance.placement is not PlacementMethod.REQUESTS
