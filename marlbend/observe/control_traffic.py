"""Count what an instance sends to other instances, by cause."""

import enum
from typing import final

__all__ = ('Cause', 'ControlTraffic', 'record_deferred', 'record_sent')


@enum.unique
@final
class Cause(enum.Enum):
    """Name why something is sent to other instances.

    `PERIODIC` heartbeats are sent whatever happens.  `URGENT` ones report
    upstreams that stop responding, those for a `CHANGE` a newer revision of a
    topic, and `REOPENED` ones flows whose SYN went to several upstreams.  A
    `REPLY` was requested by an instance that has just started or is alone, a
    `TOPIC` is the response to a fetch, and `LEAVING` is sent once.
    """

    PERIODIC = 'periodic'
    URGENT = 'urgent'
    CHANGE = 'change'
    REPLY = 'reply'
    TOPIC = 'topic'
    LEAVING = 'leaving'
    REOPENED = 'reopened'


@final
class ControlTraffic:
    """Hold the counters of what was sent, by cause.

    `bytes_by_cause` counts payloads, without the headers of the network.
    `messages_by_cause` counts datagrams and responses, and `deferred_by_cause`
    those that were not sent because the budget was spent.
    """

    __slots__ = ('bytes_by_cause', 'deferred_by_cause', 'messages_by_cause')

    def __init__(self) -> None:
        """Initialize every counter to zero."""
        self.bytes_by_cause = dict.fromkeys(Cause, 0)
        self.messages_by_cause = dict.fromkeys(Cause, 0)
        self.deferred_by_cause = dict.fromkeys(Cause, 0)


def record_sent(traffic: ControlTraffic, cause: Cause, size: int) -> None:
    """Count one message of `size` bytes."""
    traffic.bytes_by_cause[cause] += size
    traffic.messages_by_cause[cause] += 1


def record_deferred(
    traffic: ControlTraffic, cause: Cause, messages: int
) -> None:
    """Count messages that were not sent because the budget was spent."""
    traffic.deferred_by_cause[cause] += messages
