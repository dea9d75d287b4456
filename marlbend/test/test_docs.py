"""Compare the catalogues in the docs with the code."""

import pathlib
import re

from marlbend import steering
from marlbend.errorcodes import ANSWERS, ErrorKind
from marlbend.events import Event
from marlbend.ownership.packets import Outcome

DOCS = pathlib.Path(__file__).parents[2] / 'docs'


def read_rows(name: str) -> list[list[str]]:
    """Return the cells of every table row of a page but the headings."""
    lines = (DOCS / name).read_text().splitlines()
    rows = [line.strip('|').split('|') for line in lines if line[:1] == '|']
    cells = [[cell.strip() for cell in row] for row in rows]
    return [row for row in cells if re.fullmatch(r'`.*`|\d+', row[0])]


def test_events_are_catalogued() -> None:
    found = {int(row[0]): row[1:3] for row in read_rows('events.md')}
    wanted = {
        event.number: [
            {10: 'DEBUG', 20: 'INFO', 30: 'WARNING', 40: 'ERROR'}[event.level],
            event.text,
        ]
        for event in Event
    }
    assert found == wanted


def test_event_numbers_are_unique() -> None:
    assert len({event.number for event in Event}) == len(Event)


def test_errors_are_catalogued() -> None:
    found = {row[0].strip('`'): row[1:3] for row in read_rows('errors.md')}
    wanted = {
        kind.value: [str(ANSWERS[kind].exit_code), ANSWERS[kind].advice]
        for kind in ErrorKind
    }
    assert found == wanted


def test_outcomes_are_catalogued() -> None:
    rows = read_rows('outcomes.md')
    found = {row[0].strip('`') for row in rows}
    wanted = {
        outcome.name.lower()
        for outcome in (*Outcome, *steering.Outcome)
        if outcome is not Outcome.ACCEPTED
    }
    assert found == wanted


def test_exit_codes_are_unique() -> None:
    codes = [answer.exit_code for answer in ANSWERS.values()]
    assert len(set(codes)) == len(codes) == len(ErrorKind)
