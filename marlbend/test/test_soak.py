"""Test the schedule and the checker of the soak, and make one short run."""

import asyncio
import pathlib

import pytest

from marlbend.clock import steady_seconds
from soak.checker import (
    STORE,
    AcceptedSyn,
    Checker,
    Release,
    check_rejection,
    check_reset,
    check_syn,
    exclude,
    make_callbacks,
)
from soak.links import DisturbanceTracker
from soak.run import run_schedule
from soak.schedule import FAULT_FREE_SECONDS, draw_schedule

ENDPOINT = ('198.18.0.1', 443)
UNKNOWN_ENDPOINT = ('198.18.0.9', 443)
PROCESS_KEY = ('n-1', 1)


def make_checker(*services: str) -> Checker:
    """Return a checker with releases whose time bounds have passed.

    Each has one route, to the given service.
    """
    checker = Checker(DisturbanceTracker())
    for version, service in enumerate(services, 1):
        acknowledged_at = steady_seconds() - 100 + version
        checker.releases.append(
            Release(
                version, acknowledged_at, {ENDPOINT: service} if service else {}
            )
        )
    return checker


def make_syn(service: str = 'catalog', **changes: object) -> AcceptedSyn:
    """Return an accepted SYN that was sent just now."""
    fields: dict[str, object] = {
        'endpoint': ENDPOINT,
        'sent_at': steady_seconds(),
        'upstream': 'h-1',
        'service': service,
        'domain': 'a',
        'process_key': PROCESS_KEY,
        **changes,
    }
    return AcceptedSyn(**fields)  # type: ignore[arg-type]


def violated_invariants(checker: Checker) -> list[str]:
    return [finding.promise for finding in checker.findings]


def test_schedule_is_deterministic_and_ends_without_faults() -> None:
    for seed in range(50):
        schedule = draw_schedule(seed, 45)
        assert schedule == draw_schedule(seed, 45)
        assert schedule.steps
        for step in schedule.steps:
            assert step.at + step.seconds <= 45 - FAULT_FREE_SECONDS + 0.02


@pytest.mark.parametrize(
    ('option', 'kind'),
    [
        ('with_returns', 'store_returns'),
        ('with_lost_handshakes', 'handshakes_lost'),
        ('with_slow_upstreams', 'slow_upstream'),
    ],
)
def test_options_leave_the_other_steps_as_they_are(
    option: str, kind: str
) -> None:
    for seed in range(50):
        steps = draw_schedule(seed, 45).steps
        more = draw_schedule(seed, 45, **{option: True}).steps
        added = [step for step in more if step not in steps]
        assert set(steps) <= set(more)
        assert {step.kind for step in added} == {kind}


def test_allowed_traffic_gives_no_finding() -> None:
    checker = make_checker('catalog')
    check_syn(checker, make_syn())
    check_rejection(checker, UNKNOWN_ENDPOINT, steady_seconds(), PROCESS_KEY)
    assert not violated_invariants(checker)


def test_flow_to_service_of_no_release() -> None:
    checker = make_checker('catalog', 'catalog')
    check_syn(checker, make_syn('survey'))
    assert violated_invariants(checker) == ['route']


def test_outdated_release_is_found_only_at_undisturbed_instances() -> None:
    checker = make_checker('survey', 'catalog')
    checker.disturbances.begin(['n-1'])
    check_syn(checker, make_syn('survey'))
    assert not violated_invariants(checker)
    check_syn(checker, make_syn('survey', process_key=('n-2', 1)))
    assert violated_invariants(checker) == ['late']


def test_rejection_of_a_route_that_must_be_applied() -> None:
    checker = make_checker('catalog')
    check_rejection(checker, ENDPOINT, steady_seconds(), PROCESS_KEY)
    assert violated_invariants(checker) == ['late']


def test_version_rollback_is_found_also_at_disturbed_instances() -> None:
    checker = make_checker('survey', 'catalog')
    checker.disturbances.begin(['n-1'])
    check_syn(checker, make_syn('catalog'))
    later = steady_seconds() + 1
    check_syn(checker, make_syn('survey', sent_at=later))
    assert violated_invariants(checker) == ['back']


def test_restarted_process_may_use_an_older_version() -> None:
    checker = make_checker('survey', 'catalog')
    checker.disturbances.begin(['n-1'])
    check_syn(checker, make_syn('catalog'))
    later = steady_seconds() + 1
    check_syn(
        checker, make_syn('survey', sent_at=later, process_key=('n-1', 2))
    )
    assert not violated_invariants(checker)


@pytest.mark.parametrize('name', ['h-1', 'a'])
def test_excluded_name_gets_no_new_flows_after_its_time_bound(
    name: str,
) -> None:
    checker = make_checker('catalog')
    exclude(checker, name, 1)
    check_syn(checker, make_syn())
    assert not violated_invariants(checker)
    check_syn(checker, make_syn(sent_at=steady_seconds() + 2))
    assert violated_invariants(checker) == ['leaving']


def test_write_to_disturbed_store_starts_no_time_bound() -> None:
    checker = make_checker('catalog')
    checker.disturbances.begin([STORE])
    exclude(checker, 'h-1', 0)
    checker.disturbances.count_by_name.clear()
    check_syn(checker, make_syn())
    assert not violated_invariants(checker)


def test_cold_upstream_gets_no_more_than_its_warmup_limit() -> None:
    checker = make_checker('catalog')
    # The limit is 1.5 times the warm-up rate, plus 5 flows.
    for _ in range(11):
        check_syn(checker, make_syn(warmup_rate=4))
    assert not violated_invariants(checker)
    check_syn(checker, make_syn(warmup_rate=4))
    assert violated_invariants(checker) == ['cold']


def test_reset_is_found_without_unplanned_disturbance() -> None:
    checker = make_checker('catalog')
    checker.disturbances.begin(['h-2', 'n-2 unplanned'])
    check_reset(checker, 'n-1', 'h-2', 'a flow')
    check_reset(checker, 'n-2', 'h-1', 'a flow')
    assert not violated_invariants(checker)
    # A planned disturbance, recorded under the name alone, excuses no reset.
    checker.disturbances.begin(['n-1'])
    check_reset(checker, 'n-1', 'h-1', 'a flow')
    assert violated_invariants(checker) == ['broken']


def test_requests_that_run_twice_or_although_rejected() -> None:
    checker = make_checker('catalog')
    callbacks = make_callbacks(checker)
    callbacks.record_run('r1', 'r1/0', False)
    callbacks.record_run('r1', 'r1/1', False)
    callbacks.record_run('r2', 'r2/0', True)
    assert not violated_invariants(checker)
    callbacks.record_run('r2', 'r2/1', True)
    assert violated_invariants(checker) == ['twice']
    callbacks.record_rejection('r3/0')
    callbacks.record_run('r3', 'r3/0', True)
    assert violated_invariants(checker) == ['twice', 'not run']
    callbacks.record_run('r4', 'r4/0', True)
    callbacks.record_rejection('r4/0')
    assert violated_invariants(checker) == ['twice', 'not run', 'not run']


def test_short_run_violates_no_invariant(tmp_path: pathlib.Path) -> None:
    schedule = draw_schedule(4, 26, 3)
    report = asyncio.run(run_schedule(schedule, tmp_path))
    assert not report.findings, schedule
    assert report.counts['served'] > 100
