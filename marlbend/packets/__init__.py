"""Receive, judge, relay and forward packets."""

from marlbend.packets.outcomes import Outcome
from marlbend.packets.path import make_receivers
from marlbend.packets.state import PacketPath, Senders, keep_time

__all__ = ('Outcome', 'PacketPath', 'Senders', 'keep_time', 'make_receivers')
