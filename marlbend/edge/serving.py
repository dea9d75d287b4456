"""Serve readiness, status, topics and metrics over HTTP."""

import asyncio
from typing import Final

import msgspec

from marlbend.edge.explaining import make_explain_handler
from marlbend.edge.node import GossipNode
from marlbend.edge.reload import RunningInstance
from marlbend.edge.status import describe_instance, render_metrics
from marlbend.errors import MarlbendError
from marlbend.events import Event, emit
from marlbend.http import RequestHandler, ServerResponse, serve_http
from marlbend.options import split_endpoint
from marlbend.platform.paths import READY_PATH
from marlbend.topics.fetching import make_topic_handlers
from marlbend.topics.knowledge import Topic
from marlbend.topics.unlisted import make_unlisted_handlers
from marlbend.wire import STATUS_PATH

__all__ = ('is_ready', 'start_servers')

METRICS_PATH: Final = '/metrics'
_OK: Final = 200
_UNAVAILABLE: Final = 503


async def start_servers(
    instance: RunningInstance,
    stop: asyncio.Event,
) -> list[asyncio.Server]:
    """Start the servers of the readiness, control and metrics endpoints.

    Routers poll the first; other instances and the tool use the second.
    """
    cookie_settings = instance.cookie_settings
    node = instance.node

    def serve_ready(query: str) -> ServerResponse:
        serving = is_ready(node) and not stop.is_set()
        return (_OK if serving else _UNAVAILABLE), 'text/plain', b''

    def serve_status(query: str) -> ServerResponse:
        return (
            _OK,
            'application/json',
            msgspec.json.encode(describe_instance(node)),
        )

    def serve_metrics(query: str) -> ServerResponse:
        return render_metrics(
            node, node.steering.estimates.handshake_times.latencies
        )

    handlers_by_endpoint: dict[tuple[str, int], dict[str, RequestHandler]] = {
        split_endpoint(cookie_settings.ready): {READY_PATH: serve_ready},
        split_endpoint(cookie_settings.control): {
            **make_topic_handlers(node),
            **make_unlisted_handlers(node),
            **make_explain_handler(node),
            STATUS_PATH: serve_status,
        },
    }
    servers = [
        await serve_http(endpoint, handlers)
        for endpoint, handlers in handlers_by_endpoint.items()
    ]
    try:
        servers.append(
            await serve_http(
                (instance.settings.address, cookie_settings.metrics_port),
                {METRICS_PATH: serve_metrics},
            )
        )
    except MarlbendError as error:
        emit(Event.METRICS_UNAVAILABLE, error=error)
    return servers


def is_ready(node: GossipNode) -> bool:
    """Return whether all topics are known.

    Without the domains out, new flows could go to one of them.
    """
    knows_domains = node.gossip.revision_by_topic[Topic.DOMAINS_OUT] > 0
    return node.steering.ready and knows_domains
