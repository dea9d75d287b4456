"""Check the load balancer's invariants on live traffic.

Reports name the violated invariant (`Finding.promise`):

    route      a flow goes to a service to which no release routes it
    leaving    a new flow goes to an upstream or domain that must get none
    late       an instance uses an outdated release
    back       a process uses an older release than before
    broken     an open flow is reset, or its packets go to another upstream
    cold       a cold upstream gets new flows above its warm-up rate
    twice      a request that may run at most once runs again
    not run    an attempt that was rejected runs
    mixed      a caller gets a wrong response or an invalid reset
    changed    an upstream gets a packet that differs from what a caller sent
    ended      a process exits unexpectedly
    log        a process writes a line that isn't JSON
    calls      the instances call the store in a loop without a pause
    recovery   too few requests served or an instance not ready at the end

`leaving` and `late` apply only while the instance, the store and this machine
are undisturbed, `broken` only while the instance has no unplanned disturbance
and the upstream and this machine are undisturbed.  The others always apply.
The time bounds are those of the platform's rules, see docs/soak.md.
"""

from collections import Counter
from collections.abc import Iterator
from functools import partial
from typing import Final

import msgspec

from bench.endpoints.callbacks import FlowCallbacks
from bench.endpoints.packets import Endpoint
from marlbend.clock import steady_seconds
from soak.links import DisturbanceTracker, unplanned_key

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
    'exclude',
    'make_callbacks',
    'report',
)

# `leaving`, `late` and `broken` apply to participants that were undisturbed for
# this long.
QUIET_SECONDS: Final = 4.0
# Time from the store's acknowledgement of a write until a release must be in
# use, and until a draining upstream or a domain that is out must get no new
# flows.
APPLY_BOUND_SECONDS: Final = 3.0
DRAIN_BOUND_SECONDS: Final = 3.0
DOMAIN_OUT_BOUND_SECONDS: Final = 5.0
# A SYN sent this soon after a process was seen to use a version may still use
# an older one.
SLACK_SECONDS: Final = 0.25
# Within one window, a cold upstream may get this multiple of its warm-up rate,
# plus the extra flows.
COLD_RATE_FACTOR: Final = 1.5
COLD_EXTRA_FLOWS: Final = 5
COLD_WINDOW_SECONDS: Final = 1.0
# Participants: the store, and this machine, which is disturbed when it starves
# processes of CPU time.
STORE: Final = 'the store'
MACHINE: Final = 'this machine'


# The name of an instance and the number of its process, one more after each
# restart.
ProcessKey = tuple[str, int]
# The time at which a process was seen to use a version, and the version.
ObservedVersion = tuple[float, int]


class Finding(msgspec.Struct, frozen=True):
    """Record a violated invariant, `promise`, `at` seconds after the start."""

    at: float
    promise: str
    text: str


class Release(msgspec.Struct, frozen=True):
    """Describe a published configuration.

    `acknowledged_at` is infinite until an undisturbed store acknowledges it.
    """

    version: int
    acknowledged_at: float
    service_by_endpoint: dict[Endpoint, str]


class AcceptedSyn(msgspec.Struct, frozen=True):
    """Describe a SYN that an upstream accepted.

    `process_key` is the instance process that forwarded it, `warmup_rate` the
    new flows per second that a cold upstream may get, zero if it isn't cold.
    """

    endpoint: Endpoint
    sent_at: float
    upstream: str
    service: str
    domain: str
    process_key: ProcessKey
    warmup_rate: float = 0


class Checker(msgspec.Struct):
    """Hold the expected state and the findings.

    `deadline_by_name` tells when an upstream or a domain must stop getting new
    flows, `versions_by_process` the versions that a process was seen to
    use.  `run_attempts` and `rejected_attempts` are the attempts that upstreams
    ran and that callers saw rejected.
    """

    disturbances: DisturbanceTracker
    started_at: float = 0
    findings: list[Finding] = []
    releases: list[Release] = []
    deadline_by_name: dict[str, float] = {}
    versions_by_process: dict[ProcessKey, list[ObservedVersion]] = {}
    cold_flow_times_by_upstream: dict[str, list[float]] = {}
    run_count_by_request: Counter[str] = msgspec.field(default_factory=Counter)
    run_attempts: set[str] = set()
    rejected_attempts: set[str] = set()


def make_callbacks(checker: Checker) -> FlowCallbacks:
    """Return the callbacks by which callers and upstreams report events."""
    return FlowCallbacks(
        partial(report, checker),
        partial(_check_run, checker),
        partial(_check_rejected_attempt, checker),
    )


def report(checker: Checker, invariant: str, text: str) -> None:
    """Record a violation of an invariant."""
    at = round(steady_seconds() - checker.started_at, 2)
    checker.findings.append(Finding(at, invariant, text))


def exclude(checker: Checker, name: str, bound: float) -> None:
    """Require that a name gets no new flows after `bound` seconds.

    A write acknowledged by a disturbed store starts no time bound.
    """
    if checker.disturbances.is_quiet(QUIET_SECONDS, STORE):
        checker.deadline_by_name[name] = steady_seconds() + bound


