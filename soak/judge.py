"""Check the promises from what callers and upstreams see, as it happens.

Bounds are those of the platform's rules; where a promise holds only for
parties in touch, `Peace` tells which are.
"""

from collections import Counter
from collections.abc import Iterator
from functools import partial
from typing import Final

import msgspec

from bench.endpoints.callbacks import FlowCallbacks
from bench.endpoints.packets import Endpoint
from marlbend.clock import steady_seconds
from soak.links import Peace

__all__ = (
    'CONTACT_SECONDS',
    'CORE',
    'MACHINE',
    'Arrival',
    'Finding',
    'Judge',
    'Release',
    'judge_opening',
    'judge_refusal',
    'judge_reset',
    'make_witness',
    'report',
    'take_out',
)

CONTACT_SECONDS: Final = 4.0
APPLY_SECONDS: Final = 3.0
LEAVE_SECONDS: Final = 3.0
DOMAIN_SECONDS: Final = 5.0
SLACK_SECONDS: Final = 0.25
COLD_OVERAGE: Final = 1.5
COLD_SLACK: Final = 5
COLD_WINDOW_SECONDS: Final = 1.0
# The platform's store, and this machine where it has no time for processes.
CORE: Final = 'the store'
MACHINE: Final = 'this machine'


# An instance and the number of its process; when a version was proven.
Incarnation = tuple[str, int]
Proof = tuple[float, int]


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


class Arrival(msgspec.Struct, frozen=True):
    """Describe an opening packet that an upstream took.

    `incarnation` is the instance that sent it on, and its process.
    """

    endpoint: Endpoint
    sent_at: float
    upstream: str
    service: str
    domain: str
    incarnation: Incarnation
    cold_rate: float = 0


class Judge(msgspec.Struct):
    """Hold what is promised and what was found.

    `out_by_name` tells since when an upstream or a domain must get nothing
    new, `proven_by_incarnation` which version a process was seen to follow and
    when, `runs` how often each request was run, `ran` and `unrun` which
    attempts were run and which refused.
    """

    peace: Peace
    started_at: float = 0
    findings: list[Finding] = []
    releases: list[Release] = []
    out_by_name: dict[str, float] = {}
    proven_by_incarnation: dict[Incarnation, list[Proof]] = {}
    cold_by_upstream: dict[str, list[float]] = {}
    runs: Counter[str] = msgspec.field(default_factory=Counter)
    ran: set[str] = set()
    unrun: set[str] = set()


def make_witness(judge: Judge) -> FlowCallbacks:
    """Return what the ends of flows tell the judge by."""
    return FlowCallbacks(
        partial(report, judge),
        partial(_judge_run, judge),
        partial(_judge_unrun, judge),
    )


def report(judge: Judge, promise: str, text: str) -> None:
    """Add a finding."""
    at = round(steady_seconds() - judge.started_at, 2)
    judge.findings.append(Finding(at, promise, text))


def take_out(judge: Judge, name: str, bound: float) -> None:
    """Note that a name gets nothing new after a bound, if the store is well.

    What a store acknowledges that is not well starts no bound.
    """
    if judge.peace.holds(CONTACT_SECONDS, CORE):
        judge.out_by_name[name] = steady_seconds() + bound


def judge_opening(judge: Judge, arrival: Arrival) -> None:
    """Judge an opening packet that an upstream took."""
    allowed = [
        each
        for each in judge.releases
        if each.service_by_endpoint.get(arrival.endpoint) == arrival.service
    ]
    instance, _ = arrival.incarnation
    where = f'{arrival.endpoint} at {arrival.upstream} by {instance}'
    if not allowed:
        report(judge, 'route', f'{where}: no release ever let it go there')
        return
    if _is_in_touch(judge, instance):
        for name in (arrival.upstream, arrival.domain):
            if arrival.sent_at > judge.out_by_name.get(name, float('inf')):
                report(judge, 'leaving', f'{where}: {name} is out')
    versions = [each.version for each in allowed]
    _judge_versions(
        judge, arrival.sent_at, arrival.incarnation, (versions, where)
    )
    if arrival.cold_rate:
        _judge_cold(judge, arrival)


