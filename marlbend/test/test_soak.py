"""Check the soak's schedule and judge, and play one short run."""

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
    make_flow_callbacks,
    record_exclusion,
)
from soak.links import DisturbanceTracker
from soak.run import run_schedule
from soak.schedule import FAULT_FREE_SECONDS, draw_schedule

ENDPOINT = ('198.18.0.1', 443)
UNKNOWN_ENDPOINT = ('198.18.0.9', 443)
INCARNATION = ('n-1', 1)


def make_checker(*services: str) -> Checker:
    """Return a judge of releases that were published long ago."""
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
    """Return the arrival of an opening packet that has just been sent."""
    fields: dict[str, object] = {
        'endpoint': ENDPOINT,
        'sent_at': steady_seconds(),
        'upstream': 'h-1',
        'service': service,
        'domain': 'a',
        'incarnation': INCARNATION,
        **changes,
    }
    return AcceptedSyn(**fields)  # type: ignore[arg-type]


def violated_promises(checker: Checker) -> list[str]:
    return [finding.promise for finding in checker.findings]


def test_a_seed_gives_one_schedule_that_ends_calm() -> None:
    for seed in range(50):
        schedule = draw_schedule(seed, 45)
        assert schedule == draw_schedule(seed, 45)
        assert schedule.steps
        for step in schedule.steps:
            assert step.at + step.seconds <= 45 - FAULT_FREE_SECONDS + 0.02


def test_what_is_allowed_is_no_finding() -> None:
    checker = make_checker('catalog')
    check_syn(checker, make_syn())
    check_rejection(checker, UNKNOWN_ENDPOINT, steady_seconds(), INCARNATION)
    assert not violated_promises(checker)


def test_service_that_no_release_names() -> None:
    checker = make_checker('catalog', 'catalog')
    check_syn(checker, make_syn('survey'))
    assert violated_promises(checker) == ['route']


def test_old_release_followed_too_late_counts_in_touch_only() -> None:
    checker = make_checker('survey', 'catalog')
    checker.disturbances.begin(['n-1'])
    check_syn(checker, make_syn('survey'))
    assert not violated_promises(checker)
    check_syn(checker, make_syn('survey', incarnation=('n-2', 1)))
    assert violated_promises(checker) == ['late']


def test_refusal_of_a_route_that_is_long_there() -> None:
    checker = make_checker('catalog')
    check_rejection(checker, ENDPOINT, steady_seconds(), INCARNATION)
    assert violated_promises(checker) == ['late']


def test_a_process_that_goes_back_counts_also_out_of_touch() -> None:
    checker = make_checker('survey', 'catalog')
    checker.disturbances.begin(['n-1'])
    check_syn(checker, make_syn('catalog'))
    later = steady_seconds() + 1
    check_syn(checker, make_syn('survey', sent_at=later))
    assert violated_promises(checker) == ['back']


def test_another_process_of_an_instance_may_know_less() -> None:
    checker = make_checker('survey', 'catalog')
    checker.disturbances.begin(['n-1'])
    check_syn(checker, make_syn('catalog'))
    later = steady_seconds() + 1
    check_syn(
        checker, make_syn('survey', sent_at=later, incarnation=('n-1', 2))
    )
    assert not violated_promises(checker)


@pytest.mark.parametrize('name', ['h-1', 'a'])
def test_leaving_gets_nothing_new_after_its_bound(name: str) -> None:
    checker = make_checker('catalog')
    record_exclusion(checker, name, 1)
    check_syn(checker, make_syn())
    assert not violated_promises(checker)
    check_syn(checker, make_syn(sent_at=steady_seconds() + 2))
    assert violated_promises(checker) == ['leaving']


def test_what_an_unwell_store_says_starts_no_bound() -> None:
    checker = make_checker('catalog')
    checker.disturbances.begin([STORE])
    record_exclusion(checker, 'h-1', 0)
    checker.disturbances.count_by_name.clear()
    check_syn(checker, make_syn())
    assert not violated_promises(checker)


def test_cold_upstream_gets_its_rate_and_no_more() -> None:
    checker = make_checker('catalog')
    # One and a half times the rate, and five.
    for _ in range(11):
        check_syn(checker, make_syn(warmup_rate=4))
    assert not violated_promises(checker)
    check_syn(checker, make_syn(warmup_rate=4))
    assert violated_promises(checker) == ['cold']


def test_reset_of_an_open_flow_while_nobody_is_disturbed() -> None:
    checker = make_checker('catalog')
    checker.disturbances.begin(['h-2', 'n-2 unplanned'])
    check_reset(checker, 'n-1', 'h-2', 'a flow')
    check_reset(checker, 'n-2', 'h-1', 'a flow')
    assert not violated_promises(checker)
    # Planned work disturbs nobody.
    checker.disturbances.begin(['n-1'])
    check_reset(checker, 'n-1', 'h-1', 'a flow')
    assert violated_promises(checker) == ['broken']


def test_requests_that_run_twice_or_after_a_refusal() -> None:
    checker = make_checker('catalog')
    witness = make_flow_callbacks(checker)
    witness.ran('r1', 'r1/0', False)
    witness.ran('r1', 'r1/1', False)
    witness.ran('r2', 'r2/0', True)
    assert not violated_promises(checker)
    witness.ran('r2', 'r2/1', True)
    assert violated_promises(checker) == ['twice']
    witness.refused('r3/0')
    witness.ran('r3', 'r3/0', True)
    assert violated_promises(checker) == ['twice', 'not run']
    witness.ran('r4', 'r4/0', True)
    witness.refused('r4/0')
    assert violated_promises(checker) == ['twice', 'not run', 'not run']


def test_short_run_keeps_every_promise(tmp_path: pathlib.Path) -> None:
    schedule = draw_schedule(4, 26, 3)
    report = asyncio.run(run_schedule(schedule, tmp_path))
    assert not report.findings, schedule
    assert report.counts['served'] > 100
