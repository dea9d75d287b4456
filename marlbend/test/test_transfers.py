"""Check the counters of how updates reach instances."""

from marlbend.edge.status import render_metrics
from marlbend.observe.latency import LatencyHistogram
from marlbend.test.edge import Fleet, run_with_fleet, wait_until
from marlbend.topics.knowledge import Topic


def test_reads_and_fetches_are_counted_by_topic() -> None:
    async def scenario(fleet: Fleet) -> None:
        reader = await fleet.add('n1')
        other = await fleet.add('n2', '127.9.2.1', store=('127.0.0.1', 9))
        await wait_until(lambda: other.version == 3)
        read = reader.gossip.transfers_by_topic[Topic.CONFIGURATION]
        fetched = other.gossip.transfers_by_topic[Topic.CONFIGURATION]
        assert read.reads
        assert read.served == fetched.fetches == 1
        assert read.served_bytes == fetched.fetched_bytes
        _, _, metrics = render_metrics(other.node, LatencyHistogram())
        labels = '{topic="configuration",count="fetches"}'
        assert f'marlbend_topic_transfers{labels} 1'.encode() in metrics

    run_with_fleet(scenario)
