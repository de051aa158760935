"""Keep requests that come before the first configuration is known.

A daemon that starts knows nothing until a peer or the store tells it, and callers come at once.
Most may come again only once, so a refusal in that moment is for many the last word. They wait here
instead, for a part of the time that they have, and are answered when the daemon knows how.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.gateway.model import DeclaredRequest, RequestHead
from brassdrum.gateway.net.callers import CallerConnection, CallerHandler
from brassdrum.gateway.net.loop import Timer, Timers

__all__ = ["EarlyRequest", "EarlyRequests", "longest_hold"]

# Part of its time for which a request waits. Its caller may come again: a refusal then still leaves
# a third of the rest until it does, and as long a wait there.
_HELD_SHARE = 0.15
# A caller that resumes a stream has come again already.
_RESUMED_SHARE = 0.4
_MOST_HELD = 256
_MOST_HELD_BYTES = 16 << 20


def longest_hold(request: DeclaredRequest) -> float:
    """Return for how many seconds a request waits for the first configuration."""
    share = _HELD_SHARE if request.resume_after is None else _RESUMED_SHARE
    return share * request.patience


@dataclass(slots=True)
class EarlyRequest:
    """Hold one request, and hand on that its caller left; times in seconds."""

    connection: CallerConnection
    head: RequestHead
    body: bytes
    request: DeclaredRequest
    arrived: float
    on_left: Callable[[EarlyRequest], None]
    timer: Timer | None = None
    handler: CallerHandler | None = None

    def caller_left(self) -> None:
        """Stop waiting, or stop the work."""
        if self.handler is None:
            self.on_left(self)
            return
        self.handler.caller_left()


class EarlyRequests:
    """Let requests wait, in the order in which they came."""

    def __init__(self, loop: Timers, refuse: Callable[[EarlyRequest, str], None]) -> None:
        self._loop = loop
        self._refuse = refuse
        self._waiting: list[EarlyRequest] = []
        self._bytes = 0

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def hold(
        self, connection: CallerConnection, head: RequestHead, body: bytes, request: DeclaredRequest
    ) -> EarlyRequest | None:
        """Let a request wait; return None where too many do."""
        if len(self._waiting) >= _MOST_HELD or self._bytes + len(body) > _MOST_HELD_BYTES:
            return None
        early = EarlyRequest(connection, head, body, request, self._loop.now(), self._drop)
        early.timer = self._loop.call_later(
            longest_hold(request), lambda: self._give_up(early, "no configuration yet")
        )
        self._waiting.append(early)
        self._bytes += len(body)
        return early

    def release(self, handle: Callable[[EarlyRequest], CallerHandler | None]) -> None:
        """Answer all that wait."""
        for early in list(self._waiting):
            self._drop(early)
            early.handler = handle(early)

    def refuse_all(self, detail: str) -> None:
        """Refuse all that wait."""
        for early in list(self._waiting):
            self._give_up(early, detail)

    def _give_up(self, early: EarlyRequest, detail: str) -> None:
        self._drop(early)
        self._refuse(early, detail)

    def _drop(self, early: EarlyRequest) -> None:
        if early.timer is not None:
            early.timer.cancel()
            early.timer = None
        self._waiting.remove(early)
        self._bytes -= len(early.body)
