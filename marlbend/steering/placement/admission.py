"""Decide whether a new flow is admitted, held for a moment, or refused.

Designed for more requests than the upstreams can serve in time, on many
instances that know only a part of the load.  Each instance follows what the
upstreams shed of its own flows, so that the sum over all instances fits even if
none receives a heartbeat, and agrees with those whose heartbeats it receives
(`marlbend.steering.placement.pressures`): each shed response lowers the share
of flows that are admitted, each response in time and each second raises it.
The lowest priority has the whole reduction before the next one has any.

An expected wait is no measure of the sum: an upstream with a short queue sheds
long before a request would miss a target of some hundred milliseconds.  So the
target alone limits the wait, and the share limits the number.
"""

import math
from typing import Final, final

from marlbend.steering.placement.callers import (
    CallerShares,
    find_relative_work,
    is_over_share,
    limit_callers,
    record_admitted,
    record_refused,
    was_refused,
)
from marlbend.steering.placement.credits import (
    PriorityCredit,
    find_needed_credit,
    find_relative_cost,
    find_usable_credit,
    record_credit,
)
from marlbend.steering.placement.held_flows import find_deadline
from marlbend.steering.placement.limits import (
    CONTENTION_PRESSURE,
    PRESSURE_SLACK,
    find_highest_pressure,
    limit_at,
    pressure_left,
)
from marlbend.steering.placement.route_activity import (
    RouteActivity,
    record_admitted_route,
)
from marlbend.steering.placement.verdicts import (
    CALLER_SHARE,
    NO_ROOM,
    PRIORITY,
    ROOM,
    WAIT,
    AdmissionRequest,
    Verdict,
    VerdictKind,
)

__all__ = (
    'NO_ROOM',
    'AdmissionRequest',
    'AdmissionState',
    'ServiceAdmission',
    'Verdict',
    'VerdictKind',
    'allowed_wait',
    'believes_free_slots',
    'decide',
    'extend_contention',
    'find_limit',
    'find_pressure',
    'find_service',
    'is_limited',
    'record_served',
    'record_shed',
    'record_verdict',
)

# The share of the target latency that a request may be expected to take.
TARGET_SHARE: Final = 0.8
# Each step of priority above the lowest raises it by this share.
PRIORITY_SHARE: Final = 0.5
# Changes of the logarithm of the admitted share with each response that was
# shed, and with each one that was served in time.  At 1.6 times the capacity,
# 5% of all tries are shed on 30 instances, so a caller with three tries rarely
# fails for that.  A larger step refuses flows that would be served, also where
# all instances agree on the pressure.
SHED_STEP: Final = 0.2
SERVED_STEP: Final = 0.02
# A free slot known to this instance is not believed for this long after an
# upstream with a free slot shed a request: others fill what it can't see.  With
# 0.5 s, half of the flows of the lowest priority were admitted by free slots
# that did not exist, whoever their caller was.
DISBELIEF_SECONDS: Final = 2.0
# A service is in contention for this long after a flow was shed or refused.
CONTENTION_SECONDS: Final = 5.0
OVER_SHARE_WAIT: Final = 0.5
REFUSED_WAIT: Final = 1.25
# A flow is held only if capacity is expected within this time.
MAX_ROOM_SECONDS: Final = 0.1
# The weight of one flow in the mean target of its service.
TARGET_WEIGHT: Final = 0.05
# Above these numbers, the oldest service is removed, and further verdicts are
# counted without their route.
MAX_SERVICES: Final = 64
MAX_COUNTERS: Final = 1_024


@final
class ServiceAdmission:
    """Hold what admission control follows for one service.

    `pressure` is the negative logarithm of the admitted share of the lowest
    priority, plus the slack, as of `updated_at`.  `shed_at` is when a request
    was last shed, here or at an instance that reported it, `disbelieved_at`
    when an upstream with a free slot last did so here, and `contended_at` when
    a flow was last shed or refused.  The service is in contention until
    `contention_ends_at`.  `steps` is the highest number of steps of priority
    seen, `target_seconds` the mean target.  `credit_by_steps` is the credit of
    each priority.
    """

    __slots__ = (
        'caller_shares',
        'contended_at',
        'contention_ends_at',
        'credit_by_steps',
        'disbelieved_at',
        'pressure',
        'shed_at',
        'steps',
        'target_seconds',
        'updated_at',
    )

    def __init__(self) -> None:
        """Initialize without any pressure."""
        self.pressure: float = 0
        self.updated_at: float = 0
        self.shed_at = -math.inf
        self.disbelieved_at = -math.inf
        self.contended_at = -math.inf
        self.contention_ends_at = -math.inf
        self.steps = 0
        self.target_seconds: float = 0
        self.credit_by_steps: dict[int, PriorityCredit] = {}
        self.caller_shares = CallerShares()


