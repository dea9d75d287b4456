"""Hold the wired parts of one instance."""

import asyncio
from collections.abc import Callable, Iterable
from typing import final

from transitions import Machine

from marlbend.homes.flows import Timeouts
from marlbend.homes.flows.replicas import Replicas
from marlbend.homes.members.prober import Letter, Prober
from marlbend.homes.packets import PacketPath
from marlbend.homes.wire.control import ControlMessage
from marlbend.observe.metrics import Metrics
from marlbend.platform.client import PlatformClient

__all__ = ('Instance', 'Outbox')

Address = tuple[str, int]


@final
class Outbox:
    """Send control messages."""

    __slots__ = ('send',)

    def __init__(self, send: Callable[[ControlMessage, Address], int]) -> None:
        """Keep the function that sends a message and returns its bytes."""
        self.send = send

    def send_letters(self, letters: Iterable[Letter]) -> None:
        """Send letters to where they are addressed."""
        for letter in letters:
            self.send(letter.message, letter.address)


@final
class Instance:
    """Hold the wired parts of one instance.

    `config_since` is the monotonic time at which the configuration in force
    was put in force; `stop_asked` starts the graceful shutdown;
    `entered_view` is the version of the view that was last followed.
    """

    __slots__ = (
        'config_since',
        'entered_view',
        'lifecycle',
        'metrics',
        'outbox',
        'path',
        'platform',
        'prober',
        'replicas',
        'stop_asked',
        'stop_seconds',
        'timeouts',
    )

    def __init__(
        self,
        path: PacketPath,
        prober: Prober,
        platform: PlatformClient,
        lifecycle: Machine,
        outbox: Outbox,
    ) -> None:
        """Wire the parts."""
        self.path = path
        self.prober = prober
        self.platform = platform
        self.lifecycle = lifecycle
        self.outbox = outbox
        self.replicas = Replicas()
        self.metrics = Metrics()
        self.stop_asked = asyncio.Event()
        self.stop_seconds: float = 0
        self.timeouts = Timeouts(0, 0, 0)
        self.config_since: float = 0
        self.entered_view = 0
