"""Count how updates of a topic reach an instance, and what it serves."""

from typing import final

__all__ = ('TopicTransfers',)


@final
class TopicTransfers:
    """Hold the counters of one topic.

    `reads` counts responses of the platform to lists and watches.  `superseded`
    counts the changes in them that another change to the same object follows in
    the same response.  `fetches` counts replies of other instances,
    `failed_fetches` the requests without a usable reply, and `served` the
    replies to other instances.  `applied_changes` counts changes received from
    other instances that were applied, and `unusable_changes` those that lead
    to a later revision but do not start at the known one.  The names in
    `_bytes` count the bodies of the same responses.
    """

    __slots__ = (
        'applied_changes',
        'failed_fetches',
        'fetched_bytes',
        'fetches',
        'read_bytes',
        'reads',
        'served',
        'served_bytes',
        'superseded',
        'unusable_changes',
    )

    def __init__(self) -> None:
        """Initialize every counter to zero."""
        self.reads = 0
        self.read_bytes = 0
        self.superseded = 0
        self.fetches = 0
        self.fetched_bytes = 0
        self.failed_fetches = 0
        self.served = 0
        self.served_bytes = 0
        self.applied_changes = 0
        self.unusable_changes = 0
