"""Call and answer over HTTP, with as little as the daemon needs."""

from marlbend.http.client import Answer, Connection
from marlbend.http.server import Page, PageMaker, serve_pages

__all__ = ('Answer', 'Connection', 'Page', 'PageMaker', 'serve_pages')
