"""Exchange which upstream holds a flow whose SYN went to several."""

from collections.abc import Iterable
from typing import Final

from marlbend.clock import steady_seconds
from marlbend.edge.node import GossipNode
from marlbend.observe.control_traffic import (
    Cause,
    record_deferred,
    record_sent,
)
from marlbend.steering.budgets import count_affordable, spend
from marlbend.steering.members import describe_member
from marlbend.steering.reopened_flows import (
    REOPENED_FLOW_SECONDS,
    confirm_cookie,
    list_latest,
    list_unsent,
    merge_reopened,
)
from marlbend.wire.heartbeats import (
    Heartbeat,
    ReopenedFlowUpdate,
    encode_heartbeat,
)

__all__ = (
    'MAX_UPDATES',
    'MAX_UPDATES_IN_FULL',
    'hand_over_reopened',
    'merge_reopened_updates',
    'send_reopened',
)

# How many flows a heartbeat reports, in 0.7 kB, and one in full, in 3.3 kB.
MAX_UPDATES: Final = 20
MAX_UPDATES_IN_FULL: Final = 100
# In a larger domain, the other members learn from heartbeats.
MAX_TARGETS: Final = 32


def send_reopened(node: GossipNode) -> None:
    """Tell the local domain about new flows before the next heartbeat.

    Beyond the budget only some members get it; the next heartbeats repeat it.
    """
    now = steady_seconds()
    flows = node.steering.reopened_flows
    _send_to_domain(node, list_unsent(flows, MAX_UPDATES, now), now)


def hand_over_reopened(node: GossipNode) -> None:
    """Tell the local domain about all flows, as this instance is leaving."""
    now = steady_seconds()
    updates = list_latest(
        node.steering.reopened_flows,
        MAX_UPDATES_IN_FULL,
        now,
        REOPENED_FLOW_SECONDS,
    )
    _send_to_domain(node, updates, now)


def merge_reopened_updates(
    node: GossipNode, updates: Iterable[ReopenedFlowUpdate], now: float
) -> None:
    """Merge the reports of another instance, and answer its open ones.

    The sender may not see the packets of a flow that moved to this instance
    right after its first SYN, and then does not know the upstream.
    """
    steering = node.steering
    flows = steering.reopened_flows
    for key in merge_reopened(flows, updates, now):
        flow = steering.flow_by_key.get(key)
        if flow is None or flow.pending_syn is not None:
            continue
        if confirm_cookie(flows, key, flow.upstream.cookie, now):
            send_reopened(node)


def _send_to_domain(
    node: GossipNode, updates: Iterable[ReopenedFlowUpdate], now: float
) -> None:
    reopened_flows = tuple(updates)
    if not reopened_flows:
        return
    sender = describe_member(node.gossip.myself, now)
    datagram = encode_heartbeat(
        Heartbeat((sender,), reopened_flows=reopened_flows)
    )
    local = node.gossip.members.local
    wanted = min(len(local), MAX_TARGETS)
    bucket = node.steering.local_instance.budgets.reopened
    affordable = min(count_affordable(bucket, len(datagram), now), wanted)
    record_deferred(node.traffic, Cause.REOPENED, wanted - affordable)
    for member in node.steering.random.sample(local, affordable):
        spend(bucket, len(datagram), now)
        record_sent(node.traffic, Cause.REOPENED, len(datagram))
        node.send(datagram, member.endpoint)
