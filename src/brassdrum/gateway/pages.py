"""HTTP responders for readiness probes of the balancer and for pages such as metrics."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from brassdrum.gateway.model import CallerLimits, RequestHead
from brassdrum.gateway.net.callers import CallerConnection, CallerHandler

__all__ = ["Page", "PageResponder", "ReadinessResponder"]


class ReadinessResponder:
    """Respond to readiness probes."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def limits(self) -> CallerLimits:
        """Return the default limits."""
        return CallerLimits()

    def closing(self) -> bool:
        """Return False: connections are kept open."""
        return False

    def handle(
        self, connection: CallerConnection, head: RequestHead, body: bytes | None
    ) -> CallerHandler | None:
        """Respond with status 200 if the daemon is ready, or else 503."""
        connection.send_response(200 if self._ready() else 503, [], b"")
        return None


@dataclass(frozen=True, slots=True)
class Page:
    """The content type of a page and the function that renders it."""

    content_type: bytes
    render: Callable[[], bytes]


class PageResponder(ReadinessResponder):
    """Serve pages by path."""

    def __init__(self, pages_by_path: Mapping[str, Page]) -> None:
        super().__init__(lambda: True)
        self._pages_by_path = pages_by_path

    def handle(
        self, connection: CallerConnection, head: RequestHead, body: bytes | None
    ) -> CallerHandler | None:
        """Respond with the page, or with status 404."""
        page = self._pages_by_path.get(head.target.decode("latin-1"))
        if page is None:
            connection.send_response(404, [], b"")
            return None
        connection.send_response(200, [(b"Content-Type", page.content_type)], page.render())
        return None
