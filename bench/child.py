"""Run a module as `python -m` would, and end with the process that started it.

A measurement that is interrupted must not leave its processes behind.
"""

import ctypes
import runpy
import signal
import sys
from typing import Final

__all__ = ('end_with_parent', 'run')

# From <sys/prctl.h>: the signal a process gets when its parent ends.
_PR_SET_PDEATHSIG: Final = 1


def end_with_parent() -> None:
    """Let this process be killed when the one that started it ends."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def run() -> None:
    """Run the module named first, with the arguments that follow."""
    end_with_parent()
    module = sys.argv.pop(1)
    runpy.run_module(module, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    run()
