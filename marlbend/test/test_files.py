"""Check the loading of settings files and service files.

The cases are in `test-data`.
"""

import pathlib
import tomllib

import pytest

from bench.pairs import draw_day
from marlbend.config import collect_services
from marlbend.errors import MarlbendError
from marlbend.options import load_settings
from marlbend.test.cases import Case, read_cases


@pytest.mark.parametrize(
    'case', read_cases('settings.test'), ids=lambda case: case.name
)
def test_load_settings(case: Case, tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'settings.json'
    path.write_text('\n'.join(case.lines_of('file')))
    expected = case.lines_of('out')
    if not case.lines_of('error'):
        assert load_settings(str(path)).name == 'a-1'
        return
    with pytest.raises(MarlbendError) as caught:
        load_settings(str(path))
    error = caught.value
    assert [error.kind.value] == case.lines_of('error')
    reported = sorted(map(str, error.problems)) or [error.text]
    assert [line.replace(str(path), 'FILE') for line in reported] == expected


@pytest.mark.parametrize(
    'case', read_cases('services.test'), ids=lambda case: case.name
)
def test_collect_services(case: Case, tmp_path: pathlib.Path) -> None:
    paths = []
    for section in case.sections_named('file'):
        path = tmp_path / section.argument
        path.write_text(section.text)
        paths.append(str(path))
    problems: tuple[object, ...] = ()
    try:
        document = collect_services(paths)
    except MarlbendError as error:
        problems = error.problems
    else:
        assert len(document.services) == len(paths)
    reported = sorted(
        str(each).replace(f'{tmp_path}/', '') for each in problems
    )
    assert reported == case.lines_of('out')


def test_drawn_days_are_valid_and_deterministic() -> None:
    for seed in range(200):
        text = draw_day(seed)
        day = tomllib.loads(text)
        assert text == draw_day(seed)
        assert len(day['plan']) + len(day['faults']) >= 4
