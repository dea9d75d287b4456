"""Run one instance: sockets, timers and background tasks."""
