"""Simulate callers and upstreams that repeat cookies, with real packets."""
