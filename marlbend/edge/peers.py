"""Exchange heartbeats with other instances.

A UDP socket on the control endpoint carries them.  The same port over TCP
serves the contents of each topic over HTTP, see `marlbend.topics.fetching`.
"""

import asyncio
from collections.abc import Callable
from functools import partial
from typing import Final

import msgspec

from marlbend.clock import steady_seconds
from marlbend.edge.node import Address, GossipNode
from marlbend.edge.pressure_updates import list_pressures, merge_pressures
from marlbend.edge.reopened_updates import (
    MAX_UPDATES,
    MAX_UPDATES_IN_FULL,
    merge_reopened_updates,
)
from marlbend.edge.upstream_updates import (
    merge_upstream_updates,
    updates_for_local_domain,
    updates_for_remote_domain,
    urgent_updates,
)
from marlbend.observe.control_traffic import (
    Cause,
    record_deferred,
    record_sent,
)
from marlbend.steering.budgets import (
    count_affordable,
    seconds_until_available,
    spend,
    spend_any,
)
from marlbend.steering.gossip import (
    make_heartbeat,
    merge_heartbeat,
)
from marlbend.steering.members import (
    choose_targets,
    describe_member,
    remove_expired_members,
)
from marlbend.steering.placement.method import keeps_estimates
from marlbend.steering.placement.service_times import (
    describe_times,
    merge_times,
)
from marlbend.steering.reopened_flows import (
    REOPENED_FLOW_SECONDS,
    REPEAT_SECONDS,
    list_latest,
)
from marlbend.steering.state import observe_time
from marlbend.topics.changes import apply_peer_changes
from marlbend.topics.fetching import fetch_topic
from marlbend.topics.history import record_changes
from marlbend.topics.knowledge import Topic
from marlbend.topics.unlisted import can_fetch_unlisted, fetch_unlisted
from marlbend.wire.heartbeats import (
    Heartbeat,
    TopicChanges,
    decode_heartbeat,
    encode_heartbeat,
)

__all__ = (
    'GossipNode',
    'announce_departure',
    'make_announcer',
    'receive_heartbeat',
    'send_gossip_round',
    'send_heartbeats',
    'send_urgent_heartbeats',
    'stop_fetching',
)


# Load changes with every request, which takes about 10 ms, so heartbeats are
# frequent; four a second use less than 0.25% of a core.
HEARTBEAT_SECONDS: Final = 0.25
# With this probability per heartbeat, each seed is contacted about every 10 s.
SEED_PROBABILITY: Final = 0.025
# An urgent heartbeat goes to at most this many members of the local domain; in
# a larger one, the others learn from the next heartbeats.
URGENT_TARGETS: Final = 32
# Updates within this time of an urgent heartbeat wait for the periodic one.
URGENT_INTERVAL_SECONDS: Final = 0.03


async def send_heartbeats(node: GossipNode) -> None:
    """Send heartbeats to a few instances and to seeds, until cancelled.

    All seeds are contacted until another instance is known, and each of them
    now and then after that: parts of the fleet that were partitioned for longer
    than `MEMBER_EXPIRY_SECONDS` may have removed each other.
    """
    random = node.steering.random
    while True:
        observe_time(node.steering.local_instance, steady_seconds())
        alone = not node.gossip.members.by_name
        for seed in node.seeds:
            if alone or random.random() < SEED_PROBABILITY:
                _send(
                    node,
                    Cause.PERIODIC,
                    _encode_heartbeat(node, '', reply_requested=True),
                    seed,
                )
        # This goes through all members, so it runs only about every 10 s, too.
        if random.random() < SEED_PROBABILITY:
            remove_expired_members(node.gossip.members, steady_seconds())
        send_gossip_round(node, Cause.PERIODIC)
        await asyncio.sleep(HEARTBEAT_SECONDS)


