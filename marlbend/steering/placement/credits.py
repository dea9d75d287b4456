"""Share the admitted work of a priority among flows of unlike cost.

Designed for an overload in which some routes bring far more work with a flow
than others: where each flow needs the same credit, cheap flows are refused for
the work of expensive ones.

Each flow that requests admission adds the limit to the credit of its priority,
and an admitted one takes its relative cost from it.  Cheap flows need little,
so they can use up all credit before an expensive flow has enough.  So a part of
what a flow above the mean adds is kept for its route.
"""

from typing import Final, final

from marlbend.steering.placement.verdicts import AdmissionRequest

__all__ = (
    'MAX_CREDIT',
    'MAX_ROUTES',
    'MIN_CREDIT',
    'PriorityCredit',
    'RouteCredit',
    'find_needed_credit',
    'find_relative_cost',
    'find_usable_credit',
    'record_credit',
)

# A flow of mean cost needs as much as its caller's work is of the mean, within
# these limits: callers that were admitted less than others come first, and no
# flow needs more than the credit can become.
MIN_CREDIT: Final = 0.5
MAX_CREDIT: Final = 4.0
# A flow weighs more in the mean cost than the one before by this factor, so
# that the mean follows about a hundred flows.
WEIGHT_GROWTH: Final = 1.01
# Above this weight of a flow, all weights are divided by it.
MAX_UNIT: Final = 1e9
# The share of what a flow above the mean cost adds that is kept for its route.
RESERVED_SHARE: Final = 0.25
# A decision reads all routes of its priority.  Above this number, the one
# without a flow for the longest time is removed.
MAX_ROUTES: Final = 64


@final
class RouteCredit:
    """Hold the cost of a flow of one route, and the credit kept for it.

    `flow_seconds` is that of its latest flow, `weight` that of its recent flows
    in the mean, and `reserve` the credit that only they may use.
    """

    __slots__ = ('flow_seconds', 'reserve', 'weight')

    def __init__(self) -> None:
        """Initialize without a flow."""
        self.flow_seconds: float = 0
        self.weight: float = 0
        self.reserve: float = 0


@final
class PriorityCredit:
    """Hold the credit of one priority of a service, and its routes.

    The route with the latest flow is the last one.  `unit` is the weight of the
    next flow.
    """

    __slots__ = ('credit', 'route_by_endpoint', 'unit')

    def __init__(self) -> None:
        """Initialize without a flow."""
        self.credit: float = 0
        self.route_by_endpoint: dict[bytes, RouteCredit] = {}
        self.unit: float = 1


def find_relative_cost(
    known: PriorityCredit, request: AdmissionRequest
) -> float:
    """Return the cost of a flow as a multiple of the mean, 1 if unknown.

    Each route counts with its latest estimate, so that a priority of one route
    has the mean cost however its estimate changes.
    """
    seconds = request.flow_seconds
    if seconds <= 0:
        return 1
    excess: float = 0
    weight: float = 0
    for endpoint, route in known.route_by_endpoint.items():
        weight += route.weight
        if endpoint != request.endpoint:
            excess += route.weight * (route.flow_seconds - seconds)
    return seconds / (seconds + excess / weight) if weight else 1


def find_needed_credit(relative_cost: float, relative_work: float) -> float:
    """Return what a flow needs, by its cost and the work of its caller."""
    usual = min(max(relative_work, MIN_CREDIT), MAX_CREDIT)
    return min(usual * relative_cost, MAX_CREDIT)


def find_usable_credit(
    known: PriorityCredit,
    request: AdmissionRequest,
    relative_cost: float,
    limit: float,
) -> float:
    """Return the credit that a flow may use, with what it adds itself."""
    return max(_add(known, request, relative_cost, limit))


def record_credit(
    known: PriorityCredit,
    request: AdmissionRequest,
    limit: float,
    *,
    is_admitted: bool,
) -> None:
    """Add what a flow adds, and take its cost if it is admitted."""
    relative_cost = find_relative_cost(known, request)
    credit, reserve = _add(known, request, relative_cost, limit)
    if is_admitted and reserve > credit:
        reserve = max(reserve - relative_cost, 0)
    elif is_admitted:
        credit = max(credit - relative_cost, 0)
    known.credit = credit
    _touch(known, request).reserve = reserve


def _add(
    known: PriorityCredit,
    request: AdmissionRequest,
    relative_cost: float,
    limit: float,
) -> tuple[float, float]:
    """Return the common credit and the reserve after a flow added to them."""
    route = known.route_by_endpoint.get(request.endpoint)
    reserve = route.reserve if route else 0
    reserved = limit * RESERVED_SHARE if relative_cost > 1 else 0
    return (
        min(known.credit + limit - reserved, MAX_CREDIT),
        min(reserve + reserved, MAX_CREDIT),
    )


def _touch(known: PriorityCredit, request: AdmissionRequest) -> RouteCredit:
    """Add a flow to the mean; return the record of its route."""
    routes = known.route_by_endpoint
    route = routes.pop(request.endpoint, None)
    if route is None:
        route = RouteCredit()
        if len(routes) >= MAX_ROUTES:
            routes.pop(next(iter(routes)))
    routes[request.endpoint] = route
    route.flow_seconds = request.flow_seconds
    route.weight += known.unit
    known.unit *= WEIGHT_GROWTH
    if known.unit > MAX_UNIT:
        for each in routes.values():
            each.weight /= known.unit
        known.unit = 1
    return route
