"""Compare the tables of events, errors and outcomes in docs with the code."""

import pathlib
import re

from marlbend import steering
from marlbend.errorcodes import DETAILS_BY_KIND, ErrorKind
from marlbend.events import Event
from marlbend.ownership.packets import Outcome

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


def read_rows(name: str) -> list[list[str]]:
    """Return the cells of each table row of a page, without the headings."""
    lines = (DOCS / name).read_text().splitlines()
    rows = [line.strip('|').split('|') for line in lines if line[:1] == '|']
    cells = [[cell.strip() for cell in row] for row in rows]
    return [row for row in cells if re.fullmatch(r'`.*`|\d+', row[0])]


def test_docs_list_all_events() -> None:
    documented = {int(row[0]): row[1:3] for row in read_rows('events.md')}
    expected = {
        event.number: [
            {10: 'DEBUG', 20: 'INFO', 30: 'WARNING', 40: 'ERROR'}[event.level],
            event.text,
        ]
        for event in Event
    }
    assert documented == expected


def test_event_numbers_are_unique() -> None:
    assert len({event.number for event in Event}) == len(Event)


def test_docs_list_all_errors() -> None:
    documented = {row[0].strip('`'): row[1:3] for row in read_rows('errors.md')}
    expected = {
        kind.value: [
            str(DETAILS_BY_KIND[kind].exit_code),
            DETAILS_BY_KIND[kind].advice,
        ]
        for kind in ErrorKind
    }
    assert documented == expected


def test_docs_list_all_outcomes() -> None:
    rows = read_rows('outcomes.md')
    documented = {row[0].strip('`') for row in rows}
    expected = {
        outcome.name.lower()
        for outcome in (*Outcome, *steering.Outcome)
        if outcome is not Outcome.ACCEPTED
    }
    assert documented == expected


def test_exit_codes_are_unique() -> None:
    codes = [details.exit_code for details in DETAILS_BY_KIND.values()]
    assert len(set(codes)) == len(codes) == len(ErrorKind)
