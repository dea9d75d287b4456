"""Run a measurement by name and print its report.

The last line of the output is the report as one JSON object.
"""

import argparse
import asyncio
import sys
from collections.abc import Callable, Coroutine, Mapping
from functools import partial
from types import MappingProxyType
from typing import Final

import msgspec

from bench.cost import run_control, run_cost, run_memory
from bench.crash import run_crash
from bench.demo import DemoReport, run_demo
from bench.echo import run_echo
from bench.placing_loads import LOAD_BY_NAME, run_load
from bench.planned import run_planned
from bench.steady import run_steady
from bench.strategies import run_placing

__all__ = ('run',)

Measurement = Callable[[int], Coroutine[None, None, msgspec.Struct]]

MEASUREMENTS: Final[Mapping[str, Measurement]] = MappingProxyType(
    {
        'control': run_control,
        'cost': run_cost,
        'crash': run_crash,
        'demo': run_demo,
        'echo': run_echo,
        'memory': run_memory,
        'placing': run_placing,
        'planned': run_planned,
        'steady': run_steady,
    }
)


def run() -> None:
    """Run the measurement named on the command line."""
    parser = argparse.ArgumentParser(prog='python -m bench')
    parser.add_argument('name', choices=sorted(MEASUREMENTS))
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', action='store_true')
    parser.add_argument(
        '--load', choices=LOAD_BY_NAME, help='compare the methods of placing'
    )
    arguments = parser.parse_args()
    measurement = MEASUREMENTS[arguments.name]
    if arguments.load:
        if measurement is not run_placing:
            parser.error('--load is an option of placing')
        measurement = partial(run_load, arguments.load)
    report: msgspec.Struct = asyncio.run(measurement(arguments.seed))
    if not arguments.json:
        for field, figure in msgspec.to_builtins(report).items():
            sys.stdout.write(f'{field}: {figure}\n')
    encoded = msgspec.json.encode(report).decode()
    sys.stdout.write(f'{encoded}\n')
    if isinstance(report, DemoReport) and not report.is_good():
        sys.exit(1)


if __name__ == '__main__':
    run()
