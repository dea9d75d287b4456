"""Draw days for the users' bench with kinds of trouble close together.

    python -m bench.pairs --seed N > DAY.toml

A day has two pairs or triples of kinds that overlap or follow within five
seconds.  The bench's own hunts seldom put two kinds so close.  `fleetbench
kinds` explains the fields.  The same seed gives the same day.
"""

import argparse
import sys
from collections.abc import Iterator, Mapping
from random import Random
from types import MappingProxyType
from typing import Final

__all__ = ('draw_day',)

DAY_SECONDS: Final = 34.0
# When the first and the second group of kinds begin.
GROUP_STARTS: Final = (4.0, 17.0)
MAX_GAP_SECONDS: Final = 5.0
MIN_LENGTH_SECONDS: Final = 1.5
MAX_LENGTH_SECONDS: Final = 6.0
MAX_GROUP: Final = 3

_Fields = Mapping[str, object]
_VariantsByKind = Mapping[str, tuple[_Fields, ...]]

# The variants of each kind.  A `for_s` of zero stands for a drawn length.
PLANNED_KINDS: Final[_VariantsByKind] = MappingProxyType(
    {
        'release': ({'share': 0.3, 'gap_s': 0.9}, {'share': 0.4, 'x': 8.0}),
        'scale_in': ({'share': 0.15}, {'share': 0.15, 'how': 'spot'}),
        'roll_term': (
            {'share': 0.4, 'gap_s': 0.8},
            {'share': 0.4, 'x': 4.0, 'how': 'busy'},
        ),
        'add_nodes': ({'share': 1.0},),
        'hup': ({'share': 0.5, 'gap_s': 1.0},),
        'config_change': ({'how': 'route'}, {'how': 'weights'}),
        'config_storm': ({'for_s': 0, 'gap_s': 0.33},),
        'big_config': ({'count': 400}, {'count': 1400}),
        'evacuate': ({'for_s': 0}, {'for_s': 0, 'how': 'warm'}),
    }
)
FAULT_KINDS: Final[_VariantsByKind] = MappingProxyType(
    {
        'srv_crash': ({'share': 0.15},),
        'srv_grey': ({'share': 0.15, 'for_s': 0, 'how': 'mute'},),
        'srv_flap': ({'share': 0.15, 'for_s': 0, 'gap_s': 1.0},),
        'replace_with_reuse': ({'share': 0.15, 'how': 'dark'},),
        'cold_return': ({'for_s': 0},),
        'node_kill': ({'share': 0.1, 'for_s': 1.0},),
        'node_freeze': ({'share': 0.1, 'for_s': 0},),
        'herd_kill': ({'share': 0.6},),
        'zone_cut': ({'for_s': 0},),
        'core_cut': ({'count': 2, 'for_s': 0, 'how': 'leader'},),
        'platform_down': (
            {'for_s': 0, 'how': 'lapse'},
            {'for_s': 0, 'how': 'nodes busy'},
        ),
        'platform_slow': ({'for_s': 0},),
        'platform_lost': ({'for_s': 0, 'how': 'late'},),
        'platform_compact': ({'for_s': 0, 'how': 'drain'},),
    }
)


def draw_day(seed: int) -> str:
    """Return the day of a seed as TOML."""
    random = Random(seed)
    lines = [f'name = "pairs-{seed}"', f'length_s = {DAY_SECONDS}']
    entries_by_list: dict[str, list[str]] = {'plan': [], 'faults': []}
    for start in GROUP_STARTS:
        for list_name, entry in _draw_group(random, start):
            entries_by_list[list_name].append(entry)
    for name, entries in entries_by_list.items():
        joined = ', '.join(entries)
        lines.append(f'{name} = [{joined}]')
    return '\n'.join(lines)


def _draw_group(random: Random, start: float) -> Iterator[tuple[str, str]]:
    kinds = sorted({*PLANNED_KINDS, *FAULT_KINDS})
    at = start
    for kind in random.sample(kinds, random.randint(2, MAX_GROUP)):
        is_planned = kind in PLANNED_KINDS
        variants = (PLANNED_KINDS if is_planned else FAULT_KINDS)[kind]
        fields = dict(random.choice(variants))
        if fields.get('for_s') == 0:
            fields['for_s'] = _draw_length(random)
        entry = _format_entry({'at': round(at, 1), 'kind': kind, **fields})
        yield 'plan' if is_planned else 'faults', entry
        at += random.uniform(0, MAX_GAP_SECONDS)


def _draw_length(random: Random) -> float:
    return round(random.uniform(MIN_LENGTH_SECONDS, MAX_LENGTH_SECONDS), 1)


def _format_entry(fields: _Fields) -> str:
    parts = (
        f'{name} = "{field}"' if isinstance(field, str) else f'{name} = {field}'
        for name, field in fields.items()
    )
    joined = ', '.join(parts)
    return f'{{ {joined} }}'


def run() -> None:
    """Print the day of the seed from the command line."""
    parser = argparse.ArgumentParser(prog='python -m bench.pairs')
    parser.add_argument('--seed', type=int, default=1)
    sys.stdout.write(f'{draw_day(parser.parse_args().seed)}\n')


if __name__ == '__main__':
    run()
