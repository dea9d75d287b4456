"""Call and answer over HTTP, with as little as the daemon needs."""

from marlbend.http.client import ClientResponse, Connection
from marlbend.http.server import RequestHandler, ServerResponse, serve_http

__all__ = (
    'ClientResponse',
    'Connection',
    'RequestHandler',
    'ServerResponse',
    'serve_http',
)
