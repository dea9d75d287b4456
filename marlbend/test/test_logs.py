"""Test the log with a slow reader and with more lines than its limit."""

import json
import logging
import os
import pathlib
import time
from contextlib import suppress
from functools import partial

from marlbend.logs import BURST_LINES, LINES_PER_SECOND, JsonLinesHandler


def make_logger(descriptor: int) -> tuple[logging.Logger, JsonLinesHandler]:
    json_handler = JsonLinesHandler('n1', descriptor)
    logger = logging.Logger('test')
    logger.addHandler(json_handler)
    return logger, json_handler


def test_lines_contain_event_and_fields() -> None:
    reader, writer = os.pipe()
    logger, _ = make_logger(writer)
    extra = {'event': 600, 'fields': {'flow': 'x', 'version': 7}}
    logger.info('E600 x opened', extra=extra)
    line = json.loads(os.read(reader, 4096))
    assert line['event'] == 600
    assert line['version'] == 7
    assert line['instance'] == 'n1'
    assert line['text'] == 'E600 x opened'


def test_library_errors_are_logged() -> None:
    reader, writer = os.pipe()
    logger, _ = make_logger(writer)
    logger.error('task failed', exc_info=ValueError('odd'))
    line = json.loads(os.read(reader, 4096))
    assert line['error'] == "ValueError('odd')"
    assert line['level'] == 'ERROR'


def test_blocked_reader_loses_lines_without_blocking() -> None:
    reader, writer = os.pipe()
    logger, json_handler = make_logger(writer)
    for _ in range(1_500):
        logger.info('x' * 500)
    assert json_handler.dropped
    os.set_blocking(reader, False)
    with suppress(BlockingIOError):
        list(iter(partial(os.read, reader, 65_536), b''))
    logger.info('again')
    assert json.loads(os.read(reader, 4096))['lines_dropped'] > 0


def test_line_rate_is_limited(tmp_path: pathlib.Path) -> None:
    path = tmp_path / 'log'
    writer = os.open(path, os.O_CREAT | os.O_WRONLY)
    logger, _ = make_logger(writer)
    started = time.monotonic()
    for _ in range(BURST_LINES * 2):
        logger.info('x')
    refill = LINES_PER_SECOND * (time.monotonic() - started)
    line_count = len(path.read_text().splitlines())
    assert BURST_LINES <= line_count <= BURST_LINES + refill + 1
