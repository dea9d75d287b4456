"""Decide which upstream gets a new flow, and which flows are refused.

`choice` chooses the upstream among those that `slow_start` and
`outlier_detection` leave, and `load_shedding` refuses flows under overload.

Nothing is imported here: `marlbend.steering.state` uses modules of this package
that the others depend on.
"""
