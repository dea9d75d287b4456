"""Define the lifecycle of an instance.

    starting -> joining -> serving -> leaving -> stopped

A joining instance waits for its first configuration and membership view.  A
leaving instance owns no flows any more.  It hands its flows over and continues
to relay packets that the fabric still sends to it.
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
class Transition:
    """Describe which trigger leads from which states to which state."""

    __slots__ = ('sources', 'target', 'trigger')

    def __init__(
        self,
        trigger: str,
        sources: tuple[str, ...],
        target: str,
    ) -> None:
        """Define a transition from each of the sources to the target."""
        self.trigger = trigger
        self.sources = sources
        self.target = target


_TRANSITIONS: Final = (
    Transition('bind', (STARTING,), JOINING),
    Transition('serve', (JOINING,), SERVING),
    Transition('leave', (STARTING, JOINING, SERVING), LEAVING),
    Transition('stop', (STARTING, JOINING, SERVING, LEAVING), STOPPED),
)


def make_lifecycle() -> Machine:
    """Return a state machine that is its own model and logs each state."""
    machine = Machine(
        states=[STARTING, JOINING, SERVING, LEAVING, STOPPED],
        initial=STARTING,
        auto_transitions=False,
        send_event=True,
        after_state_change=_log_state,
    )
    for transition in _TRANSITIONS:
        machine.add_transition(
            transition.trigger, list(transition.sources), transition.target
        )
    return machine


def _log_state(event: EventData) -> None:
    emit(Event.STATE_CHANGED, state=event.machine.state)
