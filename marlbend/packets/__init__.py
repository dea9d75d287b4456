"""Receive, judge, relay and forward packets."""

from marlbend.packets.outcomes import Outcome
from marlbend.packets.path import PacketPath, Senders, make_receivers

__all__ = ('Outcome', 'PacketPath', 'Senders', 'make_receivers')
