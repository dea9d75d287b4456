"""Decide which upstream gets a new flow, and which flows are refused.

`choice` chooses the upstream among those that `slow_start` and
`outlier_detection` leave.  By counts of requests, `load_shedding` refuses flows
under overload.  By work, `opening` carries a SYN through `choice`, `admission`
and `held_flows`; `service_times`, `speeds`, `outstanding_work`, `service_loads`
and `responses` learn what they decide on, `completion` combines it, and
`callers` shares what is left.  `flow_lengths`, `queue_waits` and `flow_costs`
tell what a flow costs, of which `credits` admits as much as `limits` derives
from a pressure, and `pressures` lets all instances agree on that.  `method`
tells which services are placed by work, and `contention` which are in
contention.  See `docs/design/placement.md` and `docs/design/contention.md`.

Nothing is imported here: `marlbend.steering.state` uses modules of this package
that the others depend on.
"""
