"""Report the status of an instance to the tool and its metrics."""

from collections.abc import Iterator
from typing import Final

from marlbend import VERSION
from marlbend.clock import steady_seconds
from marlbend.edge.node import GossipNode
from marlbend.edge.placement_metrics import placement_lines
from marlbend.http import ServerResponse
from marlbend.observe.control_traffic import Cause
from marlbend.observe.latency import LatencyHistogram
from marlbend.observe.memory import resident_bytes
from marlbend.steering.failure_detection import count_busy, is_suspected
from marlbend.steering.gossip import (
    GossipState,
    is_reader,
    list_live_members,
)
from marlbend.steering.state import Outcome, Steering
from marlbend.steering.upstreams import Upstream
from marlbend.topics.knowledge import Topic
from marlbend.wire.status import (
    ControlStatus,
    CookieStatus,
    MemberStatus,
    TopicStatus,
    UpstreamStatus,
)

__all__ = (
    'describe_instance',
    'render_metrics',
)

_OK: Final = 200
_PERCENT: Final = 100
_UPSTREAM_LABELS: Final = '{{upstream="{name}",state="{state}"}}'


def describe_instance(node: GossipNode) -> CookieStatus:
    """Return the current status of this instance."""
    steering = node.steering
    gossip = node.gossip
    now = steady_seconds()
    steering.now = now
    return CookieStatus(
        name=steering.local_instance.name,
        domain=steering.local_instance.domain,
        version=VERSION,
        ready=steering.ready,
        configuration=steering.routes.version,
        routes=len(steering.routes.by_endpoint),
        reader=is_reader(gossip, now),
        topics={
            topic.name.lower(): TopicStatus(
                gossip.revision_by_topic[topic],
                round(now - gossip.confirmed_at_by_topic[topic], 3),
                gossip.era_by_topic[topic],
            )
            for topic in Topic
            if gossip.revision_by_topic[topic]
        },
        members=tuple(
            MemberStatus(each.name, each.domain, each.endpoint)
            for each in list_live_members(gossip, now)
        ),
        domains_out=tuple(sorted(steering.domains_out)),
        domains_cut=tuple(sorted(steering.partition_by_domain)),
        upstreams=tuple(
            _describe_upstream(steering, upstream)
            for _, upstream in sorted(steering.pool.by_name.items())
        ),
        packets={
            outcome.name.lower(): steering.counts[outcome]
            for outcome in Outcome
        },
        resident_bytes=resident_bytes(),
        control=_describe_control(node),
    )


def render_metrics(
    node: GossipNode, handshake_latencies: LatencyHistogram
) -> ServerResponse:
    """Return an HTTP response with the metrics in Prometheus text format."""
    # Placement needs the time that the status has set.
    lines = '\n'.join(
        (
            *_metric_lines(node, handshake_latencies),
            *placement_lines(node.steering),
        )
    )
    return _OK, 'text/plain; version=0.0.4', f'{lines}\n'.encode()


def _describe_upstream(
    steering: Steering,
    upstream: Upstream,
) -> UpstreamStatus:
    return UpstreamStatus(
        name=upstream.name,
        service=upstream.entry.service,
        domain=upstream.entry.domain,
        state=_find_state(steering, upstream),
        flows=upstream.flows,
        busy=count_busy(upstream, steering.now),
        silences=upstream.liveness.unanswered,
    )


def _describe_control(node: GossipNode) -> dict[str, ControlStatus]:
    traffic = node.traffic
    return {
        cause.value: ControlStatus(
            traffic.bytes_by_cause[cause],
            traffic.messages_by_cause[cause],
            traffic.deferred_by_cause[cause],
        )
        for cause in Cause
    }


def _find_state(steering: Steering, upstream: Upstream) -> str:
    conditions = (
        (bool(upstream.ended_at), 'ended'),
        (bool(upstream.missing_since), 'missing'),
        (not upstream.entry.accepting, 'draining'),
        (upstream.entry.domain in steering.domains_out, 'out'),
        (is_suspected(steering, upstream), 'suspected'),
        (upstream.outlier_state.ejected_until > steering.now, 'failing'),
        (upstream.cold_until > steering.now, 'cold'),
    )
    return next((name for is_met, name in conditions if is_met), 'ready')


def _metric_lines(
    node: GossipNode, handshake_latencies: LatencyHistogram
) -> Iterator[str]:
    status = describe_instance(node)
    for outcome, count in status.packets.items():
        yield f'marlbend_packets_total{{outcome="{outcome}"}} {count}'
    for name, topic in status.topics.items():
        labels = f'{{topic="{name}"}}'
        yield f'marlbend_topic_revision{labels} {topic.revision}'
        yield f'marlbend_topic_age_seconds{labels} {topic.age_seconds}'
        yield f'marlbend_topic_era{labels} {topic.era}'
    yield from _upstream_lines(status)
    yield from _transfer_lines(node.gossip)
    yield from _control_lines(status)
    yield from _gauge_lines(status)
    yield from _handshake_lines(handshake_latencies)


def _upstream_lines(status: CookieStatus) -> Iterator[str]:
    for upstream in status.upstreams:
        labels = _UPSTREAM_LABELS.format(
            name=upstream.name, state=upstream.state
        )
        yield f'marlbend_upstream_flows{labels} {upstream.flows}'
        yield f'marlbend_upstream_busy{labels} {upstream.busy}'


def _transfer_lines(gossip: GossipState) -> Iterator[str]:
    for topic, transfers in gossip.transfers_by_topic.items():
        topic_name = topic.name.lower()
        for name in transfers.__slots__:
            labels = f'{{topic="{topic_name}",count="{name}"}}'
            count = getattr(transfers, name)
            yield f'marlbend_topic_transfers{labels} {count}'


def _control_lines(status: CookieStatus) -> Iterator[str]:
    for cause, control in status.control.items():
        labels = f'{{cause="{cause}"}}'
        yield f'marlbend_control_bytes_total{labels} {control.bytes}'
        yield f'marlbend_control_messages_total{labels} {control.messages}'
        yield f'marlbend_control_deferred_total{labels} {control.deferred}'


def _gauge_lines(status: CookieStatus) -> Iterator[str]:
    yield f'marlbend_configuration {status.configuration}'
    yield f'marlbend_members {len(status.members)}'
    yield f'marlbend_reader {int(status.reader)}'
    yield f'marlbend_resident_bytes {status.resident_bytes}'


def _handshake_lines(handshake_latencies: LatencyHistogram) -> Iterator[str]:
    for (
        percentile,
        seconds,
    ) in handshake_latencies.seconds_by_percentile().items():
        share = percentile / _PERCENT
        labels = f'{{quantile="{share}"}}'
        yield f'marlbend_handshake_seconds{labels} {seconds}'
    yield f'marlbend_handshake_seconds_sum {handshake_latencies.total}'
    yield f'marlbend_handshake_seconds_count {handshake_latencies.count()}'
