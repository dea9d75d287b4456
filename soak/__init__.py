"""Run real instances under random faults and check what callers see."""
