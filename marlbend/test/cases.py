"""Read data-driven cases.

A file holds cases, `[case NAME]`, each with sections, `[NAME]` or `[NAME
ARGUMENT]`, and the lines below them.  Lines that start with `--` are comments.
"""

import pathlib
import re
from collections.abc import Iterator
from typing import Final, final

__all__ = ('Case', 'Section', 'read_cases')

CASE_FOLDER: Final = pathlib.Path(__file__).parents[2] / 'test-data'
_HEADING: Final = re.compile(r'\[(\S+)(?: (.*))?\]')


@final
class Section:
    """Hold the lines below one heading."""

    __slots__ = ('argument', 'lines', 'name')

    def __init__(self, name: str, argument: str) -> None:
        """Start without lines."""
        self.name = name
        self.argument = argument
        self.lines: list[str] = []

    @property
    def text(self) -> str:
        """Return the lines as one text."""
        return '\n'.join(self.lines)


@final
class Case:
    """Hold the sections of one case."""

    __slots__ = ('name', 'sections')

    def __init__(self, name: str) -> None:
        """Start without sections."""
        self.name = name
        self.sections: list[Section] = []

    def all_of(self, name: str) -> Iterator[Section]:
        """Yield the sections of a name."""
        for section in self.sections:
            if section.name == name:
                yield section

    def lines_of(self, name: str) -> list[str]:
        """Return the lines of every section of a name."""
        return [line for part in self.all_of(name) for line in part.lines]


def read_cases(name: str) -> list[Case]:
    """Return the cases of a file in test-data."""
    cases: list[Case] = []
    for line in (CASE_FOLDER / name).read_text().splitlines():
        heading = _HEADING.fullmatch(line)
        if heading and heading.group(1) == 'case':
            cases.append(Case(heading.group(2)))
        elif heading:
            cases[-1].sections.append(_make_section(heading))
        else:
            _add_line(cases, line)
    return cases


def _make_section(heading: re.Match[str]) -> Section:
    return Section(heading.group(1), heading.group(2) or '')


def _add_line(cases: list[Case], line: str) -> None:
    if line.strip() and not line.startswith('--'):
        cases[-1].sections[-1].lines.append(line)
