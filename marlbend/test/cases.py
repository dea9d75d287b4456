"""Parse the files of data-driven test cases in `test-data`.

A file has cases, `[case NAME]`.  A case has sections, `[NAME]` or `[NAME
ARGUMENT]`, each followed by its lines.  Empty lines and lines that start with
`--` are ignored.
"""

import pathlib
import re
from collections.abc import Iterator
from typing import Final, final

__all__ = ('Case', 'Section', 'read_cases')

TEST_DATA_DIRECTORY: Final = pathlib.Path(__file__).parents[2] / 'test-data'
_HEADING: Final = re.compile(r'\[(\S+)(?: (.*))?\]')


@final
class Section:
    """Hold the heading and the lines of a section."""

    __slots__ = ('argument', 'lines', 'name')

    def __init__(self, name: str, argument: str) -> None:
        """Initialize a section without lines."""
        self.name = name
        self.argument = argument
        self.lines: list[str] = []

    @property
    def text(self) -> str:
        """Return the lines, joined by newlines."""
        return '\n'.join(self.lines)


@final
class Case:
    """Hold the name and the sections of a test case."""

    __slots__ = ('name', 'sections')

    def __init__(self, name: str) -> None:
        """Initialize a case without sections."""
        self.name = name
        self.sections: list[Section] = []

    def sections_named(self, name: str) -> Iterator[Section]:
        """Yield the sections that have this name."""
        for section in self.sections:
            if section.name == name:
                yield section

    def lines_of(self, name: str) -> list[str]:
        """Return the lines of all sections that have this name."""
        return [
            line
            for section in self.sections_named(name)
            for line in section.lines
        ]


def read_cases(name: str) -> list[Case]:
    """Return the test cases of a file in `test-data`."""
    cases: list[Case] = []
    for line in (TEST_DATA_DIRECTORY / name).read_text().splitlines():
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