@final
class AdmissionState:
    """Hold the state of each service, and counts of verdicts.

    The keys of the counts are the endpoint of the route, the kind of verdict
    and its reason.  `latest` is the verdict that was recorded last, for the log
    line that follows it.  `route_activity` holds which routes are served.
    """

    __slots__ = ('by_service', 'counts', 'latest', 'route_activity')

    def __init__(self) -> None:
        """Initialize without a service."""
        self.by_service: dict[str, ServiceAdmission] = {}
        self.counts: dict[tuple[bytes, str, str], int] = {}
        self.latest: Verdict | None = None
        self.route_activity = RouteActivity()


def is_limited(
    state: AdmissionState, request: AdmissionRequest, now: float
) -> bool:
    """Return whether the limit refuses a flow, whichever upstream is best.

    Most flows of an overload are refused.  With 88 instances, a comparison of
    all upstreams for each of them kept small instances from answering others.
    """
    if not request.target_seconds or not request.is_measured:
        return False
    if request.has_free_slot and believes_free_slots(
        state, request.service, now
    ):
        return False
    known = state.by_service.get(request.service, _UNKNOWN)
    return bool(_find_limit_reason(state, known, request, now))


def believes_free_slots(
    state: AdmissionState, service: str, now: float
) -> bool:
    """Return whether a free slot that this instance knows of is used."""
    known = state.by_service.get(service, _UNKNOWN)
    return now - known.disbelieved_at > DISBELIEF_SECONDS


def decide(
    state: AdmissionState, request: AdmissionRequest, now: float
) -> Verdict:
    """Return what to do with a new flow; change nothing."""
    if not request.target_seconds or not request.is_measured:
        return Verdict(VerdictKind.ADMIT, ROOM)
    known = state.by_service.get(request.service, _UNKNOWN)
    if request.has_free_slot and believes_free_slots(
        state, request.service, now
    ):
        return Verdict(VerdictKind.ADMIT, ROOM)
    reason = _find_obstacle(state, known, request, now)
    if not reason:
        return Verdict(VerdictKind.ADMIT, ROOM)
    if _can_wait(state, request, now):
        return Verdict(VerdictKind.HOLD, WAIT)
    return Verdict(VerdictKind.REFUSE, reason)


def allowed_wait(
    state: AdmissionState, request: AdmissionRequest, now: float
) -> float:
    """Return how long a request may be expected to take, in seconds.

    A route of which nothing is served is judged by the mean target of the
    service, if that is longer.  Otherwise routes with longer targets would fill
    the queues up to theirs, and starve it for as long as the overload lasts.
    """
    known = state.by_service.get(request.service, _UNKNOWN)
    target = request.target_seconds
    if not request.is_route_served:
        target = max(target, known.target_seconds)
    steps = request.priority_steps
    allowed = TARGET_SHARE * (1 + PRIORITY_SHARE * steps) * target
    if not _is_contended(known, now):
        return allowed
    if is_over_share(known.caller_shares, request.caller, now):
        return allowed * OVER_SHARE_WAIT
    if was_refused(known.caller_shares, request.caller, now):
        return allowed * REFUSED_WAIT
    return allowed


def find_limit(
    state: AdmissionState, service: str, priority_steps: int, now: float
) -> float:
    """Return the share of the work of a priority that is admitted."""
    known = state.by_service.get(service, _UNKNOWN)
    return limit_at(find_pressure(known, now), priority_steps)


def record_verdict(
    state: AdmissionState,
    request: AdmissionRequest,
    verdict: Verdict,
    now: float,
) -> None:
    """Count a verdict, and remember what later decisions depend on."""
    state.latest = verdict
    _count(state, request, verdict)
    if verdict.kind is VerdictKind.ADMIT:
        record_admitted_route(state.route_activity, request.endpoint, now)
    if verdict.kind is VerdictKind.HOLD or not request.target_seconds:
        return
    known = find_service(state, request.service)
    known.steps = max(known.steps, request.priority_steps)
    if not known.target_seconds:
        known.target_seconds = request.target_seconds
    excess = request.target_seconds - known.target_seconds
    known.target_seconds += TARGET_WEIGHT * excess
    is_admitted = verdict.kind is VerdictKind.ADMIT
    steps = request.priority_steps
    record_credit(
        known.credit_by_steps.setdefault(steps, PriorityCredit()),
        request,
        find_limit(state, request.service, steps, now),
        is_admitted=is_admitted,
    )
    _record_caller(state, known, request, now, is_admitted=is_admitted)


def record_shed(
    state: AdmissionState,
    service: str,
    now: float,
    *,
    had_free_slot: bool = False,
    priority_steps: int | None = None,
) -> None:
    """Lower the admitted share after a response that looks shed.

    A request limits the flows of its own priority and of lower ones, those of
    all if its `priority_steps` are not given: requests on open flows cannot be
    refused, and would otherwise limit higher priorities for as long as they are
    shed.

    `had_free_slot` is set if this instance knew of a free slot at the upstream,
    which shows that it does not know the whole load.
    """
    known = find_service(state, service)
    steps = known.steps if priority_steps is None else priority_steps
    highest = find_highest_pressure(steps)
    pressure = find_pressure(known, now)
    known.pressure = max(min(pressure + SHED_STEP, highest), pressure)
    known.updated_at = now
    known.shed_at = now
    extend_contention(
        known, now, now, is_evident=known.pressure > CONTENTION_PRESSURE
    )
    if had_free_slot and known.pressure > PRESSURE_SLACK:
        known.disbelieved_at = now


