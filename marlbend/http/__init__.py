"""Call and answer over HTTP, with as little as the daemon needs."""

from marlbend.http.client import Answer, Connection
from marlbend.http.server import Page, serve_pages

__all__ = ('Answer', 'Connection', 'Page', 'serve_pages')