def check_syn(checker: Checker, syn: AcceptedSyn) -> None:
    """Check a SYN that an upstream accepted."""
    allowed = [
        each
        for each in checker.releases
        if each.service_by_endpoint.get(syn.endpoint) == syn.service
    ]
    instance, _ = syn.process_key
    label = f'{syn.endpoint} at {syn.upstream} by {instance}'
    if not allowed:
        report(checker, 'route', f'{label}: no release routes it there')
        return
    if _has_time_bounds(checker, instance):
        for name in (syn.upstream, syn.domain):
            if syn.sent_at > checker.deadline_by_name.get(name, float('inf')):
                report(checker, 'leaving', f'{label}: {name} is out')
    versions = [each.version for each in allowed]
    _check_versions(checker, syn.sent_at, syn.process_key, (versions, label))
    if syn.warmup_rate:
        _check_warmup_rate(checker, syn)


def check_rejection(
    checker: Checker,
    endpoint: Endpoint,
    sent_at: float,
    process_key: ProcessKey,
) -> None:
    """Check a reset in response to a SYN.

    The service has upstreams available, which only an instance to which time
    bounds apply has to know.  Releases without the route allow the rejection.
    """
    instance, _ = process_key
    if not _has_time_bounds(checker, instance):
        return
    absent = [
        each.version
        for each in checker.releases
        if endpoint not in each.service_by_endpoint
    ]
    label = f'{endpoint} rejected by {instance}'
    _check_versions(checker, sent_at, process_key, ([0, *absent], label))


def check_reset(
    checker: Checker, instance: str, upstream: str, text: str
) -> None:
    """Check that an instance may have reset an open flow.

    Forwarding packets to another upstream counts as a reset, because upstreams
    reset flows that they don't hold.  A planned stop or drain excuses no reset.
    """
    if _is_undisturbed(checker, instance, upstream):
        report(checker, 'broken', f'{text} at {upstream} reset by {instance}')


def _check_run(
    checker: Checker, request: str, attempt: str, at_most_once: bool
) -> None:
    """Check that a request may run."""
    checker.run_attempts.add(attempt)
    if attempt in checker.rejected_attempts:
        report(checker, 'not run', f'{attempt} ran after it was rejected')
    checker.run_count_by_request[request] += 1
    if at_most_once and checker.run_count_by_request[request] > 1:
        report(
            checker,
            'twice',
            f'{request} ran {checker.run_count_by_request[request]} times',
        )


def _check_rejected_attempt(checker: Checker, attempt: str) -> None:
    """Check that an attempt that a caller saw rejected did not run."""
    checker.rejected_attempts.add(attempt)
    if attempt in checker.run_attempts:
        report(checker, 'not run', f'{attempt} was rejected after it ran')


def _is_undisturbed(checker: Checker, instance: str, upstream: str) -> bool:
    """Return whether neither of the two excuses a reset."""
    return checker.disturbances.is_quiet(
        QUIET_SECONDS, unplanned_key(instance), upstream, MACHINE
    )


def _has_time_bounds(checker: Checker, instance: str) -> bool:
    """Return whether time bounds apply to an instance."""
    return checker.disturbances.is_quiet(
        QUIET_SECONDS, instance, STORE, MACHINE
    )


def _check_versions(
    checker: Checker,
    sent_at: float,
    process_key: ProcessKey,
    observation: tuple[list[int], str],
) -> None:
    """Check that an instance did not act on an outdated release.

    `observation` holds the versions that allow what it did, and a description.
    The newest of them must not be older than the newest release that is due,
    nor than a version that this process used before.
    """
    allowed, label = observation
    newest = max(allowed)
    if _has_time_bounds(checker, process_key[0]):
        due = max(_find_due_versions(checker, sent_at), default=0)
        if newest < due:
            report(checker, 'late', f'{label}: used {newest}, but {due} is due')
    observed = checker.versions_by_process.setdefault(process_key, [])
    seen = [version for at, version in observed if at + SLACK_SECONDS < sent_at]
    # Starvation ends in the same call in which it begins, so this machine is
    # always quiet for zero seconds: starvation doesn't mute `back`.
    if newest < max(seen, default=0) and checker.disturbances.is_quiet(
        0, MACHINE
    ):
        report(checker, 'back', f'{label}: used {newest} after {max(seen)}')
    oldest = min(allowed)
    if not observed or oldest > observed[-1][1]:
        observed.append((steady_seconds(), oldest))


def _find_due_versions(checker: Checker, sent_at: float) -> Iterator[int]:
    for release in checker.releases:
        if release.acknowledged_at + APPLY_BOUND_SECONDS < sent_at:
            yield release.version


def _check_warmup_rate(checker: Checker, syn: AcceptedSyn) -> None:
    now = steady_seconds()
    # A SYN that was delayed for longer than the window isn't counted.
    if now - syn.sent_at > COLD_WINDOW_SECONDS:
        return
    times = checker.cold_flow_times_by_upstream.setdefault(syn.upstream, [])
    times.append(now)
    recent = [at for at in times if now - at < COLD_WINDOW_SECONDS]
    checker.cold_flow_times_by_upstream[syn.upstream] = recent
    bound = syn.warmup_rate * COLD_RATE_FACTOR + COLD_EXTRA_FLOWS
    if len(recent) > bound:
        text = f'{syn.upstream} got {len(recent)} flows in 1 s, limit {bound}'
        report(checker, 'cold', text)
