"""Keep what other instances report of an upstream, and sum it up.

Designed for hundreds of instances: a choice compares all upstreams of a
service, and each may have a report of every instance.  So the sums are kept
until a report is added, or one of them is too old.
"""

from typing import Final, final

__all__ = (
    'NO_REPORT',
    'OBSERVATION_MAX_AGE_SECONDS',
    'PeerReport',
    'PeerReports',
    'ReportSummary',
    'add_report',
    'expire_reports',
    'remove_report',
    'sum_work',
    'summarize',
)

# Reports of load and of unanswered packets are used up to this age.  Heartbeats
# are sent four times a second; one may be lost.
OBSERVATION_MAX_AGE_SECONDS: Final = 1.0
# Reports of other instances older than this are not used in any decision.
REPORT_EXPIRY_SECONDS: Final = 10.0


@final
class PeerReport:
    """Hold another instance's latest report on an upstream.

    It does not change once it was added.  `received_at` and `unanswered_since`
    are by the clock of this instance.
    `busy` counts requests in progress, and `unanswered` the packets without a
    response since `unanswered_since`.  `responses` and `short_responses` are
    recent counts.  `work_seconds` is the outstanding work, `None` in reports of
    a former release.  `slowdown` is the multiple of the expected time that
    requests take, from a number of `samples`.
    """

    __slots__ = (
        'busy',
        'received_at',
        'responses',
        'samples',
        'short_responses',
        'slowdown',
        'unanswered',
        'unanswered_since',
        'work_seconds',
    )

    def __init__(self, received_at: float, busy: int) -> None:
        """Initialize as most reports are: without unanswered packets."""
        self.received_at = received_at
        self.busy = busy
        self.responses = 0
        self.short_responses = 0
        self.unanswered = 0
        self.unanswered_since: float = 0
        self.work_seconds: float | None = None
        self.slowdown: float = 1
        self.samples: float = 0


# What a remote domain reported of an upstream before any report; it is shared
# by all upstreams, and never changed.
NO_REPORT: Final = PeerReport(0, 0)


@final
class ReportSummary:
    """Sum up the recent reports, from `computed_at` until `valid_until`.

    `busy` is the sum of the requests in progress, and `unanswered` holds the
    reports of unanswered packets.  Work fades with the age of its report:
    `work` is the weighted sum of the seconds as of `computed_at`, and
    `whole_work` the same without weights.  `counted` and `whole_counted` are
    the requests of reports without work.
    """

    __slots__ = (
        'busy',
        'computed_at',
        'counted',
        'unanswered',
        'valid_until',
        'whole_counted',
        'whole_work',
        'work',
    )

    def __init__(self, now: float) -> None:
        """Initialize without a report."""
        self.computed_at = now
        self.valid_until = float('inf')
        self.busy = 0
        self.unanswered: list[PeerReport] = []
        self.work: float = 0
        self.whole_work: float = 0
        self.counted: float = 0
        self.whole_counted = 0


@final
class PeerReports:
    """Hold the latest report of each instance, and the summary if it is known.

    Reports are added with `add_report`, so that the summary is renewed.
    `sampled_at` is when one with samples of the speed was last received.
    """

    __slots__ = ('by_member', 'sampled_at', 'summary')

    def __init__(self) -> None:
        """Initialize without a report."""
        self.by_member: dict[str, PeerReport] = {}
        self.summary: ReportSummary | None = None
        self.sampled_at = float('-inf')


def add_report(reports: PeerReports, member: str, report: PeerReport) -> None:
    """Replace the report of an instance."""
    reports.by_member[member] = report
    reports.summary = None
    if report.samples:
        reports.sampled_at = max(reports.sampled_at, report.received_at)


def remove_report(reports: PeerReports, member: str) -> None:
    """Remove the report of an instance, if there is one."""
    reports.by_member.pop(member, None)
    reports.summary = None


def expire_reports(reports: PeerReports, now: float) -> None:
    """Remove the reports that are too old for any decision."""
    for member, report in tuple(reports.by_member.items()):
        if now - report.received_at > REPORT_EXPIRY_SECONDS:
            remove_report(reports, member)


def summarize(reports: PeerReports, now: float) -> ReportSummary:
    """Return the summary of the recent reports."""
    summary = reports.summary
    if summary is None or not (
        summary.computed_at <= now < summary.valid_until
    ):
        summary = ReportSummary(now)
        oldest = now - OBSERVATION_MAX_AGE_SECONDS
        for report in reports.by_member.values():
            if report.received_at > oldest:
                _add(summary, report, report.received_at - oldest)
        reports.summary = summary
    return summary


def sum_work(reports: PeerReports, now: float) -> tuple[float, float]:
    """Return the reported work in seconds, and requests without known work.

    Each report is weighted by its age, from 1 for a new one to 0 for one that
    is too old.
    """
    summary = summarize(reports, now)
    elapsed = (now - summary.computed_at) / OBSERVATION_MAX_AGE_SECONDS
    work = summary.work - elapsed * summary.whole_work
    counted = summary.counted - elapsed * summary.whole_counted
    # Rounding must not leave negative work.
    return work if work > 0 else 0, counted if counted > 0 else 0


def _add(
    summary: ReportSummary, report: PeerReport, remaining_seconds: float
) -> None:
    weight = remaining_seconds / OBSERVATION_MAX_AGE_SECONDS
    expires_at = report.received_at + OBSERVATION_MAX_AGE_SECONDS
    summary.valid_until = min(summary.valid_until, expires_at)
    summary.busy += report.busy
    if report.unanswered:
        summary.unanswered.append(report)
    if report.work_seconds is None:
        summary.counted += weight * report.busy
        summary.whole_counted += report.busy
    else:
        summary.work += weight * report.work_seconds
        summary.whole_work += report.work_seconds
