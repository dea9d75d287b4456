"""Provide the minimal HTTP client and server that the daemon needs."""

from marlbend.http.client import ClientResponse, Connection
from marlbend.http.server import RequestHandler, ServerResponse, serve_http

__all__ = (
    'ClientResponse',
    'Connection',
    'RequestHandler',
    'ServerResponse',
    'serve_http',
)
