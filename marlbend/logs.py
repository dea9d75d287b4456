"""Write the log to standard output as JSON lines, without blocking.

Lines are dropped when the reader of the output is too slow, and when they
exceed a rate limit.  The next line that is written reports how many were lost.
A line longer than `MAX_LINE_BYTES` is cut and then is not valid JSON.
"""

import logging
import os
import time
from collections.abc import Mapping
from typing import Final, final

import msgspec

from marlbend import clock

__all__ = ('JsonLinesHandler', 'configure_logging')

STDOUT_DESCRIPTOR: Final = 1
# Twice the lines of an instance that opens 50 flows per second with one request
# each.  The burst allows for one second at ten times this rate.
LINES_PER_SECOND: Final = 200
BURST_LINES: Final = 2_000
# Longer lines are cut, since a write of more than PIPE_BUF (4096) bytes to a
# pipe may be split.
MAX_LINE_BYTES: Final = 4_000
_MILLISECONDS_PER_SECOND: Final = 1000

_ENCODER: Final = msgspec.json.Encoder(enc_hook=str)


@final
class JsonLinesHandler(logging.Handler):
    """Encode log records as JSON lines and write them without blocking.

    A token bucket limits the rate of lines.
    """

    def __init__(self, instance: str, descriptor: int) -> None:
        """Write to an open descriptor, which is made non-blocking."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._instance = instance
        self._tokens: float = BURST_LINES
        self._refilled_at = time.monotonic()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._take_token():
            self.dropped += 1
            return
        line = _ENCODER.encode(self._list_fields(record))
        try:
            os.write(self._descriptor, b'%s\n' % line[:MAX_LINE_BYTES])
        except OSError:
            # The reader is slow or gone; the failure cannot be logged.
            self.dropped += 1
            return
        self.dropped = 0

    def _take_token(self) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * LINES_PER_SECOND
        self._refilled_at = now
        self._tokens = min(self._tokens + refill, BURST_LINES)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _list_fields(self, record: logging.LogRecord) -> dict[str, object]:
        line_fields: dict[str, object] = {
            'at': int(clock.wall_seconds() * _MILLISECONDS_PER_SECOND),
            'level': record.levelname,
            'instance': self._instance,
        }
        if self.dropped:
            line_fields['lines_dropped'] = self.dropped
        fields = getattr(record, 'fields', None)
        if isinstance(fields, Mapping):
            line_fields['event'] = getattr(record, 'event', 0)
            line_fields.update(fields)
        else:
            line_fields['logger'] = record.name
        line_fields['text'] = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            line_fields['error'] = repr(record.exc_info[1])
        return line_fields


def configure_logging(instance: str, level: str) -> None:
    """Write the records of all loggers to standard output."""
    logging.basicConfig(
        level=level, handlers=[JsonLinesHandler(instance, STDOUT_DESCRIPTOR)]
    )
