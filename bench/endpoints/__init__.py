"""Simulate callers and upstreams that echo cookies, with real packets."""
