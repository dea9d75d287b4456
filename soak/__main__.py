"""Run the soak from the command line.

The last line printed is one JSON object.  If an invariant was violated, the
exit status is 1 and the schedule and the logs are kept.
"""

import argparse
import asyncio
import pathlib
import shutil
import sys
import tempfile
from typing import Final

import msgspec

from soak.run import Report, run_schedule
from soak.schedule import Schedule, draw_schedule

__all__ = ('run',)

DEFAULT_SECONDS: Final = 45.0
FLAG: Final = 'store_true'
SCHEDULE_NAME: Final = 'schedule.json'


def run() -> None:
    """Run the schedule of a seed, or replay a saved one."""
    arguments = _parse()
    schedule = _load_schedule(arguments)
    folder = pathlib.Path(tempfile.mkdtemp(prefix='marlbend-soak-'))
    folder.joinpath(SCHEDULE_NAME).write_bytes(msgspec.json.encode(schedule))
    report = asyncio.run(run_schedule(schedule, folder))
    if report.findings:
        sys.stderr.write(f'schedule and logs kept in {folder}\n')
        for step in schedule.steps:
            sys.stderr.write(f'{step}\n')
    else:
        shutil.rmtree(folder)
    _print_report(report, as_json=arguments.json)
    sys.exit(bool(report.findings))


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='python -m soak')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=DEFAULT_SECONDS)
    parser.add_argument(
        '--instances', type=int, default=0, help='drawn from the seed'
    )
    parser.add_argument(
        '--idle-routes', type=int, default=0, help='routes without traffic'
    )
    parser.add_argument(
        '--returns',
        action=FLAG,
        help='let the store come back from a copy as well',
    )
    parser.add_argument(
        '--lost-handshakes',
        action=FLAG,
        help='lose SYN+ACKs before instances restart as well',
    )
    parser.add_argument(
        '--by-work',
        action=FLAG,
        help='place by the three methods in turn; costs differ by route',
    )
    parser.add_argument('--replay', metavar='FILE', help='a saved schedule')
    parser.add_argument('--json', action=FLAG)
    return parser.parse_args()


def _load_schedule(arguments: argparse.Namespace) -> Schedule:
    if arguments.replay:
        saved = pathlib.Path(arguments.replay).read_bytes()
        return msgspec.json.decode(saved, type=Schedule)
    schedule = draw_schedule(
        arguments.seed,
        arguments.seconds,
        arguments.instances,
        with_returns=arguments.returns,
        with_lost_handshakes=arguments.lost_handshakes,
        with_slow_upstreams=arguments.by_work,
    )
    return msgspec.structs.replace(
        schedule,
        idle_routes=arguments.idle_routes,
        places_by_work=arguments.by_work,
    )


def _print_report(report: Report, *, as_json: bool) -> None:
    if not as_json:
        for key, field in msgspec.to_builtins(report).items():
            sys.stdout.write(f'{key}: {field}\n')
    encoded = msgspec.json.encode(report).decode()
    sys.stdout.write(f'{encoded}\n')


if __name__ == '__main__':
    run()
