"""Check the soak's schedule and judge, and play one short run."""

import asyncio
import pathlib

import pytest

from marlbend.clock import steady_seconds
from soak.judge import (
    CORE,
    Arrival,
    Judge,
    Release,
    judge_opening,
    judge_refusal,
    judge_reset,
    make_witness,
    take_out,
)
from soak.links import Peace
from soak.run import run_schedule
from soak.schedule import CALM_SECONDS, draw_schedule

ENDPOINT = ('198.18.0.1', 443)
OTHER = ('198.18.0.9', 443)
PROCESS = ('n-1', 1)


def make_judge(*services: str) -> Judge:
    """Return a judge of releases that were published long ago."""
    judge = Judge(Peace())
    for version, service in enumerate(services, 1):
        published = steady_seconds() - 100 + version
        judge.releases.append(
            Release(version, published, {ENDPOINT: service} if service else {})
        )
    return judge


def arrive(service: str = 'catalog', **changes: object) -> Arrival:
    """Return the arrival of an opening packet that has just been sent."""
    parts: dict[str, object] = {
        'endpoint': ENDPOINT,
        'sent_at': steady_seconds(),
        'upstream': 'h-1',
        'service': service,
        'domain': 'a',
        'incarnation': PROCESS,
        **changes,
    }
    return Arrival(**parts)  # type: ignore[arg-type]


def promises(judge: Judge) -> list[str]:
    return [finding.promise for finding in judge.findings]


def test_a_seed_gives_one_schedule_that_ends_calm() -> None:
    for seed in range(50):
        schedule = draw_schedule(seed, 45)
        assert schedule == draw_schedule(seed, 45)
        assert schedule.steps
        for step in schedule.steps:
            assert step.at + step.seconds <= 45 - CALM_SECONDS + 0.02


def test_what_is_allowed_is_no_finding() -> None:
    judge = make_judge('catalog')
    judge_opening(judge, arrive())
    judge_refusal(judge, OTHER, steady_seconds(), PROCESS)
    assert not promises(judge)


def test_service_that_no_release_names() -> None:
    judge = make_judge('catalog', 'catalog')
    judge_opening(judge, arrive('survey'))
    assert promises(judge) == ['route']


def test_old_release_followed_too_late_counts_in_touch_only() -> None:
    judge = make_judge('survey', 'catalog')
    judge.peace.disturb(['n-1'])
    judge_opening(judge, arrive('survey'))
    assert not promises(judge)
    judge_opening(judge, arrive('survey', incarnation=('n-2', 1)))
    assert promises(judge) == ['late']


def test_refusal_of_a_route_that_is_long_there() -> None:
    judge = make_judge('catalog')
    judge_refusal(judge, ENDPOINT, steady_seconds(), PROCESS)
    assert promises(judge) == ['late']


def test_a_process_that_goes_back_counts_also_out_of_touch() -> None:
    judge = make_judge('survey', 'catalog')
    judge.peace.disturb(['n-1'])
    judge_opening(judge, arrive('catalog'))
    later = steady_seconds() + 1
    judge_opening(judge, arrive('survey', sent_at=later))
    assert promises(judge) == ['back']


def test_another_process_of_an_instance_may_know_less() -> None:
    judge = make_judge('survey', 'catalog')
    judge.peace.disturb(['n-1'])
    judge_opening(judge, arrive('catalog'))
    later = steady_seconds() + 1
    judge_opening(
        judge, arrive('survey', sent_at=later, incarnation=('n-1', 2))
    )
    assert not promises(judge)


@pytest.mark.parametrize('name', ['h-1', 'a'])
def test_leaving_gets_nothing_new_after_its_bound(name: str) -> None:
    judge = make_judge('catalog')
    take_out(judge, name, 1)
    judge_opening(judge, arrive())
    assert not promises(judge)
    judge_opening(judge, arrive(sent_at=steady_seconds() + 2))
    assert promises(judge) == ['leaving']


def test_what_an_unwell_store_says_starts_no_bound() -> None:
    judge = make_judge('catalog')
    judge.peace.disturb([CORE])
    take_out(judge, 'h-1', 0)
    judge.peace.count_by_name.clear()
    judge_opening(judge, arrive())
    assert not promises(judge)


def test_cold_upstream_gets_its_rate_and_no_more() -> None:
    judge = make_judge('catalog')
    # One and a half times the rate, and five.
    for _ in range(11):
        judge_opening(judge, arrive(cold_rate=4))
    assert not promises(judge)
    judge_opening(judge, arrive(cold_rate=4))
    assert promises(judge) == ['cold']


def test_reset_of_an_open_flow_while_nobody_is_disturbed() -> None:
    judge = make_judge('catalog')
    judge.peace.disturb(['h-2', 'n-2 unplanned'])
    judge_reset(judge, 'n-1', 'h-2', 'a flow')
    judge_reset(judge, 'n-2', 'h-1', 'a flow')
    assert not promises(judge)
    # Planned work disturbs nobody.
    judge.peace.disturb(['n-1'])
    judge_reset(judge, 'n-1', 'h-1', 'a flow')
    assert promises(judge) == ['broken']


def test_requests_that_run_twice_or_after_a_refusal() -> None:
    judge = make_judge('catalog')
    witness = make_witness(judge)
    witness.record_run('r1', 'r1/0', False)
    witness.record_run('r1', 'r1/1', False)
    witness.record_run('r2', 'r2/0', True)
    assert not promises(judge)
    witness.record_run('r2', 'r2/1', True)
    assert promises(judge) == ['twice']
    witness.record_rejection('r3/0')
    witness.record_run('r3', 'r3/0', True)
    assert promises(judge) == ['twice', 'not run']
    witness.record_run('r4', 'r4/0', True)
    witness.record_rejection('r4/0')
    assert promises(judge) == ['twice', 'not run', 'not run']


def test_short_run_keeps_every_promise(tmp_path: pathlib.Path) -> None:
    schedule = draw_schedule(4, 26, 3)
    report = asyncio.run(run_schedule(schedule, tmp_path))
    assert not report.findings, schedule
    assert report.counts['served'] > 100
