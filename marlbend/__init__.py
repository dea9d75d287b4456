"""A layer-4 load balancer for TCP whose instances cooperate.

Each package covers one concern and re-exports its public names.
`marlbend.main` starts the daemon, `marlbend.cli` is the command-line tool.
"""

from typing import Final

__all__ = ('VERSION',)

VERSION: Final = '0.2.0'
