"""Run one instance on the platform: sockets, clocks and tasks."""
