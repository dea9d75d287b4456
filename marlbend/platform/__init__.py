"""Speak to the platform, which keeps what must last."""

from marlbend.platform.client import Platform, StoredObject, WriteOutcome
from marlbend.platform.follow import follow_object

__all__ = ('Platform', 'StoredObject', 'WriteOutcome', 'follow_object')
