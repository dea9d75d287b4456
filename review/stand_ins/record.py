"""Keep what clients and hosts saw, for the record and for the check."""

import pathlib
import time
from typing import TextIO

from wire import FlowKey


class Arrival:
    """Hold an opening packet that a host took.

    `sent_at` is when the client sent it, and `node` the address of the machine
    that sent it on.
    """

    __slots__ = ('at', 'host', 'key', 'node', 'sent_at', 'service')

    def __init__(
        self, at: float, sent_at: float, key: FlowKey, node: str
    ) -> None:
        """Leave the host open."""
        self.at = at
        self.sent_at = sent_at
        self.key = key
        self.node = node
        self.host = ''
        self.service = ''


class Record:
    """Write what happens to a file, and hold what the checks need.

    `opened` holds the opening packets of flows in the order in which they
    opened, and `violations` the broken rules.  `sent_at_by_syn` holds when a
    client sent each copy of a SYN, by flow and copy.
    """

    __slots__ = (
        'counts',
        'opened',
        'owner_by_flow',
        'sent_at_by_syn',
        'started_at',
        'text',
        'violations',
    )

    def __init__(self, path: pathlib.Path) -> None:
        """Start an empty file."""
        self.text: TextIO = path.open('w', encoding='utf-8')
        self.started_at = time.monotonic()
        self.opened: list[Arrival] = []
        self.owner_by_flow: dict[FlowKey, str] = {}
        self.sent_at_by_syn: dict[tuple[FlowKey, int], float] = {}
        self.violations: list[str] = []
        self.counts: dict[str, int] = {}


def log_line(record: Record, line: str) -> None:
    """Write a line with the time."""
    seconds = round(time.monotonic() - record.started_at, 3)
    record.text.write(f'{seconds} {line}\n')


def count(record: Record, name: str) -> None:
    """Count an outcome."""
    record.counts[name] = record.counts.get(name, 0) + 1


def report_violation(record: Record, line: str) -> None:
    """Write down a broken rule."""
    record.violations.append(line)
    log_line(record, f'BROKEN {line}')
