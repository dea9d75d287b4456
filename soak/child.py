"""Run the daemon with a wall clock that the soak can shift.

Only the function that reads the wall clock is replaced: it adds the seconds in
the file that the first argument names.  The process ends with its parent.
"""

import pathlib
import sys
import time

from bench.child import end_with_parent
from marlbend import clock, main

__all__ = ('run',)


def run() -> None:
    """Run the daemon with the arguments after the first one."""
    end_with_parent()
    shift_path = pathlib.Path(sys.argv.pop(1))

    def shifted_wall_seconds() -> float:
        return time.time() + float(shift_path.read_text() or 0)

    clock.wall_seconds = shifted_wall_seconds
    main.run()


if __name__ == '__main__':
    run()
