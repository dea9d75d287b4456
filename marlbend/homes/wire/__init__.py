"""Carry the inner protocol: relayed packets, messages, calls."""
