"""A layer-4 load balancer for TCP whose instances cooperate.

An instance steers flows in one of two modes: by cookie, which both ends of a
flow echo to the instances, or by owner, where one instance owns each flow.
`marlbend.main` starts the daemon in the mode that its settings select.

- By cookie: `edge` has the daemon, `steering` its decisions, and `wire` the
  messages between its instances.
- By owner: `ownership` has the daemon, its decisions and its messages, and
  `config` the service files.
- Both modes: `platform` has the packets, objects and client of the platform,
  `http` and `observe` are shared, and `cli` is the command-line tool.
"""

from typing import Final

__all__ = ('VERSION',)

VERSION: Final = '0.2.0'
