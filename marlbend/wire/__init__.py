"""Define the messages between instances, and their status for the tool."""

from typing import Final

__all__ = ('EXPLAIN_PATH', 'STATUS_PATH')

# Served on the control endpoint of each instance.
STATUS_PATH: Final = '/status'
EXPLAIN_PATH: Final = '/explain'
