"""Receive, judge, relay and forward packets."""

from marlbend.homes.packets.outcomes import Outcome
from marlbend.homes.packets.path import make_receivers
from marlbend.homes.packets.state import PacketPath, Senders, keep_time

__all__ = ('Outcome', 'PacketPath', 'Senders', 'keep_time', 'make_receivers')
