"""Write the log where its reader is slow, and faster than it may."""

import json
import logging
import os
import pathlib
import time
from contextlib import suppress
from functools import partial

from marlbend.logs import BURST_LINES, LINES_PER_SECOND, JsonLinesHandler


def make_logger(descriptor: int) -> tuple[logging.Logger, JsonLinesHandler]:
    lines = JsonLinesHandler('n1', descriptor)
    logger = logging.Logger('test')
    logger.addHandler(lines)
    return logger, lines


def test_lines_hold_event_and_fields() -> None:
    reader, writer = os.pipe()
    logger, _ = make_logger(writer)
    extra = {'event': 600, 'fields': {'flow': 'x', 'version': 7}}
    logger.info('E600 x opened', extra=extra)
    line = json.loads(os.read(reader, 4096))
    assert line['event'] == 600
    assert line['version'] == 7
    assert line['instance'] == 'n1'
    assert line['text'] == 'E600 x opened'


def test_errors_of_libraries_are_lines_too() -> None:
    reader, writer = os.pipe()
    logger, _ = make_logger(writer)
    logger.error('task failed', exc_info=ValueError('odd'))
    line = json.loads(os.read(reader, 4096))
    assert line['error'] == "ValueError('odd')"
    assert line['level'] == 'ERROR'


def test_reader_that_stands_still_costs_lines_and_no_time() -> None:
    reader, writer = os.pipe()
    logger, lines = make_logger(writer)
    for _ in range(1_500):
        logger.info('x' * 500)
    assert lines.dropped
    os.set_blocking(reader, False)
    with suppress(BlockingIOError):
        list(iter(partial(os.read, reader, 65_536), b''))
    logger.info('again')
    assert json.loads(os.read(reader, 4096))['lines_dropped'] > 0


def test_volume_is_bounded(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'log'
    writer = os.open(path, os.O_CREAT | os.O_WRONLY)
    logger, _ = make_logger(writer)
    started = time.monotonic()
    for _ in range(BURST_LINES * 2):
        logger.info('x')
    earned = LINES_PER_SECOND * (time.monotonic() - started)
    written = len(path.read_text().splitlines())
    assert BURST_LINES <= written <= BURST_LINES + earned + 1
