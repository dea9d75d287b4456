"""Define the life cycle of an instance.

    starting -> joining -> serving -> leaving -> stopped

A joining instance waits for its first configuration and its first view.  A
leaving instance is home to no flow any more, hands its flows over and goes on
relaying what the fabric still sends.
"""

from typing import Final, final

from transitions import EventData, Machine

from marlbend.events import Event, emit

__all__ = ('make_lifecycle',)

STARTING: Final = 'starting'
JOINING: Final = 'joining'
SERVING: Final = 'serving'
LEAVING: Final = 'leaving'
STOPPED: Final = 'stopped'


@final
class Step:
    """Say which trigger leads from which states to which."""

    __slots__ = ('sources', 'target', 'trigger')

    def __init__(
        self,
        trigger: str,
        sources: tuple[str, ...],
        target: str,
    ) -> None:
        """Keep the three."""
        self.trigger = trigger
        self.sources = sources
        self.target = target


_STEPS: Final = (
    Step('bind', (STARTING,), JOINING),
    Step('serve', (JOINING,), SERVING),
    Step('leave', (STARTING, JOINING, SERVING), LEAVING),
    Step('stop', (STARTING, JOINING, SERVING, LEAVING), STOPPED),
)


def make_lifecycle() -> Machine:
    """Return a machine that is its own model and logs each state."""
    machine = Machine(
        states=[STARTING, JOINING, SERVING, LEAVING, STOPPED],
        initial=STARTING,
        auto_transitions=False,
        send_event=True,
        after_state_change=_log_state,
    )
    for step in _STEPS:
        machine.add_transition(step.trigger, list(step.sources), step.target)
    return machine


def _log_state(event: EventData) -> None:
    emit(Event.STATE_CHANGED, state=event.machine.state)
