"""Run the daemon with a time of day that the soak moves.

Only the function that reads the time of day is replaced: it adds what the file
named first holds, in seconds.  The process ends with the one that started it.
"""

import pathlib
import sys
import time

from bench.child import end_with_parent
from marlbend import clock, main

__all__ = ('run',)


def run() -> None:
    """Run the daemon with the arguments after the first."""
    end_with_parent()
    shift_path = pathlib.Path(sys.argv.pop(1))

    def shifted_wall_seconds() -> float:
        return time.time() + float(shift_path.read_text() or 0)

    clock.wall_seconds = shifted_wall_seconds
    main.run()


if __name__ == '__main__':
    run()
