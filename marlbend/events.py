"""Number every log event.

Operators search logs by number, so a number never changes its meaning.
docs/events.md lists the same events; a test compares the two.
"""

import enum
import logging
from typing import Final, final

__all__ = ('Event', 'emit')

_LOGGER: Final = logging.getLogger('marlbend')


@enum.unique
@final
class Event(enum.Enum):
    """List the events: number, level and text."""

    STARTED = (100, logging.INFO, 'instance {name} {version} started')
    JOINED = (105, logging.INFO, 'instance {name} {version} joined')
    STATE_CHANGED = (101, logging.INFO, 'state is {state}')
    STOP_ASKED = (102, logging.INFO, 'graceful shutdown asked')
    STOPPED = (103, logging.INFO, 'stopped with {flows} flows left')
    CONFIG_IN_FORCE = (200, logging.INFO, 'configuration {version} in force')
    CONFIG_REFUSED = (201, logging.ERROR, 'configuration refused: {error}')
    PLATFORM_LOST = (300, logging.WARNING, 'platform lost for {kind}: {error}')
    PLATFORM_BACK = (301, logging.INFO, 'platform answers again for {kind}')
    VIEW_CHANGED = (400, logging.INFO, 'view {version}: {members}')
    INSTANCE_GONE = (401, logging.WARNING, 'instance {name} is gone')
    SELF_DOUBTED = (
        402,
        logging.WARNING,
        'others held this instance to be {state}',
    )
    HANDOVER_SENT = (500, logging.INFO, '{flows} flows handed over to {name}')
    HANDOVER_TAKEN = (501, logging.INFO, '{flows} flows taken from {name}')
    REPLICAS_ADOPTED = (
        503,
        logging.INFO,
        '{flows} flows of lost homes taken from copies',
    )
    HANDOVER_FAILED = (502, logging.WARNING, 'hand-over failed: {error}')

    SETTINGS_IN_FORCE = (
        104,
        logging.INFO,
        'settings reloaded; a restart is needed for {waiting}',
    )
    SETTINGS_REFUSED = (
        106,
        logging.ERROR,
        'settings refused, the earlier ones stay: {error}',
    )
    METRICS_UNAVAILABLE = (107, logging.ERROR, 'no metrics: {error}')
    DOMAIN_MOVED = (210, logging.INFO, 'failure domain {domain} is {state}')
    UPSTREAM_REGISTERED = (
        220,
        logging.INFO,
        'upstream {upstream} of {service} in {domain} registered, born {born}',
    )
    UPSTREAM_MISSING = (221, logging.INFO, 'upstream {upstream} is missing')
    UPSTREAM_ENDED = (222, logging.INFO, 'upstream {upstream} ended: {reason}')
    UPSTREAM_AVOIDED = (
        223,
        logging.WARNING,
        'upstream {upstream} gets no new flow for {seconds} s: short answers',
    )
    FETCH_FAILED = (302, logging.INFO, 'nothing learned from {peer}: {error}')
    FLOW_OPENED = (600, logging.INFO, '{flow} opened to {upstream}')
    FLOW_REOPENED = (
        601,
        logging.INFO,
        '{flow} sent to {upstream} as nothing came of {earlier}',
    )
    REQUEST_SENT = (602, logging.INFO, 'request {request} of {flow} sent on')
    FLOW_REFUSED = (610, logging.INFO, '{flow} refused: {reason}')
    FLOW_RESET = (611, logging.INFO, '{flow} of {upstream} reset: {reason}')
    PARTITION_SEEN = (230, logging.WARNING, 'domain {domain} seems cut off')
    PARTITION_OVER = (231, logging.INFO, 'domain {domain} answers again')

    def __init__(self, number: int, level: int, text: str) -> None:
        """Name the three parts of an event."""
        self.number = number
        self.level = level
        self.text = text


def emit(event: Event, **fields: object) -> None:
    """Write one event to the log: its number, its text and its fields.

    Fields that the text does not name are written beside it.
    """
    if _LOGGER.isEnabledFor(event.level):
        text = event.text.format(**fields)
        extra = {'event': event.number, 'fields': fields}
        _LOGGER.log(event.level, 'E%03d %s', event.number, text, extra=extra)
