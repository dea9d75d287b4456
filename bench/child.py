"""Run a module like `python -m`, and end it when the parent process ends.

An interrupted measurement must not leave its processes running.
"""

import ctypes
import runpy
import signal
import sys
from typing import Final

__all__ = ('end_with_parent', 'run')

# From <sys/prctl.h>: set the signal that is sent when the parent ends.
_PR_SET_PDEATHSIG: Final = 1


def end_with_parent() -> None:
    """Have the kernel kill this process when its parent ends."""
    ctypes.CDLL(None).prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def run() -> None:
    """Run the module named by the first argument, with the other arguments."""
    end_with_parent()
    module = sys.argv.pop(1)
    runpy.run_module(module, run_name='__main__', alter_sys=True)


if __name__ == '__main__':
    run()
