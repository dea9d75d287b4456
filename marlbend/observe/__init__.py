"""Show what an instance does."""

from marlbend.observe.metrics import (
    Metrics,
    processor_seconds,
    resident_bytes,
    time_decisions,
)

__all__ = (
    'Metrics',
    'processor_seconds',
    'resident_bytes',
    'time_decisions',
)