def send_gossip_round(node: GossipNode, cause: Cause) -> None:
    """Send one heartbeat to each of a few instances.

    A round for a change that exceeds the budget is left to the periodic one.
    """
    gossip = node.gossip
    if cause is Cause.CHANGE and not _can_spend_on_changes(node):
        return
    targets = choose_targets(gossip.members, node.steering.random)
    datagram_by_domain: dict[str, bytes] = {}
    for member in targets:
        datagram = datagram_by_domain.get(member.domain) or _encode_heartbeat(
            node, member.domain
        )
        datagram_by_domain[member.domain] = datagram
        if cause is Cause.CHANGE:
            bucket = node.steering.local_instance.budgets.changes
            spend_any(bucket, len(datagram), steady_seconds())
        _send(node, cause, datagram, member.endpoint)


def send_urgent_heartbeats(node: GossipNode) -> None:
    """Report failing upstreams to the local domain before the next heartbeat.

    With little budget left, only some members are told; the others learn it
    from the periodic heartbeats.
    """
    now = steady_seconds()
    if now - node.urgent_sent_at < URGENT_INTERVAL_SECONDS:
        return
    node.urgent_sent_at = now
    gossip = node.gossip
    datagram = encode_heartbeat(
        Heartbeat(
            (describe_member(gossip.myself, now),),
            upstreams=tuple(urgent_updates(node.steering, now)),
        )
    )
    local = gossip.members.local
    wanted = min(len(local), URGENT_TARGETS)
    bucket = node.steering.local_instance.budgets.urgent
    affordable = min(count_affordable(bucket, len(datagram), now), wanted)
    record_deferred(node.traffic, Cause.URGENT, wanted - affordable)
    for member in node.steering.random.sample(local, affordable):
        spend(bucket, len(datagram), now)
        _send(node, Cause.URGENT, datagram, member.endpoint)


def announce_departure(node: GossipNode) -> None:
    """Announce to every known instance that this one is leaving."""
    now = steady_seconds()
    members = make_heartbeat(node.gossip, node.steering.random, now).members
    datagram = encode_heartbeat(Heartbeat(members[:1], leaving=True))
    for member in node.gossip.members.by_name.values():
        _send(node, Cause.LEAVING, datagram, member.endpoint)


async def stop_fetching(node: GossipNode) -> None:
    """Cancel the running fetches, wait for them, and prevent new ones."""
    while node.tasks:
        for task in node.tasks:
            task.cancel()
        await asyncio.gather(*node.tasks, return_exceptions=True)
    node.fetching.update(Topic)


def receive_heartbeat(
    node: GossipNode, datagram: bytes, sender_address: Address
) -> None:
    """Merge a heartbeat, and fetch the topics that are newer at its sender.

    A heartbeat whose first member is not at the sender's address is ignored.
    """
    heartbeat = decode_heartbeat(datagram)
    if heartbeat is None or heartbeat.members[0].endpoint != sender_address:
        return
    if sender_address == node.gossip.myself.endpoint:
        return
    now = steady_seconds()
    sender_update = heartbeat.members[0]
    if apply_peer_changes(
        node.steering, node.gossip, heartbeat.changes, sender_update.name
    ):
        send_gossip_round(node, Cause.CHANGE)
    version = node.steering.routes.version
    for topic in merge_heartbeat(node.gossip, heartbeat, now, version):
        if topic not in node.fetching and spend(
            node.steering.local_instance.budgets.fetches, 1, now
        ):
            node.fetching.add(topic)
            task = asyncio.create_task(
                _fetch_and_pass_on(node, topic, sender_address)
            )
            node.tasks.add(task)
            task.add_done_callback(node.tasks.discard)
    _start_fetching_unlisted(node, heartbeat, sender_address)
    _merge_updates(node, heartbeat, now)
    if heartbeat.reply_requested:
        _reply_in_full(node, sender_update.domain, sender_address)


