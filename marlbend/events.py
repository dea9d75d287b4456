"""Define the log events and write them.

Operators search logs by event number, so the meaning of a number never
changes.  docs/events.md lists the same events; a test compares the two.
"""

import enum
import logging
from typing import Final, final

__all__ = ('Event', 'emit')

_LOGGER: Final = logging.getLogger('marlbend')


@enum.unique
@final
class Event(enum.Enum):
    """Enumerate the events, each with its number, log level and text."""

    STARTED = (100, logging.INFO, 'instance {name} {version} started')
    JOINED = (105, logging.INFO, 'instance {name} {version} joined')
    STATE_CHANGED = (101, logging.INFO, 'state is {state}')
    STOP_REQUESTED = (102, logging.INFO, 'graceful shutdown requested')
    STOPPED = (103, logging.INFO, 'stopped with {flows} flows left')
    CONFIG_APPLIED = (200, logging.INFO, 'configuration {version} applied')
    CONFIG_REJECTED = (201, logging.ERROR, 'configuration rejected: {error}')
    PLATFORM_UNAVAILABLE = (
        300,
        logging.WARNING,
        'platform unavailable ({kind}): {error}',
    )
    PLATFORM_RECOVERED = (
        301,
        logging.INFO,
        'platform available again ({kind})',
    )
    VIEW_CHANGED = (400, logging.INFO, 'membership view {version}: {members}')
    INSTANCE_GONE = (401, logging.WARNING, 'instance {name} is gone')
    FALSE_SUSPICION = (
        402,
        logging.WARNING,
        'peers reported this instance as {state}',
    )
    HANDOVER_SENT = (500, logging.INFO, '{flows} flows handed over to {name}')
    HANDOVER_RECEIVED = (
        501,
        logging.INFO,
        '{flows} flows received from {name}',
    )
    REPLICAS_PROMOTED = (
        503,
        logging.INFO,
        '{flows} flows of lost owners restored from replicas',
    )
    HANDOVER_FAILED = (502, logging.WARNING, 'handover failed: {error}')

    SETTINGS_RELOADED = (
        104,
        logging.INFO,
        'settings reloaded; a restart is needed for {waiting}',
    )
    SETTINGS_REJECTED = (
        106,
        logging.ERROR,
        'settings rejected, the previous ones stay in force: {error}',
    )
    METRICS_UNAVAILABLE = (
        107,
        logging.ERROR,
        'metrics endpoint unavailable: {error}',
    )
    TASK_FAILED = (
        108,
        logging.ERROR,
        'task {name} failed and is started again: {error}',
    )
    DOMAIN_STATE_CHANGED = (
        210,
        logging.INFO,
        'failure domain {domain} is {state}',
    )
    UPSTREAM_REGISTERED = (
        220,
        logging.INFO,
        'upstream {upstream} of {service} in {domain} registered, born {born}',
    )
    UPSTREAM_MISSING = (221, logging.INFO, 'upstream {upstream} is missing')
    UPSTREAM_ENDED = (222, logging.INFO, 'upstream {upstream} ended: {reason}')
    UPSTREAM_EJECTED = (
        223,
        logging.WARNING,
        'upstream {upstream} ejected for {seconds} s: too many short responses',
    )
    STORE_RETURNED = (
        306,
        logging.WARNING,
        'the store came back from a copy: era {era}, {kind} at revision '
        '{revision}, before {known}',
    )
    UPSTREAM_RESTORED = (
        308,
        logging.INFO,
        'upstream {upstream} after the return of the store: {decision}',
    )
    CONTROL_SENT = (
        307,
        logging.INFO,
        'sent {size} bytes to other instances in {seconds} s',
    )
    UPDATE_FAILED = (
        302,
        logging.INFO,
        'cannot read an update from {peer}: {error}',
    )
    PLATFORM_READ = (
        303,
        logging.DEBUG,
        'read {kind} from the platform: {size} bytes in {seconds} s',
    )
    UPDATE_FETCHED = (
        304,
        logging.DEBUG,
        'fetched {kind} from {peer}: {size} bytes in {seconds} s',
    )
    CHANGES_UNUSABLE = (
        305,
        logging.DEBUG,
        'changes of {kind} from {peer} start at revision {since}, not {known}',
    )
    FLOW_OPENED = (600, logging.INFO, 'flow {flow} opened to {upstream}')
    FLOW_REOPENED = (
        601,
        logging.INFO,
        'flow {flow} reopened to {upstream}: no response from {earlier}',
    )
    REQUEST_FORWARDED = (
        602,
        logging.INFO,
        'request {request} of flow {flow} forwarded',
    )
    FLOW_REFUSED = (610, logging.INFO, 'flow {flow} refused: {reason}')
    FLOW_RESET = (
        611,
        logging.INFO,
        'flow {flow} to {upstream} reset: {reason}',
    )
    CONTENTION_STARTED = (
        612,
        logging.WARNING,
        'service {service} is in contention: pressure {pressure}, limit '
        '{limit}',
    )
    CONTENTION_ENDED = (
        613,
        logging.INFO,
        'contention of service {service} ended: pressure {pressure}, limit '
        '{limit}',
    )
    PARTITION_DETECTED = (
        230,
        logging.WARNING,
        'failure domain {domain} seems partitioned',
    )
    PARTITION_ENDED = (
        231,
        logging.INFO,
        'failure domain {domain} is reachable again',
    )

    def __init__(self, number: int, level: int, text: str) -> None:
        """Split the value of a member into named attributes."""
        self.number = number
        self.level = level
        self.text = text


def emit(event: Event, **fields: object) -> None:
    """Log one event, with its fields formatted into its text.

    All fields, also those without a placeholder in the text, become keys of
    the log line.
    """
    if _LOGGER.isEnabledFor(event.level):
        text = event.text.format(**fields)
        extra = {'event': event.number, 'fields': fields}
        _LOGGER.log(event.level, 'E%03d %s', event.number, text, extra=extra)
