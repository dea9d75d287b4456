"""Type what instances send each other and show the tool."""

from typing import Final

__all__ = ('STATUS_PATH',)

# Served on the control endpoint of each instance.
STATUS_PATH: Final = '/status'
