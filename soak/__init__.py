"""Run real instances under random faults, and check invariants."""
