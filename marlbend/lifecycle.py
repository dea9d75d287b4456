"""Define the life cycle of an instance.

    starting -> joining -> serving -> leaving -> stopped

A joining instance waits for its first configuration and its first view.  A
leaving instance is home to no flow any more, hands its flows over and goes on
relaying what the fabric still sends.
"""

from typing import Final

from transitions import EventData, Machine

from marlbend.events import Event, emit

__all__ = ('make_lifecycle',)

STARTING: Final = 'starting'
JOINING: Final = 'joining'
SERVING: Final = 'serving'
LEAVING: Final = 'leaving'
STOPPED: Final = 'stopped'

_TRIGGERS: Final = (
    ('bind', [STARTING], JOINING),
    ('serve', [JOINING], SERVING),
    ('leave', [STARTING, JOINING, SERVING], LEAVING),
    ('stop', [STARTING, JOINING, SERVING, LEAVING], STOPPED),
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
    for trigger, sources, target in _TRIGGERS:
        machine.add_transition(trigger, [*sources], target)
    return machine


def _log_state(event: EventData) -> None:
    emit(Event.STATE_CHANGED, state=event.machine.state)
