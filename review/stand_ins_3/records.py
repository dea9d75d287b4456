"""Write down what happens in a case, and what it breaks."""

import collections
import time


class Record:
    """Hold the record of one run.

    `broken` holds each broken rule with what was seen, and `runs_by_name` how
    often each request began to run.
    """

    __slots__ = (
        '_lines',
        '_path',
        'broken',
        'counts',
        'runs_by_name',
        'started_at',
    )

    def __init__(self, path):
        """Start now; the file is written at the end."""
        self._path = path
        self._lines = []
        self.started_at = time.monotonic()
        self.counts = collections.Counter()
        self.runs_by_name = collections.Counter()
        self.broken = []

    def note(self, text):
        """Add a line with the seconds since the start."""
        elapsed = round(time.monotonic() - self.started_at, 3)
        self._lines.append(f'{elapsed} {text}')

    def fail(self, rule, text):
        """Note that a rule was broken."""
        self.broken.append((rule, text))
        self.note(f'BROKEN {rule}: {text}')

    def close(self):
        """Add the counts and what was broken, and write the file."""
        for name, number in sorted(self.counts.items()):
            self.note(f'count {name}: {number}')
        for rule, text in self.broken:
            self.note(f'result {rule}: {text}')
        self.note(f'rules broken {len(self.broken)} times')
        self._path.write_text('\n'.join([*self._lines, '']))
