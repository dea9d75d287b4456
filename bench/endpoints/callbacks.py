"""Define the callbacks by which the endpoints of flows report events."""

from collections.abc import Callable
from typing import Final

import msgspec

__all__ = ('FlowCallbacks', 'shorten')

SHOWN_BYTES: Final = 60


class FlowCallbacks(msgspec.Struct, frozen=True):
    """Hold the callbacks for what an endpoint of a flow observes.

    `report_violation` gets the violated invariant and a description.
    `record_run` gets a request, the attempt of it that an upstream ran, and
    whether the request may run at most once.  `record_rejection` gets an
    attempt that was rejected, so that no upstream can have run it.
    """

    report_violation: Callable[[str, str], None]
    record_run: Callable[[str, str, bool], None]
    record_rejection: Callable[[str], None]


def shorten(raw: bytes) -> str:
    """Return the representation of the first bytes, for messages."""
    return repr(raw[:SHOWN_BYTES])
