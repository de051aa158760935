"""Serve other daemons: pages, and requests that they forward."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from brassdrum.gateway.forwarding.terms import is_forwarded
from brassdrum.gateway.model import CallerLimits, RequestHead
from brassdrum.gateway.net.callers import CallerConnection, CallerHandler
from brassdrum.gateway.pages import Page, PageResponder

__all__ = ["ForwardedRequestHandler", "PeerResponder"]


class ForwardedRequestHandler(Protocol):
    """The daemon, as far as forwarded requests concern it."""

    def limits(self) -> CallerLimits:
        """Return the current limits."""

    def closing(self) -> bool:
        """Return whether connections are closed after their current response."""

    def handle_forwarded(
        self, connection: CallerConnection, head: RequestHead, body: bytes | None
    ) -> CallerHandler | None:
        """Process a forwarded request; return None if the response has been sent."""


class PeerResponder(PageResponder):
    """Respond to other daemons."""

    def __init__(self, daemon: ForwardedRequestHandler, pages_by_path: Mapping[str, Page]) -> None:
        super().__init__(pages_by_path)
        self._daemon = daemon

    def limits(self) -> CallerLimits:
        """Return the limits of callers, which hold for forwarded requests too."""
        return self._daemon.limits()

    def closing(self) -> bool:
        """Return whether the daemon is about to stop."""
        return self._daemon.closing()

    def handle(
        self, connection: CallerConnection, head: RequestHead, body: bytes | None
    ) -> CallerHandler | None:
        """Process a forwarded request, or respond with a page."""
        if is_forwarded(head.headers):
            return self._daemon.handle_forwarded(connection, head, body)
        return super().handle(connection, head, body)