def judge_refusal(
    judge: Judge, endpoint: Endpoint, sent_at: float, incarnation: Incarnation
) -> None:
    """Judge a reset of an opening packet on a route that may be there.

    Its service has upstreams to spare, which only an instance in touch has to
    know.
    """
    instance, _ = incarnation
    if not _is_in_touch(judge, instance):
        return
    absent = [
        each.version
        for each in judge.releases
        if endpoint not in each.service_by_endpoint
    ]
    where = f'{endpoint} refused by {instance}'
    _judge_versions(judge, sent_at, incarnation, ([0, *absent], where))


def judge_reset(judge: Judge, instance: str, upstream: str, text: str) -> None:
    """Judge a reset of an open flow by an instance.

    It is the same if the instance sends its packets to an upstream that resets
    what it does not hold.  Planned work disturbs nobody, so a reset at it
    always counts.
    """
    if _is_undisturbed(judge, instance, upstream):
        report(judge, 'broken', f'{text} at {upstream} reset by {instance}')


def _judge_run(
    judge: Judge, request: str, attempt: str, at_most_once: bool
) -> None:
    """Judge that a request is run."""
    judge.ran.add(attempt)
    if attempt in judge.unrun:
        report(judge, 'not run', f'{attempt} ran after it was refused')
    judge.runs[request] += 1
    if at_most_once and judge.runs[request] > 1:
        report(judge, 'twice', f'{request} ran {judge.runs[request]} times')


def _judge_unrun(judge: Judge, attempt: str) -> None:
    """Note that a caller was told that an attempt was not run."""
    judge.unrun.add(attempt)
    if attempt in judge.ran:
        report(judge, 'not run', f'{attempt} was refused after it ran')


def _is_undisturbed(judge: Judge, instance: str, upstream: str) -> bool:
    unplanned = f'{instance} unplanned'
    return judge.peace.holds(CONTACT_SECONDS, unplanned, upstream, MACHINE)


def _is_in_touch(judge: Judge, instance: str) -> bool:
    return judge.peace.holds(CONTACT_SECONDS, instance, CORE, MACHINE)


def _judge_versions(
    judge: Judge,
    sent_at: float,
    incarnation: Incarnation,
    effect: tuple[list[int], str],
) -> None:
    """Judge that an effect is of a release no older than what must hold.

    `effect` is the releases that allow it, and what to say of it.
    """
    allowed, where = effect
    newest = max(allowed)
    if _is_in_touch(judge, incarnation[0]):
        due = max(_find_due(judge, sent_at), default=0)
        if newest < due:
            report(judge, 'late', f'{where}: {newest} but {due} is due')
    proven = judge.proven_by_incarnation.setdefault(incarnation, [])
    seen = [version for at, version in proven if at + SLACK_SECONDS < sent_at]
    if newest < max(seen, default=0) and judge.peace.holds(0, MACHINE):
        report(judge, 'back', f'{where}: {newest} after {max(seen)}')
    oldest = min(allowed)
    if not proven or oldest > proven[-1][1]:
        proven.append((steady_seconds(), oldest))


def _find_due(judge: Judge, sent_at: float) -> Iterator[int]:
    for release in judge.releases:
        if release.acknowledged_at + APPLY_SECONDS < sent_at:
            yield release.version


def _judge_cold(judge: Judge, arrival: Arrival) -> None:
    now = steady_seconds()
    if now - arrival.sent_at > COLD_WINDOW_SECONDS:
        return
    taken = judge.cold_by_upstream.setdefault(arrival.upstream, [])
    taken.append(now)
    recent = [at for at in taken if now - at < COLD_WINDOW_SECONDS]
    judge.cold_by_upstream[arrival.upstream] = recent
    bound = arrival.cold_rate * COLD_OVERAGE + COLD_SLACK
    if len(recent) > bound:
        text = f'{arrival.upstream} got {len(recent)} in a second of {bound}'
        report(judge, 'cold', text)
