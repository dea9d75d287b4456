"""Balance TCP connections over upstreams with many cooperating instances.

The packages are split by concern; each re-exports what others may use.
`marlbend.main` wires them into the daemon, `marlbend.cli` is the tool.
"""

from typing import Final

__all__ = ('VERSION',)

VERSION: Final = '0.2.0'
