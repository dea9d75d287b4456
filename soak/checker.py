"""Check the promises from what callers and upstreams see, as it happens.

Bounds are those of the platform's rules; where a promise holds only for
parties in touch, `DisturbanceTracker` tells which are.
"""

from collections import Counter
from collections.abc import Iterator
from functools import partial
from typing import Final

import msgspec

from bench.ends.packets import Endpoint
from bench.ends.witness import Witness
from marlbend.clock import steady_seconds
from soak.links import DisturbanceTracker

__all__ = (
    'MACHINE',
    'QUIET_SECONDS',
    'STORE',
    'AcceptedSyn',
    'Checker',
    'Finding',
    'Release',
    'check_rejection',
    'check_reset',
    'check_syn',
    'make_flow_callbacks',
    'record_exclusion',
    'record_finding',
)

QUIET_SECONDS: Final = 4.0
APPLY_BOUND_SECONDS: Final = 3.0
DRAIN_BOUND_SECONDS: Final = 3.0
DOMAIN_OUT_BOUND_SECONDS: Final = 5.0
VERSION_SLACK_SECONDS: Final = 0.25
COLD_RATE_FACTOR: Final = 1.5
COLD_EXTRA_FLOWS: Final = 5
COLD_WINDOW_SECONDS: Final = 1.0
# The platform's store, and this machine where it has no time for processes.
STORE: Final = 'the store'
MACHINE: Final = 'this machine'


# An instance and the number of its process; when a version was proven.
Incarnation = tuple[str, int]
ObservedVersion = tuple[float, int]


class Finding(msgspec.Struct, frozen=True):
    """Hold a broken promise; `at` is seconds since the start."""

    at: float
    promise: str
    text: str


class Release(msgspec.Struct, frozen=True):
    """Hold a configuration that the store has acknowledged."""

    version: int
    acknowledged_at: float
    service_by_endpoint: dict[Endpoint, str]


class AcceptedSyn(msgspec.Struct, frozen=True):
    """Describe an opening packet that an upstream took.

    `incarnation` is the instance that sent it on, and its process.
    """

    endpoint: Endpoint
    sent_at: float
    upstream: str
    service: str
    domain: str
    incarnation: Incarnation
    warmup_rate: float = 0


class Checker(msgspec.Struct):
    """Hold what is promised and what was found.

    `excluded_at_by_name` tells since when an upstream or a domain must get nothing
    new, `observed_versions_by_incarnation` which version a process was seen to follow and
    when, `run_count_by_request` how often each request was run, `run_attempts` and `rejected_attempts` which
    attempts were run and which refused.
    """

    disturbances: DisturbanceTracker
    started_at: float = 0
    findings: list[Finding] = []
    releases: list[Release] = []
    excluded_at_by_name: dict[str, float] = {}
    observed_versions_by_incarnation: dict[
        Incarnation, list[ObservedVersion]
    ] = {}
    cold_flow_times_by_upstream: dict[str, list[float]] = {}
    run_count_by_request: Counter[str] = msgspec.field(default_factory=Counter)
    run_attempts: set[str] = set()
    rejected_attempts: set[str] = set()


def make_flow_callbacks(checker: Checker) -> Witness:
    """Return what the ends of flows tell the judge by."""
    return Witness(
        partial(record_finding, checker),
        partial(_check_run, checker),
        partial(_check_rejected_attempt, checker),
    )


def record_finding(checker: Checker, promise: str, text: str) -> None:
    """Add a finding."""
    at = round(steady_seconds() - checker.started_at, 2)
    checker.findings.append(Finding(at, promise, text))


def record_exclusion(checker: Checker, name: str, bound: float) -> None:
    """Note that a name gets nothing new after a bound, if the store is well.

    What a store acknowledges that is not well starts no bound.
    """
    if checker.disturbances.is_quiet(QUIET_SECONDS, STORE):
        checker.excluded_at_by_name[name] = steady_seconds() + bound


def check_syn(checker: Checker, syn: AcceptedSyn) -> None:
    """Judge an opening packet that an upstream took."""
    allowed = [
        each
        for each in checker.releases
        if each.service_by_endpoint.get(syn.endpoint) == syn.service
    ]
    instance, _ = syn.incarnation
    description = f'{syn.endpoint} at {syn.upstream} by {instance}'
    if not allowed:
        record_finding(
            checker, 'route', f'{description}: no release ever let it go there'
        )
        return
    if _has_time_bounds(checker, instance):
        for name in (syn.upstream, syn.domain):
            if syn.sent_at > checker.excluded_at_by_name.get(
                name, float('inf')
            ):
                record_finding(
                    checker, 'leaving', f'{description}: {name} is out'
                )
    versions = [each.version for each in allowed]
    _check_versions(
        checker, syn.sent_at, syn.incarnation, (versions, description)
    )
    if syn.warmup_rate:
        _check_warmup_rate(checker, syn)


