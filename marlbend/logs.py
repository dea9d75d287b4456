"""Write the log to standard output as one JSON object a line.

A line is dropped rather than waited for: when the reader of the output is too
slow, and when lines come faster than a bound.  How many were dropped is told
with the next line that is written.
"""

import logging
import os
import time
from collections.abc import Mapping
from typing import Final, final

import msgspec

from marlbend import clock

__all__ = ('JsonLines', 'start_logging')

STANDARD_OUTPUT: Final = 1
# Twice the lines of an instance that opens fifty flows a second, each with
# one request; a burst of a second at ten times that is kept whole.
LINES_A_SECOND: Final = 200
BURST_LINES: Final = 2_000
# Longer writes to a pipe may be split.
LINE_BYTES: Final = 4_000
_MILLISECONDS: Final = 1000

_ENCODER: Final = msgspec.json.Encoder(enc_hook=str)


@final
class JsonLines(logging.Handler):
    """Encode records and write them without ever blocking."""

    def __init__(self, instance: str, descriptor: int) -> None:
        """Write to an open descriptor, which is set to not block."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._instance = instance
        self._credit: float = BURST_LINES
        self._credited_at = time.monotonic()

    def emit(self, record: logging.LogRecord) -> None:
        """Write one record, or count it as dropped."""
        if not self._spend():
            self.dropped += 1
            return
        line = _ENCODER.encode(self._describe(record))
        try:
            os.write(self._descriptor, b'%s\n' % line[:LINE_BYTES])
        except OSError:
            # The reader is slow or gone; there is nowhere else to say so.
            self.dropped += 1
            return
        self.dropped = 0

    def _spend(self) -> bool:
        now = time.monotonic()
        earned = (now - self._credited_at) * LINES_A_SECOND
        self._credited_at = now
        self._credit = min(self._credit + earned, BURST_LINES)
        if self._credit < 1:
            return False
        self._credit -= 1
        return True

    def _describe(self, record: logging.LogRecord) -> dict[str, object]:
        described: dict[str, object] = {
            'at': int(clock.wall_seconds() * _MILLISECONDS),
            'level': record.levelname,
            'instance': self._instance,
        }
        if self.dropped:
            described['lines_dropped'] = self.dropped
        fields = getattr(record, 'fields', None)
        if isinstance(fields, Mapping):
            described['event'] = getattr(record, 'event', 0)
            described.update(fields)
        else:
            described['logger'] = record.name
        described['text'] = record.getMessage()
        if record.exc_info and record.exc_info[1] is not None:
            described['error'] = repr(record.exc_info[1])
        return described


def start_logging(instance: str, level: str) -> None:
    """Send every logger's lines to standard output."""
    logging.basicConfig(
        level=level, handlers=[JsonLines(instance, STANDARD_OUTPUT)]
    )