def record_served(
    state: AdmissionState, service: str, *, in_time: bool, now: float
) -> None:
    """Raise the admitted share after a response that met its target."""
    known = state.by_service.get(service)
    if in_time and known is not None:
        known.pressure = max(find_pressure(known, now) - SERVED_STEP, 0)
        known.updated_at = now


def _find_obstacle(
    state: AdmissionState,
    known: ServiceAdmission,
    request: AdmissionRequest,
    now: float,
) -> str:
    """Return the reason not to admit a flow now, empty if there is none."""
    reason = _find_limit_reason(state, known, request, now)
    if reason:
        return reason
    allowed = allowed_wait(state, request, now)
    if request.completion_seconds <= allowed:
        return ''
    is_over = _is_contended(known, now) and is_over_share(
        known.caller_shares, request.caller, now
    )
    usual = allowed / OVER_SHARE_WAIT if is_over else allowed
    is_late = request.completion_seconds > usual
    return NO_ROOM if is_late else CALLER_SHARE


def _find_limit_reason(
    state: AdmissionState,
    known: ServiceAdmission,
    request: AdmissionRequest,
    now: float,
) -> str:
    """Return the reason why the limit refuses a flow, empty if it does not."""
    limit = find_limit(state, request.service, request.priority_steps, now)
    if limit == 1:
        return ''
    priority = known.credit_by_steps.get(request.priority_steps, _NO_CREDIT)
    cost = find_relative_cost(priority, request)
    work = find_relative_work(known.caller_shares, request.caller, now)
    credit = find_usable_credit(priority, request, cost, limit)
    if credit >= find_needed_credit(cost, work):
        return ''
    is_usual_enough = credit >= find_needed_credit(cost, 1)
    return CALLER_SHARE if is_usual_enough else PRIORITY


def _can_wait(
    state: AdmissionState, request: AdmissionRequest, now: float
) -> bool:
    """Return whether capacity for a flow is certain to be available soon.

    It is not while the priority is limited, as others compete for it.
    """
    limit = find_limit(state, request.service, request.priority_steps, now)
    if limit < 1 or request.room_seconds >= MAX_ROOM_SECONDS:
        return False
    deadline = find_deadline(request.target_seconds, request.cost_seconds, now)
    return now + request.room_seconds < deadline


def _record_caller(
    state: AdmissionState,
    known: ServiceAdmission,
    request: AdmissionRequest,
    now: float,
    *,
    is_admitted: bool,
) -> None:
    """Update the shares of the callers, which are kept only in contention."""
    if not is_admitted:
        extend_contention(known, now, now, is_evident=True)
    if not _is_contended(known, now):
        return
    shares = known.caller_shares
    if request.caller not in shares.by_caller:
        services = state.by_service.values()
        limit_callers([each.caller_shares for each in services], now)
    if is_admitted:
        record_admitted(shares, request.caller, request.cost_seconds, now)
    else:
        record_refused(shares, request.caller, now)


def extend_contention(
    known: ServiceAdmission,
    contended_at: float,
    now: float,
    *,
    is_evident: bool,
) -> None:
    """Record that a flow was shed or refused at a time, here or elsewhere.

    The shares of the callers are kept from now on.  Contention begins only if
    it `is_evident`: an upstream that fails sheds some requests before it is
    ejected.  If it has begun, any such flow extends it.
    """
    if not _is_contended(known, now):
        known.caller_shares = CallerShares()
    known.contended_at = max(known.contended_at, contended_at)
    if is_evident or now < known.contention_ends_at:
        known.contention_ends_at = max(
            known.contention_ends_at, contended_at + CONTENTION_SECONDS
        )


def _is_contended(known: ServiceAdmission, now: float) -> bool:
    return now - known.contended_at < CONTENTION_SECONDS


def find_pressure(known: ServiceAdmission, now: float) -> float:
    """Return the pressure of a service, with its decay up to now."""
    left = pressure_left(known.updated_at, known.shed_at, now)
    return known.pressure * left


def find_service(state: AdmissionState, service: str) -> ServiceAdmission:
    """Return the state of a service, a new one if there is none."""
    known = state.by_service.get(service)
    if known is None:
        if len(state.by_service) >= MAX_SERVICES:
            state.by_service.pop(next(iter(state.by_service)))
        known = ServiceAdmission()
        state.by_service[service] = known
    return known


def _count(
    state: AdmissionState, request: AdmissionRequest, verdict: Verdict
) -> None:
    key = (request.endpoint, verdict.kind.value, verdict.reason)
    if key not in state.counts and len(state.counts) >= MAX_COUNTERS:
        key = (b'', verdict.kind.value, verdict.reason)
    state.counts[key] = state.counts.get(key, 0) + 1


# What is known of a service, and of a priority, before the first verdict.  They
# are never changed.
_UNKNOWN: Final = ServiceAdmission()
_NO_CREDIT: Final = PriorityCredit()
