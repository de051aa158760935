"""Answer the balancer, peers and collectors on their own addresses."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from brassdrum.gateway.model import CallerLimits, RequestHead
from brassdrum.gateway.net.callers import CallerConnection, CallerHandler

__all__ = ["Page", "PageResponder", "ReadinessResponder"]


class ReadinessResponder:
    """Answer the balancer's question."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def limits(self) -> CallerLimits:
        """Return limits that fit the balancer."""
        return CallerLimits()

    def closing(self) -> bool:
        """Keep the balancer's connection."""
        return False

    def handle(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> CallerHandler | None:
        """Answer 200 while new connections are welcome."""
        connection.answer(200 if self._ready() else 503, [], b"")
        return None


@dataclass(frozen=True, slots=True)
class Page:
    """Hold a page's content type and what makes it."""

    content_type: bytes
    render: Callable[[], bytes]


class PageResponder(ReadinessResponder):
    """Serve pages by path to peers and operators."""

    def __init__(self, pages_by_path: Mapping[str, Page]) -> None:
        super().__init__(lambda: True)
        self._pages_by_path = pages_by_path

    def handle(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> CallerHandler | None:
        """Answer with the page, or 404."""
        page = self._pages_by_path.get(head.target.decode("latin-1"))
        if page is None:
            connection.answer(404, [], b"")
            return None
        connection.answer(200, [(b"Content-Type", page.content_type)], page.render())
        return None
