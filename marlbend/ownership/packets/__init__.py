"""Validate, relay and forward packets."""

from marlbend.ownership.packets.outcomes import Outcome
from marlbend.ownership.packets.path import make_receivers
from marlbend.ownership.packets.state import PacketPath, Senders, update_clock

__all__ = ('Outcome', 'PacketPath', 'Senders', 'make_receivers', 'update_clock')
