"""Run one instance: sockets, clocks and tasks around the decisions."""
