"""Run real instances in cookie mode under random faults, check invariants.

Upstreams, callers, routers and the store are simulated.  The store is the API
server of the platform, on which operators and upstreams write objects.
"""