def check_rejection(
    checker: Checker,
    endpoint: Endpoint,
    sent_at: float,
    incarnation: Incarnation,
) -> None:
    """Judge a reset of an opening packet on a route that may be there.

    Its service has upstreams to spare, which only an instance in touch has to
    know.
    """
    instance, _ = incarnation
    if not _has_time_bounds(checker, instance):
        return
    absent = [
        each.version
        for each in checker.releases
        if endpoint not in each.service_by_endpoint
    ]
    description = f'{endpoint} refused by {instance}'
    _check_versions(checker, sent_at, incarnation, ([0, *absent], description))


def check_reset(
    checker: Checker, instance: str, upstream: str, text: str
) -> None:
    """Judge a reset of an open flow by an instance.

    It is the same if the instance sends its packets to an upstream that resets
    what it does not hold.  Planned work disturbs nobody, so a reset at it
    always counts.
    """
    if _is_undisturbed(checker, instance, upstream):
        record_finding(
            checker, 'broken', f'{text} at {upstream} reset by {instance}'
        )


def _check_run(
    checker: Checker, request: str, attempt: str, once: bool
) -> None:
    """Judge that a request is run."""
    checker.run_attempts.add(attempt)
    if attempt in checker.rejected_attempts:
        record_finding(
            checker, 'not run', f'{attempt} ran after it was refused'
        )
    checker.run_count_by_request[request] += 1
    if once and checker.run_count_by_request[request] > 1:
        record_finding(
            checker,
            'twice',
            f'{request} ran {checker.run_count_by_request[request]} times',
        )


def _check_rejected_attempt(checker: Checker, attempt: str) -> None:
    """Note that a caller was told that an attempt was not run."""
    checker.rejected_attempts.add(attempt)
    if attempt in checker.run_attempts:
        record_finding(
            checker, 'not run', f'{attempt} was refused after it ran'
        )


def _is_undisturbed(checker: Checker, instance: str, upstream: str) -> bool:
    unplanned = f'{instance} unplanned'
    return checker.disturbances.is_quiet(
        QUIET_SECONDS, unplanned, upstream, MACHINE
    )


def _has_time_bounds(checker: Checker, instance: str) -> bool:
    return checker.disturbances.is_quiet(
        QUIET_SECONDS, instance, STORE, MACHINE
    )


def _check_versions(
    checker: Checker,
    sent_at: float,
    incarnation: Incarnation,
    observation: tuple[list[int], str],
) -> None:
    """Judge that an effect is of a release no older than what must hold.

    `observation` is the releases that allow it, and what to say of it.
    """
    allowed, description = observation
    newest = max(allowed)
    if _has_time_bounds(checker, incarnation[0]):
        due = max(_find_due_versions(checker, sent_at), default=0)
        if newest < due:
            record_finding(
                checker, 'late', f'{description}: {newest} but {due} is due'
            )
    observed = checker.observed_versions_by_incarnation.setdefault(
        incarnation, []
    )
    seen = [
        version
        for at, version in observed
        if at + VERSION_SLACK_SECONDS < sent_at
    ]
    if newest < max(seen, default=0) and checker.disturbances.is_quiet(
        0, MACHINE
    ):
        record_finding(
            checker, 'back', f'{description}: {newest} after {max(seen)}'
        )
    oldest = min(allowed)
    if not observed or oldest > observed[-1][1]:
        observed.append((steady_seconds(), oldest))


def _find_due_versions(checker: Checker, sent_at: float) -> Iterator[int]:
    for release in checker.releases:
        if release.acknowledged_at + APPLY_BOUND_SECONDS < sent_at:
            yield release.version


def _check_warmup_rate(checker: Checker, syn: AcceptedSyn) -> None:
    now = steady_seconds()
    if now - syn.sent_at > COLD_WINDOW_SECONDS:
        return
    times = checker.cold_flow_times_by_upstream.setdefault(syn.upstream, [])
    times.append(now)
    recent = [at for at in times if now - at < COLD_WINDOW_SECONDS]
    checker.cold_flow_times_by_upstream[syn.upstream] = recent
    bound = syn.warmup_rate * COLD_RATE_FACTOR + COLD_EXTRA_FLOWS
    if len(recent) > bound:
        text = f'{syn.upstream} got {len(recent)} in a second of {bound}'
        record_finding(checker, 'cold', text)
