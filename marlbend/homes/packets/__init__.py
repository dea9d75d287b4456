"""Validate, relay and forward packets."""

from marlbend.homes.packets.outcomes import Outcome
from marlbend.homes.packets.path import make_receivers
from marlbend.homes.packets.state import PacketPath, Senders, update_clock

__all__ = ('Outcome', 'PacketPath', 'Senders', 'make_receivers', 'update_clock')
