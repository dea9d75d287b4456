"""Check that the kept sums of reports equal what the reports add up to."""

from random import Random

import pytest

from marlbend.steering.reports import (
    OBSERVATION_MAX_AGE_SECONDS,
    PeerReport,
    PeerReports,
    add_report,
    expire_reports,
    remove_report,
    sum_work,
    summarize,
)

START = 1000.0
REQUEST_SECONDS = 0.07
STEPS = 400


def make_report(now: float, random: Random) -> PeerReport:
    report = PeerReport(now, random.randrange(5))
    report.unanswered = random.choice((0, 0, 0, 2))
    if random.randrange(10) < 7:
        report.work_seconds = random.uniform(0, 3)
    return report


def add_up(reports: PeerReports, now: float) -> tuple[int, int, float]:
    """Return the busy count, the unanswered reports, and the work, anew."""
    recent = [
        each
        for each in reports.by_member.values()
        if now - each.received_at < OBSERVATION_MAX_AGE_SECONDS
    ]
    work: float = 0
    for each in recent:
        age = now - each.received_at
        whole = each.work_seconds
        if whole is None:
            whole = each.busy * REQUEST_SECONDS
        work += whole * (1 - age / OBSERVATION_MAX_AGE_SECONDS)
    unanswered = sum(bool(each.unanswered) for each in recent)
    return sum(each.busy for each in recent), unanswered, work


@pytest.mark.parametrize('seed', range(5))
def test_summary_is_renewed_when_reports_arrive_expire_or_go(seed: int) -> None:
    """A stale sum would send flows to a full upstream, or to a dead one."""
    random = Random(seed)
    reports = PeerReports()
    now = START
    for _ in range(STEPS):
        now += random.choice((0, 0.003, 0.1, 0.4))
        member = random.choice('abcdef')
        step = random.randrange(10)
        if step < 3:
            add_report(reports, member, make_report(now, random))
        elif step < 4:
            remove_report(reports, member)
        elif step < 5:
            expire_reports(reports, now)
        summary = summarize(reports, now)
        busy, unanswered, work = add_up(reports, now)
        assert summary.busy == busy
        assert len(summary.unanswered) == unanswered
        reported, counted = sum_work(reports, now)
        found = reported + counted * REQUEST_SECONDS
        assert found == pytest.approx(work)


def test_summary_is_kept_while_nothing_changes() -> None:
    """Each choice would read the reports of all instances again."""
    reports = PeerReports()
    add_report(reports, 'a', PeerReport(START, 3))
    assert summarize(reports, START) is summarize(reports, START + 0.9)
