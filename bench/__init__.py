"""Measure marlbend with simulated callers, upstreams, fabric and platform."""