def _merge_updates(node: GossipNode, heartbeat: Heartbeat, now: float) -> None:
    """Merge what the sender knows of upstreams, flows and routes."""
    steering = node.steering
    merge_upstream_updates(steering, heartbeat.members[0], heartbeat, now)
    merge_reopened_updates(node, heartbeat.reopened_flows, now)
    merge_pressures(steering, heartbeat.pressures, now)
    if keeps_estimates(steering):
        times = steering.estimates.service_times
        merge_times(times, heartbeat.route_times, now)


def _start_fetching_unlisted(
    node: GossipNode, heartbeat: Heartbeat, sender_address: Address
) -> None:
    """Ask the sender for what the store's lists lack, soon after the start."""
    eras = (
        each.era for each in heartbeat.topics if each.topic == Topic.UPSTREAMS
    )
    if not node.is_fetching_unlisted and can_fetch_unlisted(
        node, next(eras, -1)
    ):
        node.is_fetching_unlisted = True
        task = asyncio.create_task(fetch_unlisted(node, sender_address))
        node.tasks.add(task)
        task.add_done_callback(partial(_finish_fetching_unlisted, node))


def _finish_fetching_unlisted(
    node: GossipNode, task: asyncio.Task[None]
) -> None:
    node.is_fetching_unlisted = False
    node.tasks.discard(task)


def _reply_in_full(node: GossipNode, domain: str, endpoint: Address) -> None:
    """Send a heartbeat that was requested; beyond the budget, none.

    The other instance asks again with its next heartbeat.
    """
    datagram = _encode_heartbeat(node, domain, in_full=True)
    if spend(
        node.steering.local_instance.budgets.replies,
        len(datagram),
        steady_seconds(),
    ):
        _send(node, Cause.REPLY, datagram, endpoint)
    else:
        record_deferred(node.traffic, Cause.REPLY, 1)


def make_announcer(node: GossipNode) -> Callable[[TopicChanges], None]:
    """Return a function that gossips changes from the platform at once."""

    def announce(changes: TopicChanges) -> None:
        record_changes(node.gossip.recent_changes, changes, steady_seconds())
        send_gossip_round(node, Cause.CHANGE)

    return announce


async def _fetch_and_pass_on(
    node: GossipNode, topic: Topic, sender_address: Address
) -> None:
    if await fetch_topic(node, topic, sender_address):
        send_gossip_round(node, Cause.CHANGE)


def _can_spend_on_changes(node: GossipNode) -> bool:
    bucket = node.steering.local_instance.budgets.changes
    if seconds_until_available(bucket, steady_seconds()):
        record_deferred(node.traffic, Cause.CHANGE, 1)
        return False
    return True


def _send(
    node: GossipNode, cause: Cause, datagram: bytes, endpoint: Address
) -> None:
    record_sent(node.traffic, cause, len(datagram))
    node.send(datagram, endpoint)


def _encode_heartbeat(
    node: GossipNode,
    domain: str,
    *,
    reply_requested: bool = False,
    in_full: bool = False,
) -> bytes:
    """Return the datagram of a heartbeat to instances of a domain.

    `domain` is empty if the domain of the receiver is unknown.
    """
    now = steady_seconds()
    steering = node.steering
    heartbeat = make_heartbeat(
        node.gossip,
        steering.random,
        now,
        version=steering.routes.version,
        in_full=in_full,
    )
    if domain == node.gossip.myself.domain:
        upstreams = tuple(updates_for_local_domain(steering, now))
    else:
        upstreams = tuple(updates_for_remote_domain(steering, domain, now))
    route_times = (
        tuple(describe_times(steering.estimates.service_times, now))
        if in_full and keeps_estimates(steering)
        else ()
    )
    return encode_heartbeat(
        msgspec.structs.replace(
            heartbeat,
            route_times=route_times,
            pressures=list_pressures(steering, now),
            upstreams=upstreams,
            reply_requested=reply_requested,
            reopened_flows=tuple(
                list_latest(
                    steering.reopened_flows,
                    MAX_UPDATES_IN_FULL if in_full else MAX_UPDATES,
                    now,
                    REOPENED_FLOW_SECONDS if in_full else REPEAT_SECONDS,
                )
            ),
        )
    )
