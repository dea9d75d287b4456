"""Hold the components of one instance."""

import asyncio
from collections.abc import Callable, Iterable
from typing import final

from transitions import Machine

from marlbend.observe.metrics import Metrics
from marlbend.ownership.flows import Timeouts
from marlbend.ownership.flows.replicas import Replicas
from marlbend.ownership.members.failure_detector import (
    Envelope,
    FailureDetector,
)
from marlbend.ownership.packets import PacketPath
from marlbend.ownership.wire.control import ControlMessage
from marlbend.platform.client import PlatformClient

__all__ = ('Instance', 'Outbox')

Address = tuple[str, int]


@final
class Outbox:
    """Send control messages."""

    __slots__ = ('send',)

    def __init__(self, send: Callable[[ControlMessage, Address], int]) -> None:
        """Set the function that sends a message and returns its size."""
        self.send = send

    def send_all(self, outgoing: Iterable[Envelope]) -> None:
        """Send each message to its address."""
        for each in outgoing:
            self.send(each.message, each.address)


@final
class Instance:
    """Hold the components of one instance.

    `config_applied_at` is the monotonic time at which the active configuration
    was applied; `stop_requested` starts the graceful shutdown;
    `applied_view_version` is the version of the membership view that flows and
    load reports were last updated for.
    """

    __slots__ = (
        'applied_view_version',
        'config_applied_at',
        'detector',
        'lifecycle',
        'metrics',
        'outbox',
        'path',
        'platform',
        'replicas',
        'stop_requested',
        'stop_seconds',
        'timeouts',
    )

    def __init__(
        self,
        path: PacketPath,
        detector: FailureDetector,
        platform: PlatformClient,
        lifecycle: Machine,
        outbox: Outbox,
    ) -> None:
        """Start with no configuration, no view and zero timeouts."""
        self.path = path
        self.detector = detector
        self.platform = platform
        self.lifecycle = lifecycle
        self.outbox = outbox
        self.replicas = Replicas()
        self.metrics = Metrics()
        self.stop_requested = asyncio.Event()
        self.stop_seconds: float = 0
        self.timeouts = Timeouts(0, 0, 0)
        self.config_applied_at: float = 0
        self.applied_view_version = 0
